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

func newRecorder() (*decision.Recorder, *memory.Handler, *time.Time) {
	handler := memory.New()
	now := time.UnixMilli(1)
	return decision.NewRecorder(&log.Logger{Handler: handler, Level: log.InfoLevel}, func() time.Time { return now }), handler, &now
}

func TestBudgetBoundsTheRecordsOfAKindAndCountsOmittedOnes(t *testing.T) {
	r, handler, now := newRecorder()
	for range 10 * decision.Burst {
		r.Record(decision.RequestRefused, "a", nil)
	}
	if len(handler.Entries) != decision.Burst {
		t.Fatalf("%d records were written in a burst", len(handler.Entries))
	}
	r.Record(decision.JobTaken, "b", nil)
	if len(handler.Entries) != decision.Burst+1 {
		t.Fatal("one kind exhausts the budget of another")
	}
	*now = now.Add(time.Second)
	r.Record(decision.RequestRefused, "a", nil)
	last := handler.Entries[len(handler.Entries)-1]
	if omitted := last.Fields["omitted_before"]; omitted != uint64(9*decision.Burst) {
		t.Fatalf("%v records are reported as omitted", omitted)
	}
}

func TestSamplingKeepsAllOrNoRecordsOfARequestAndAllFailures(t *testing.T) {
	r, handler, now := newRecorder()
	for i := range 1000 {
		id := strconv.Itoa(i)
		before := len(handler.Entries)
		r.Record(decision.RequestFinished, id, nil)
		r.Record(decision.ItemStarted, id, nil)
		written := len(handler.Entries) - before
		if written != 0 && written != 2 {
			t.Fatalf("%d of 2 records of request %s are written", written, id)
		}
		if (written == 2) != decision.Sampled(id) {
			t.Fatalf("the records of request %s do not agree with Sampled", id)
		}
		r.Record(decision.RequestRefused, id, nil)
		if len(handler.Entries)-before != written+1 {
			t.Fatalf("the refusal of request %s has no record", id)
		}
		*now = now.Add(time.Second)
	}
}

// blockingWriter is a writer that blocks until it is released.
type blockingWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	text    strings.Builder
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.text.Write(p)
}

func (w *blockingWriter) contains(text string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return strings.Contains(w.text.String(), text)
}

func TestBlockedOutputDoesNotBlockWritersAndDropsAreReported(t *testing.T) {
	target := &blockingWriter{release: make(chan struct{})}
	stream := decision.NewStream(target)
	const lines = 3 * decision.StreamCapacity
	for range lines {
		if n, err := stream.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	dropped := stream.Dropped()
	// The blocked goroutine may hold one line.
	if dropped < lines-decision.StreamCapacity-1 || dropped > lines-decision.StreamCapacity {
		t.Fatalf("%d lines dropped", dropped)
	}
	close(target.release)
	// Nothing else is written until then, so the reported total is exact.
	expected := `"total":` + strconv.FormatUint(dropped, 10)
	for deadline := time.Now().Add(10 * time.Second); !target.contains(expected); {
		if time.Now().After(deadline) {
			t.Fatal("the dropped lines are not reported")
		}
		time.Sleep(time.Millisecond)
	}
}
