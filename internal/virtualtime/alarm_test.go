package virtualtime_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/virtualtime"
)

// TestEarlierAlarmReplacesALaterOne: the engine is advanced once for both.
func TestEarlierAlarmReplacesALaterOne(t *testing.T) {
	queue := &virtualtime.Queue{}
	alarm := virtualtime.Timer{}
	for _, at := range []time.Duration{30, 10, 20} {
		alarm.Set(queue, at, 0)
	}
	var rang []time.Duration
	for {
		if _, found := queue.Next(time.Hour); !found {
			break
		}
		if alarm.Fire(queue.Now()) {
			rang = append(rang, queue.Now())
		}
	}
	if len(rang) != 1 || rang[0] != 10 {
		t.Fatalf("it rang at %v", rang)
	}
}

// TestAlarmInThePastRingsNow and can be set again.
func TestAlarmInThePastRingsNow(t *testing.T) {
	queue := &virtualtime.Queue{}
	alarm := virtualtime.Timer{}
	alarm.Set(queue, 10, 0)
	queue.Next(time.Hour)
	if !alarm.Fire(queue.Now()) {
		t.Fatal("it does not ring")
	}
	alarm.Set(queue, 5, 0)
	if _, found := queue.Next(time.Hour); !found || queue.Now() != 10 || !alarm.Fire(queue.Now()) {
		t.Fatalf("at %v it does not ring again", queue.Now())
	}
}
