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

// pendingRetries returns how many clients the process expects to retry.
func (c *queueTest) pendingRetries() int {
	return loadshare.Loads(c.dispatcher.LoadSource().Own())[balance.QueueHash("app")].Unread
}

// newFullQueueTest returns a queueTest whose queue takes seven seconds.
func newFullQueueTest(t *testing.T) *queueTest {
	c := newQueueTest(t, 2)
	for range 12 {
		c.addWaiter(requestOf("", time.Minute))
	}
	return c
}

// TestPendingRetryExpiresAfterRetryAfter checks that a pending retry ends after the Retry-After,
// and that none is expected of a client on its last attempt.
func TestPendingRetryExpiresAfterRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFullQueueTest(t)
		request := requestOf("", 4*time.Second)
		request.Remaining = 8 * time.Second
		_, err := c.dispatcher.Acquire(t.Context(), request)
		retryAfter := fault.From(err).RetryAfter
		if retryAfter > 2*time.Second || c.pendingRetries() != 1 {
			t.Fatalf("Retry-After is %v, %d retries are pending", retryAfter, c.pendingRetries())
		}
		time.Sleep(retryAfter)
		if c.pendingRetries() != 0 {
			t.Fatal("a retry is still expected after the Retry-After")
		}
		request.LastAttempt = true
		if _, err := c.dispatcher.Acquire(t.Context(), request); err == nil || c.pendingRetries() != 0 {
			t.Fatalf("%v, and a retry after the last attempt is expected", err)
		}
	})
}

// TestNoPendingRetryOfDisconnectedClient cancels a request while it waits.
func TestNoPendingRetryOfDisconnectedClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFullQueueTest(t)
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, disconnect)
		if _, err := c.dispatcher.Acquire(ctx, requestOf("", time.Minute)); err == nil || c.pendingRetries() != 0 {
			t.Fatalf("%v, %d retries are expected", err, c.pendingRetries())
		}
	})
}
