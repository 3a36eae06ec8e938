package upstream_test

import (
	"testing"

	"rockwind.example/rockwind/internal/upstream"
)

func event(number uint64) upstream.Event { return upstream.Event{Sequence: number, HasSequence: true} }

func TestEventDeduplicatorAcceptsEachEventOnce(t *testing.T) {
	var deduplicator upstream.EventDeduplicator
	if deduplicator.String() != "" {
		t.Fatalf("a new stream resumes after %q", deduplicator.String())
	}
	for _, step := range []struct {
		number uint64
		isNew  bool
	}{{0, true}, {0, false}, {1, true}, {3, true}, {2, false}, {3, false}, {4, true}} {
		if got := deduplicator.Accept(event(step.number)); got != step.isNew {
			t.Fatalf("event %d is new: %v", step.number, got)
		}
	}
	if !deduplicator.Accept(upstream.Event{}) || deduplicator.String() != "4" || deduplicator.Last() != 4 {
		t.Fatalf("after the events: %q", deduplicator.String())
	}
}

func TestEventDeduplicatorResumesAfterGivenEvent(t *testing.T) {
	deduplicator := upstream.NewEventDeduplicator("7")
	if deduplicator.Accept(event(7)) || !deduplicator.Accept(event(8)) {
		t.Fatal("the stream does not resume after event 7")
	}
	for _, text := range []string{"", "x", "-1"} {
		if begun := upstream.NewEventDeduplicator(text); begun.String() != "" || !begun.Accept(event(0)) {
			t.Fatalf("a stream resumed after %q does not start from the beginning", text)
		}
	}
}
