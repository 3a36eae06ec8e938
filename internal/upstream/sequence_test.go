package upstream_test

import (
	"testing"

	"rockwind.example/rockwind/internal/upstream"
)

func event(number uint64) upstream.Event { return upstream.Event{Sequence: number, HasSequence: true} }

func TestEachEventIsPassedOnOnce(t *testing.T) {
	var sequence upstream.EventDeduplicator
	if sequence.String() != "" {
		t.Fatalf("a new stream goes on after %q", sequence.String())
	}
	for _, step := range []struct {
		number uint64
		isNew  bool
	}{{0, true}, {0, false}, {1, true}, {3, true}, {2, false}, {3, false}, {4, true}} {
		if got := sequence.Accept(event(step.number)); got != step.isNew {
			t.Fatalf("event %d is new: %v", step.number, got)
		}
	}
	if !sequence.Accept(upstream.Event{}) || sequence.String() != "4" || sequence.Last() != 4 {
		t.Fatalf("after the events: %q", sequence.String())
	}
}

func TestResumedStreamGoesOnAfterTheGivenEvent(t *testing.T) {
	sequence := upstream.NewEventDeduplicator("7")
	if sequence.Accept(event(7)) || !sequence.Accept(event(8)) {
		t.Fatal("the stream does not go on after event 7")
	}
	for _, text := range []string{"", "x", "-1"} {
		if begun := upstream.NewEventDeduplicator(text); begun.String() != "" || !begun.Accept(event(0)) {
			t.Fatalf("a stream resumed after %q does not begin anew", text)
		}
	}
}
