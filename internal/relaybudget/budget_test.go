package relaybudget_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/relaybudget"
)

const (
	limit = 36 << 20
	chunk = 8 << 10
)

// clock is a moment that tests move.
var clock = time.UnixMilli(1)

type reader = relaybudget.Reader[string]

// fill keeps chunks for a reader until the budget says otherwise, and returns what it said.
func fill(t *testing.T, budget *relaybudget.Budget[string], of *reader, most int, now time.Time) relaybudget.Verdict {
	t.Helper()
	for range most {
		verdict, ended := budget.Reserve(of, chunk, now)
		if len(ended) > 0 {
			t.Fatalf("%s ends %s", of.Owner(), ended[0].Owner())
		}
		if verdict != relaybudget.Granted {
			return verdict
		}
	}
	return relaybudget.Granted
}

func check(t *testing.T, budget *relaybudget.Budget[string]) {
	t.Helper()
	if err := budget.Check(); err != nil {
		t.Fatal(err)
	}
}

// TestHugeReadersWaitAndThousandOthersDoNot: three clients that read nothing of huge answers
// take what is free, and wait. A thousand that fall behind a little beside them never do.
func TestHugeReadersWaitAndThousandOthersDoNot(t *testing.T) {
	budget := relaybudget.New[string](limit)
	for range 3 {
		if verdict := fill(t, budget, relaybudget.NewReader("huge"), limit/chunk, clock); verdict != relaybudget.Wait {
			t.Fatalf("a huge reader gets %v", verdict)
		}
	}
	for i := range 1000 {
		small := relaybudget.NewReader("small")
		if verdict, _ := budget.Reserve(small, chunk, clock); verdict != relaybudget.Granted {
			t.Fatalf("small reader %d gets %v", i, verdict)
		}
		check(t, budget)
	}
	if budget.Readers() < 1000 {
		t.Errorf("%d readers are left", budget.Readers())
	}
}

// TestSlowestAndLargestReaderIsEndedFirst: where all is used up, the room comes from the
// reader that holds much and takes little, neither from one that is as large and reads on,
// nor from a small one that reads nothing.
func TestSlowestAndLargestReaderIsEndedFirst(t *testing.T) {
	budget := relaybudget.New[string](limit)
	dark, brisk, small := relaybudget.NewReader("dark"), relaybudget.NewReader("brisk"), relaybudget.NewReader("small")
	fill(t, budget, small, 2, clock)
	for range 500 {
		fill(t, budget, dark, 1, clock)
		fill(t, budget, brisk, 1, clock)
	}
	later := clock.Add(2 * time.Second)
	for range 400 {
		budget.Release(brisk, chunk)
		fill(t, budget, brisk, 1, later)
	}
	for taken := int64(0); ; taken += relaybudget.SmallBody {
		verdict, ended := budget.ReserveBody(relaybudget.SmallBody, relaybudget.SmallBody, later)
		if verdict != relaybudget.Granted {
			t.Fatalf("a small body gets %v after %d bytes", verdict, taken)
		}
		check(t, budget)
		if len(ended) == 0 {
			continue
		}
		if len(ended) != 1 || ended[0] != dark || dark.Unread() != 0 {
			t.Fatalf("ended was %s", ended[0].Owner())
		}
		return
	}
}

// TestWaitingReaderGoesOnWhenOthersHaveRead: what a reader takes is room again.
func TestWaitingReaderGoesOnWhenOthersHaveRead(t *testing.T) {
	budget := relaybudget.New[string](limit)
	first, second := relaybudget.NewReader("first"), relaybudget.NewReader("second")
	fill(t, budget, first, limit, clock)
	fill(t, budget, second, 1, clock)
	budget.Remove(first)
	if !budget.HasRoom(chunk) {
		t.Fatal("no room is left")
	}
	if verdict, _ := budget.Reserve(second, chunk, clock); verdict != relaybudget.Granted {
		t.Fatalf("got %v", verdict)
	}
	check(t, budget)
}

// TestLargeBodiesAreRefusedWhileSmallOnesAreTaken: bodies gather before slow servers.
func TestLargeBodiesAreRefusedWhileSmallOnesAreTaken(t *testing.T) {
	budget := relaybudget.New[string](limit)
	large, taken := int64(1<<20), 0
	for {
		verdict, _ := budget.ReserveBody(large, large, clock)
		if verdict != relaybudget.Granted {
			break
		}
		taken++
	}
	if taken != 27 {
		t.Errorf("%d bodies of 1 MB are taken of 36 MB", taken)
	}
	if verdict, _ := budget.ReserveBody(chunk, chunk, clock); verdict != relaybudget.Granted {
		t.Errorf("a small body gets %v", verdict)
	}
	budget.ReleaseBody(large)
	if verdict, _ := budget.ReserveBody(large, large, clock); verdict != relaybudget.Refused {
		t.Error("the room of small bodies goes to a large one")
	}
	budget.ReleaseBody(chunk)
	if verdict, _ := budget.ReserveBody(large, large, clock); verdict != relaybudget.Granted {
		t.Error("a body that has left leaves no room")
	}
	check(t, budget)
}

// TestReaderOfALastPlaceIsRefusedWhereBodiesHoldAll: nothing that could be ended is left.
func TestReaderOfALastPlaceIsRefusedWhereBodiesHoldAll(t *testing.T) {
	budget := relaybudget.New[string](limit)
	for {
		if verdict, _ := budget.ReserveBody(chunk, chunk, clock); verdict != relaybudget.Granted {
			break
		}
	}
	if verdict, _ := budget.Reserve(relaybudget.NewReader("late"), chunk, clock); verdict != relaybudget.Refused {
		t.Errorf("got %v", verdict)
	}
	check(t, budget)
}
