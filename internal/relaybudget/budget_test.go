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

// clock is the time at the start of a test.
var clock = time.UnixMilli(1)

type reader = relaybudget.Reader[string]

// fill reserves chunks for a reader, up to the given number, until one is not granted. It returns
// the last verdict.
func fill(t *testing.T, budget *relaybudget.Budget[string], of *reader, most int, now time.Time) relaybudget.Verdict {
	t.Helper()
	for range most {
		verdict, ended := budget.Reserve(of, chunk, now)
		if len(ended) > 0 {
			t.Fatalf("%s caused the end of %s", of.Owner(), ended[0].Owner())
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

// TestLargeReadersWaitAndSmallReadersDoNot: three clients that do not read their huge
// responses must wait, and a thousand small readers beside them must not.
func TestLargeReadersWaitAndSmallReadersDoNot(t *testing.T) {
	budget := relaybudget.New[string](limit)
	for range 3 {
		if verdict := fill(t, budget, relaybudget.NewReader("huge"), limit/chunk, clock); verdict != relaybudget.Wait {
			t.Fatalf("a large reader gets %v", verdict)
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

// TestSlowestLargeReaderIsEndedFirst: when memory is used up, the reader that holds much and
// reads little must be ended, rather than an equally large one that reads or a small one
// that does not.
func TestSlowestLargeReaderIsEndedFirst(t *testing.T) {
	budget := relaybudget.New[string](limit)
	unreading, brisk, small := relaybudget.NewReader("dark"), relaybudget.NewReader("brisk"), relaybudget.NewReader("small")
	fill(t, budget, small, 2, clock)
	for range 500 {
		fill(t, budget, unreading, 1, clock)
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
		if len(ended) != 1 || ended[0] != unreading || unreading.Unread() != 0 {
			t.Fatalf("ended reader: %s", ended[0].Owner())
		}
		return
	}
}

// TestWaitingReaderContinuesAfterOthersLeave: memory of a removed reader must be available
// again.
func TestWaitingReaderContinuesAfterOthersLeave(t *testing.T) {
	budget := relaybudget.New[string](limit)
	first, second := relaybudget.NewReader("first"), relaybudget.NewReader("second")
	fill(t, budget, first, limit, clock)
	fill(t, budget, second, 1, clock)
	budget.Remove(first)
	if !budget.HasRoom(chunk) {
		t.Fatal("no memory is left")
	}
	if verdict, _ := budget.Reserve(second, chunk, clock); verdict != relaybudget.Granted {
		t.Fatalf("got %v", verdict)
	}
	check(t, budget)
}

// TestLargeBodiesAreRefusedBeforeSmallOnes guards the memory for small bodies.
func TestLargeBodiesAreRefusedBeforeSmallOnes(t *testing.T) {
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
		t.Errorf("%d bodies of 1 MB were accepted in 36 MB", taken)
	}
	if verdict, _ := budget.ReserveBody(chunk, chunk, clock); verdict != relaybudget.Granted {
		t.Errorf("a small body gets %v", verdict)
	}
	budget.ReleaseBody(large)
	if verdict, _ := budget.ReserveBody(large, large, clock); verdict != relaybudget.Refused {
		t.Error("a large body got the memory for small ones")
	}
	budget.ReleaseBody(chunk)
	if verdict, _ := budget.ReserveBody(large, large, clock); verdict != relaybudget.Granted {
		t.Error("a released body left no room")
	}
	check(t, budget)
}

// TestReaderIsRefusedWhenBodiesUseAllMemory: there is no reader that could be ended.
func TestReaderIsRefusedWhenBodiesUseAllMemory(t *testing.T) {
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
