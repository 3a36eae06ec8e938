package waiting_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/waiting"
)

const long = 2 * time.Second

var now = time.Unix(1_000_000, 0)

// places are those of a request that is late, of one that can still be in time, of one that
// gives up soon, and of one of a tenant that goes after them.
func places() (late, timely, pressing, lower waiting.Place) {
	normal := waiting.Priority{}
	late = waiting.NewPlace(normal, 1, now.Add(-time.Second), now.Add(long))
	timely = waiting.NewPlace(normal, 2, now.Add(100*time.Millisecond), now.Add(long))
	pressing = waiting.NewPlace(normal, 3, now.Add(-time.Second), now.Add(100*time.Millisecond))
	lower = waiting.NewPlace(waiting.Priority{Tenant: 1}, 0, now.Add(long), now.Add(long))
	return late, timely, pressing, lower
}

// TestRequestsThatCanBeInTimeGoBeforeLateOnes, and none waits until it gives up behind others
// of its priority.
func TestRequestsThatCanBeInTimeGoBeforeLateOnes(t *testing.T) {
	late, timely, pressing, lower := places()
	queue := waiting.Queue[string]{}
	queue.Add(lower, "lower")
	queue.Add(late, "late")
	queue.Add(timely, "timely")
	queue.Add(pressing, "pressing")
	for _, want := range []string{"pressing", "timely", "late", "lower"} {
		first := queue.First(now)
		if first.Value() != want {
			t.Fatalf("the %s request goes first, want the %s one", first.Value(), want)
		}
		queue.Remove(first)
		if !first.Left() {
			t.Fatalf("the %s request has not left", want)
		}
	}
	if queue.First(now) != nil || queue.Len() != 0 {
		t.Fatalf("%d requests are left", queue.Len())
	}
}

// TestOrderFollowsTheTime: a request falls behind once it cannot be in time any more.
func TestOrderFollowsTheTime(t *testing.T) {
	late, timely, _, _ := places()
	queue := waiting.Queue[string]{}
	queue.Add(late, "late")
	queue.Add(timely, "timely")
	if first := queue.First(now).Value(); first != "timely" {
		t.Fatalf("the %s request goes first", first)
	}
	if first := queue.First(now.Add(200 * time.Millisecond)).Value(); first != "late" {
		t.Fatalf("the %s request goes first once both are late", first)
	}
}

func TestEarlierRequestGoesFirstAmongEqualOnes(t *testing.T) {
	_, timely, _, _ := places()
	next := waiting.NewPlace(waiting.Priority{}, 5, now.Add(100*time.Millisecond), now.Add(long))
	if next.Before(timely, now) || !timely.Before(next, now) {
		t.Fatal("the later one goes first")
	}
}

// TestNewcomerGoesBeforeLateRequests but not before those of a higher priority.
func TestNewcomerGoesBeforeLateRequests(t *testing.T) {
	late, timely, _, lower := places()
	queue := waiting.Queue[string]{}
	if !queue.GoesFirst(lower, now) {
		t.Fatal("it does not go first where none waits")
	}
	queue.Add(late, "late")
	if !queue.GoesFirst(timely, now) || queue.GoesFirst(lower, now) {
		t.Fatal("the order of newcomers is not that of the queue")
	}
}
