package virtualtime_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/virtualtime"
)

// TestEarlierTimeReplacesALaterOne checks that the engine is advanced once for both.
func TestEarlierTimeReplacesALaterOne(t *testing.T) {
	queue := &virtualtime.Queue{}
	timer := virtualtime.Timer{}
	for _, at := range []time.Duration{30, 10, 20} {
		timer.Set(queue, at, 0)
	}
	var fired []time.Duration
	for {
		if _, found := queue.Next(time.Hour); !found {
			break
		}
		if timer.Fire(queue.Now()) {
			fired = append(fired, queue.Now())
		}
	}
	if len(fired) != 1 || fired[0] != 10 {
		t.Fatalf("timer fired at %v", fired)
	}
}

// TestTimerSetInThePastFiresNow checks that a timer set for a past time fires at the current time,
// also after it has fired before.
func TestTimerSetInThePastFiresNow(t *testing.T) {
	queue := &virtualtime.Queue{}
	timer := virtualtime.Timer{}
	timer.Set(queue, 10, 0)
	queue.Next(time.Hour)
	if !timer.Fire(queue.Now()) {
		t.Fatal("timer did not fire")
	}
	timer.Set(queue, 5, 0)
	if _, found := queue.Next(time.Hour); !found || queue.Now() != 10 || !timer.Fire(queue.Now()) {
		t.Fatalf("timer did not fire again at %v", queue.Now())
	}
}
