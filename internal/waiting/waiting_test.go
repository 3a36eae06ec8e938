package waiting_test

import (
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/waiting"
)

const long = 2 * time.Second

var now = time.Unix(1_000_000, 0)

// places are those of a request that is late, of one that can still be in time, of one that
// gives up soon, and of one of a tenant that goes after them.
func places() (late, timely, pressing, lower waiting.SortKey) {
	normal := waiting.Priority{}
	late = waiting.NewSortKey(normal, 1, now.Add(-time.Second), now.Add(long))
	timely = waiting.NewSortKey(normal, 2, now.Add(100*time.Millisecond), now.Add(long))
	pressing = waiting.NewSortKey(normal, 3, now.Add(-time.Second), now.Add(100*time.Millisecond))
	lower = waiting.NewSortKey(waiting.Priority{Tenant: 1}, 0, now.Add(long), now.Add(long))
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
		if !first.Removed() {
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
	next := waiting.NewSortKey(waiting.Priority{}, 5, now.Add(100*time.Millisecond), now.Add(long))
	for _, order := range [][]waiting.SortKey{{timely, next}, {next, timely}} {
		queue := waiting.Queue[waiting.SortKey]{}
		for _, place := range order {
			queue.Add(place, place)
		}
		if queue.First(now).Value() != timely || queue.CountAhead(next, now) == 0 {
			t.Fatal("the later one goes first")
		}
	}
}

// TestNewcomerGoesBeforeLateRequests but not before those of a higher priority.
func TestNewcomerGoesBeforeLateRequests(t *testing.T) {
	late, timely, _, lower := places()
	queue := waiting.Queue[string]{}
	if queue.CountAhead(lower, now) != 0 {
		t.Fatal("it does not go first where none waits")
	}
	queue.Add(late, "late")
	if queue.CountAhead(timely, now) != 0 || queue.CountAhead(lower, now) == 0 {
		t.Fatal("the order of newcomers is not that of the queue")
	}
}

// TestClientThatHasAskedForLongerGoesFirst among those whose answers can be in time, and not
// before them when its own cannot.
func TestClientThatHasAskedForLongerGoesFirst(t *testing.T) {
	place := func(arrival uint64, asked, onTimeUntil time.Duration) waiting.SortKey {
		return waiting.NewSortKey(waiting.Priority{}, arrival, now.Add(onTimeUntil), now.Add(long)).WithFirstAttempt(now.Add(asked))
	}
	queue := waiting.Queue[string]{}
	queue.Add(place(1, -10*time.Millisecond, 240*time.Millisecond), "new")
	queue.Add(place(2, -100*time.Millisecond, 150*time.Millisecond), "back in time")
	queue.Add(place(3, -time.Second, -750*time.Millisecond), "back late")
	for _, want := range []string{"back in time", "new", "back late"} {
		first := queue.First(now)
		if first.Value() != want {
			t.Fatalf("the %s request goes first, want the %s one", first.Value(), want)
		}
		queue.Remove(first)
	}
}

// shared is a queue in which a flood of one tenant waits, late and about to give up, and
// what each tenant had lately.
func shared() *waiting.Queue[string] {
	had := map[string]float64{"flood": 9000, "small": 40}
	queue := &waiting.Queue[string]{}
	queue.EnableFairShare(func(place waiting.SortKey) float64 { return had[place.Tenant().Name] })
	for arrival := range uint64(20) {
		place := waiting.NewSortKey(waiting.Priority{}, arrival, now.Add(-time.Second), now.Add(100*time.Millisecond))
		queue.Add(place.WithTenant(waiting.Tenant{Name: "flood"}), "flood")
	}
	return queue
}

// TestFloodThatGivesUpSoonDoesNotGoBeforeOthers: its late requests went before the timely ones
// of all others.
func TestFloodThatGivesUpSoonDoesNotGoBeforeOthers(t *testing.T) {
	queue := shared()
	small := waiting.NewSortKey(waiting.Priority{}, 99, now.Add(long), now.Add(long)).WithTenant(waiting.Tenant{Name: "small"})
	if ahead := queue.CountAhead(small, now); ahead != 0 {
		t.Fatalf("%d of the flood go before a request of a tenant that had little", ahead)
	}
	queue.Add(small, "small")
	if first := queue.First(now).Value(); first != "small" {
		t.Fatalf("the %s goes first", first)
	}
}

// TestFloodAloneKeepsItsOrder: where no other tenant waits, what gives up soon goes first.
func TestFloodAloneKeepsItsOrder(t *testing.T) {
	queue := shared()
	timely := waiting.NewSortKey(waiting.Priority{}, 99, now.Add(long), now.Add(long)).WithTenant(waiting.Tenant{Name: "flood"})
	if ahead := queue.CountAhead(timely, now); ahead != 20 {
		t.Fatalf("%d that give up soon go first", ahead)
	}
}

// TestPriorityGoesBeforeShare: tenants share only within one priority.
func TestPriorityGoesBeforeShare(t *testing.T) {
	queue := shared()
	lower := waiting.NewSortKey(waiting.Priority{Tenant: 1}, 99, now.Add(long), now.Add(long)).WithTenant(waiting.Tenant{Name: "small"})
	if ahead := queue.CountAhead(lower, now); ahead != 20 {
		t.Fatalf("%d of 20 of a higher priority go first", ahead)
	}
}

// TestWalkVisitsInOrderUntilItIsEnded, and in the order in which requests would leave.
func TestWalkVisitsInOrderUntilItIsEnded(t *testing.T) {
	late, timely, pressing, lower := places()
	queue := waiting.Queue[string]{}
	for value, place := range map[string]waiting.SortKey{"lower": lower, "late": late, "timely": timely, "pressing": pressing} {
		queue.Add(place, value)
	}
	want := []string{"pressing", "timely", "late", "lower"}
	for most := range len(want) {
		var visited []string
		queue.Walk(now, func(entry *waiting.Entry[string]) bool {
			visited = append(visited, entry.Value())
			return len(visited) <= most
		})
		if !slices.Equal(visited, want[:most+1]) {
			t.Fatalf("%v are visited, want %v", visited, want[:most+1])
		}
	}
	queue.Walk(now, func(entry *waiting.Entry[string]) bool {
		want = want[1:]
		return true
	})
	if len(want) != 0 || queue.Len() != 4 {
		t.Fatalf("%d are not visited, and %d wait", len(want), queue.Len())
	}
}
