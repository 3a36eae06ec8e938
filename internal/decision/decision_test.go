package decision_test

import (
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"rockwind.example/rockwind/internal/decision"
)

func recorder() (*decision.Recorder, *memory.Handler, *time.Time) {
	handler := memory.New()
	now := time.UnixMilli(1)
	return decision.NewRecorder(&log.Logger{Handler: handler, Level: log.InfoLevel}, func() time.Time { return now }), handler, &now
}

func TestBudgetBoundsTheLinesOfAKindAndCountsWhatIsLeftOut(t *testing.T) {
	r, handler, now := recorder()
	for range 10 * decision.Burst {
		r.Record(decision.RequestRefused, "a", nil)
	}
	if len(handler.Entries) != decision.Burst {
		t.Fatalf("%d lines at once", len(handler.Entries))
	}
	r.Record(decision.JobTaken, "b", nil)
	if len(handler.Entries) != decision.Burst+1 {
		t.Fatal("one kind uses up the budget of another")
	}
	*now = now.Add(time.Second)
	r.Record(decision.RequestRefused, "a", nil)
	last := handler.Entries[len(handler.Entries)-1]
	if omitted := last.Fields["omitted_before"]; omitted != uint64(9*decision.Burst) {
		t.Fatalf("%v lines are said to be left out", omitted)
	}
}

func TestRequestsAreSampledWholeAndFailuresAlwaysWritten(t *testing.T) {
	r, handler, now := recorder()
	for i := range 1000 {
		id := strconv.Itoa(i)
		before := len(handler.Entries)
		r.Record(decision.RequestFinished, id, nil)
		r.Record(decision.ItemStarted, id, nil)
		written := len(handler.Entries) - before
		if written != 0 && written != 2 {
			t.Fatalf("%d of 2 lines of request %s are written", written, id)
		}
		if (written == 2) != decision.Sampled(id) {
			t.Fatalf("request %s is not written as Sampled says", id)
		}
		r.Record(decision.RequestRefused, id, nil)
		if len(handler.Entries)-before != written+1 {
			t.Fatalf("the refusal of request %s is not written", id)
		}
		*now = now.Add(time.Second)
	}
}

// stuck is a writer that blocks until it is released.
type stuck struct {
	release chan struct{}
	mutex   sync.Mutex
	text    strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.text.Write(p)
}

func (s *stuck) contains(text string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return strings.Contains(s.text.String(), text)
}

func TestBlockedOutputNeverBlocksWritersAndDropsAreTold(t *testing.T) {
	target := &stuck{release: make(chan struct{})}
	stream := decision.NewStream(target)
	const lines = 3 * decision.StreamLines
	for range lines {
		if n, err := stream.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	dropped := stream.Dropped()
	// One line may be in the hands of the goroutine that is blocked.
	if dropped < lines-decision.StreamLines-1 || dropped > lines-decision.StreamLines {
		t.Fatalf("%d lines dropped", dropped)
	}
	close(target.release)
	// Nothing is written meanwhile, so the total that is told is exactly this one.
	wanted := `"total":` + strconv.FormatUint(dropped, 10)
	for deadline := time.Now().Add(10 * time.Second); !target.contains(wanted); {
		if time.Now().After(deadline) {
			t.Fatal("the dropped lines are not told")
		}
		time.Sleep(time.Millisecond)
	}
}
