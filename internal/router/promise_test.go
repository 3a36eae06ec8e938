package router_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/loadshare"
)

// promised is how many clients the process expects to come back.
func (c *crowd) promised() int {
	return loadshare.Loads(c.dispatcher.LoadSource().Own())[balance.QueueHash("app")].Unread
}

// newFullCrowd is a crowd whose servers need seven seconds for those that wait.
func newFullCrowd(t *testing.T) *crowd {
	c := newCrowd(t, 2)
	for range 12 {
		c.add(asks("", time.Minute))
	}
	return c
}

// TestPromisesAreOfTheTimeThatIsTold, and of clients that come back.
func TestPromisesAreOfTheTimeThatIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFullCrowd(t)
		ask := asks("", 4*time.Second)
		ask.Remaining = 8 * time.Second
		_, err := c.dispatcher.Acquire(t.Context(), ask)
		told := fault.From(err).RetryAfter
		if told > 2*time.Second || c.promised() != 1 {
			t.Fatalf("it is told %v, %d are promised", told, c.promised())
		}
		time.Sleep(told)
		if c.promised() != 0 {
			t.Fatal("it is expected still after the time that it was told")
		}
		ask.LastAttempt = true
		if _, err := c.dispatcher.Acquire(t.Context(), ask); err == nil || c.promised() != 0 {
			t.Fatalf("%v, and one that does not come back is expected", err)
		}
	})
}

// TestNothingIsPromisedToAClientThatLeft while it waited.
func TestNothingIsPromisedToAClientThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFullCrowd(t)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, leave)
		if _, err := c.dispatcher.Acquire(ctx, asks("", time.Minute)); err == nil || c.promised() != 0 {
			t.Fatalf("%v, %d are expected", err, c.promised())
		}
	})
}
