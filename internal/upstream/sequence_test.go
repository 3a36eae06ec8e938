package upstream_test

import (
	"testing"

	"rockwind.example/rockwind/internal/upstream"
)

func event(number uint64) upstream.Event { return upstream.Event{Sequence: number, HasSequence: true} }

func TestEachEventIsPassedOnOnce(t *testing.T) {
	var sequence upstream.Sequence
	if sequence.String() != "" {
		t.Fatalf("a new stream goes on after %q", sequence.String())
	}
	for _, step := range []struct {
		number uint64
		isNew  bool
	}{{0, true}, {0, false}, {1, true}, {3, true}, {2, false}, {3, false}, {4, true}} {
		if got := sequence.Take(event(step.number)); got != step.isNew {
			t.Fatalf("event %d is new: %v", step.number, got)
		}
	}
	if !sequence.Take(upstream.Event{}) || sequence.String() != "4" || sequence.Last() != 4 {
		t.Fatalf("after the events: %q", sequence.String())
	}
}

func TestResumedStreamGoesOnAfterTheGivenEvent(t *testing.T) {
	sequence := upstream.ResumeAfter("7")
	if sequence.Take(event(7)) || !sequence.Take(event(8)) {
		t.Fatal("the stream does not go on after event 7")
	}
	for _, text := range []string{"", "x", "-1"} {
		if begun := upstream.ResumeAfter(text); begun.String() != "" || !begun.Take(event(0)) {
			t.Fatalf("a stream resumed after %q does not begin anew", text)
		}
	}
}
