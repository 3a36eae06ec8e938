package waitqueue_test

import (
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/waitqueue"
)

const long = 2 * time.Second

var now = time.Unix(1_000_000, 0)

// testKeys returns the keys of a late request, one that can still be in time, one that is about to
// time out, and one of lower priority.
func testKeys() (late, timely, urgent, lower waitqueue.SortKey) {
	normal := waitqueue.Priority{}
	late = waitqueue.NewSortKey(normal, 1, now.Add(-time.Second), now.Add(long))
	timely = waitqueue.NewSortKey(normal, 2, now.Add(100*time.Millisecond), now.Add(long))
	urgent = waitqueue.NewSortKey(normal, 3, now.Add(-time.Second), now.Add(100*time.Millisecond))
	lower = waitqueue.NewSortKey(waitqueue.Priority{Tenant: 1}, 0, now.Add(long), now.Add(long))
	return late, timely, urgent, lower
}

// TestRequestsThatCanBeInTimeGoBeforeLateOnes guards against late requests that make others late
// because they are about to time out: after a power loss these are as many as the servers run in
// seconds. Among late requests the urgent ones go first.
func TestRequestsThatCanBeInTimeGoBeforeLateOnes(t *testing.T) {
	late, timely, urgent, lower := testKeys()
	queue := waitqueue.Queue[string]{}
	queue.Add(lower, "lower")
	queue.Add(late, "late")
	queue.Add(timely, "timely")
	queue.Add(urgent, "urgent")
	for _, want := range []string{"timely", "urgent", "late", "lower"} {
		first := queue.First(now)
		if first.Value() != want {
			t.Fatalf("the %s request goes first, want the %s one", first.Value(), want)
		}
		queue.Remove(first)
		if !first.Removed() {
			t.Fatalf("the %s request is not marked as removed", want)
		}
	}
	if queue.First(now) != nil || queue.Len() != 0 {
		t.Fatalf("%d requests remain", queue.Len())
	}
}

// TestOrderFollowsTheTime: a request falls behind once it can no longer be in time.
func TestOrderFollowsTheTime(t *testing.T) {
	late, timely, _, _ := testKeys()
	queue := waitqueue.Queue[string]{}
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
	_, timely, _, _ := testKeys()
	next := waitqueue.NewSortKey(waitqueue.Priority{}, 5, now.Add(100*time.Millisecond), now.Add(long))
	for _, order := range [][]waitqueue.SortKey{{timely, next}, {next, timely}} {
		queue := waitqueue.Queue[waitqueue.SortKey]{}
		for _, key := range order {
			queue.Add(key, key)
		}
		if queue.First(now).Value() != timely || queue.CountAhead(next, now) == 0 {
			t.Fatal("the later request goes first")
		}
	}
}

// TestNewcomerGoesBeforeLateRequests but not before those of a higher priority.
func TestNewcomerGoesBeforeLateRequests(t *testing.T) {
	late, timely, _, lower := testKeys()
	queue := waitqueue.Queue[string]{}
	if queue.CountAhead(lower, now) != 0 {
		t.Fatal("requests wait ahead in an empty queue")
	}
	queue.Add(late, "late")
	if queue.CountAhead(timely, now) != 0 || queue.CountAhead(lower, now) == 0 {
		t.Fatal("the order of new requests is not that of the queue")
	}
}

// TestEarlierFirstAttemptGoesFirst among requests that can be in time, but a late retry does
// not.
func TestEarlierFirstAttemptGoesFirst(t *testing.T) {
	key := func(arrival uint64, firstAttempt, onTimeUntil time.Duration) waitqueue.SortKey {
		return waitqueue.NewSortKey(waitqueue.Priority{}, arrival, now.Add(onTimeUntil), now.Add(long)).WithFirstAttempt(now.Add(firstAttempt))
	}
	queue := waitqueue.Queue[string]{}
	queue.Add(key(1, -10*time.Millisecond, 240*time.Millisecond), "new")
	queue.Add(key(2, -100*time.Millisecond, 150*time.Millisecond), "retry in time")
	queue.Add(key(3, -time.Second, -750*time.Millisecond), "late retry")
	for _, want := range []string{"retry in time", "new", "late retry"} {
		first := queue.First(now)
		if first.Value() != want {
			t.Fatalf("the %s request goes first, want the %s one", first.Value(), want)
		}
		queue.Remove(first)
	}
}

// floodQueue returns a queue with late, urgent requests of a flooding tenant, and fair share by
// fixed virtual times.
func floodQueue() *waitqueue.Queue[string] {
	usage := map[string]float64{"flood": 9000, "small": 40}
	queue := &waitqueue.Queue[string]{}
	queue.EnableFairShare(func(key waitqueue.SortKey) float64 { return usage[key.Tenant().Name] })
	for arrival := range uint64(20) {
		key := waitqueue.NewSortKey(waitqueue.Priority{}, arrival, now.Add(-time.Second), now.Add(100*time.Millisecond))
		queue.Add(key.WithTenant(waitqueue.Tenant{Name: "flood"}), "flood")
	}
	return queue
}

// TestUrgentFloodDoesNotOvertakeOthers guards against urgent requests of a flooding tenant
// that overtake the timely ones of all others.
func TestUrgentFloodDoesNotOvertakeOthers(t *testing.T) {
	queue := floodQueue()
	small := waitqueue.NewSortKey(waitqueue.Priority{}, 99, now.Add(long), now.Add(long)).WithTenant(waitqueue.Tenant{Name: "small"})
	if ahead := queue.CountAhead(small, now); ahead != 0 {
		t.Fatalf("%d requests of the flooding tenant go before one of a light tenant", ahead)
	}
	queue.Add(small, "small")
	if first := queue.First(now).Value(); first != "small" {
		t.Fatalf("the %s request goes first", first)
	}
}

// TestFloodAloneKeepsItsOrder: if no other tenant waits, urgent requests go before late ones and
// after those that can be in time.
func TestFloodAloneKeepsItsOrder(t *testing.T) {
	queue := floodQueue()
	flood := waitqueue.Tenant{Name: "flood"}
	late := waitqueue.NewSortKey(waitqueue.Priority{}, 99, now.Add(-long), now.Add(long)).WithTenant(flood)
	if ahead := queue.CountAhead(late, now); ahead != 20 {
		t.Fatalf("%d urgent requests go before a late one", ahead)
	}
	timely := waitqueue.NewSortKey(waitqueue.Priority{}, 99, now.Add(long), now.Add(long)).WithTenant(flood)
	if ahead := queue.CountAhead(timely, now); ahead != 0 {
		t.Fatalf("%d urgent requests go before one that can be in time", ahead)
	}
}

// TestPriorityGoesBeforeShare: tenants share only within one priority.
func TestPriorityGoesBeforeShare(t *testing.T) {
	queue := floodQueue()
	lower := waitqueue.NewSortKey(waitqueue.Priority{Tenant: 1}, 99, now.Add(long), now.Add(long)).WithTenant(waitqueue.Tenant{Name: "small"})
	if ahead := queue.CountAhead(lower, now); ahead != 20 {
		t.Fatalf("%d of 20 of a higher priority go first", ahead)
	}
}

// TestWalkVisitsInOrderUntilItIsEnded, in the order in which requests would be removed.
func TestWalkVisitsInOrderUntilItIsEnded(t *testing.T) {
	late, timely, urgent, lower := testKeys()
	queue := waitqueue.Queue[string]{}
	for value, key := range map[string]waitqueue.SortKey{"lower": lower, "late": late, "timely": timely, "urgent": urgent} {
		queue.Add(key, value)
	}
	want := []string{"timely", "urgent", "late", "lower"}
	for most := range len(want) {
		var visited []string
		queue.Walk(now, func(entry *waitqueue.Entry[string]) bool {
			visited = append(visited, entry.Value())
			return len(visited) <= most
		})
		if !slices.Equal(visited, want[:most+1]) {
			t.Fatalf("%v are visited, want %v", visited, want[:most+1])
		}
	}
	queue.Walk(now, func(entry *waitqueue.Entry[string]) bool {
		want = want[1:]
		return true
	})
	if len(want) != 0 || queue.Len() != 4 {
		t.Fatalf("%d are not visited, and %d wait", len(want), queue.Len())
	}
}
