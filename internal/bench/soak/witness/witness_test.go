package witness_test

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/bench/soak/witness"
)

// rules counts the violations of each rule.
func rules(w *witness.Witness) map[witness.Rule]int {
	counts := map[witness.Rule]int{}
	for _, violation := range w.Violations() {
		counts[violation.Rule]++
	}
	return counts
}

func expect(t *testing.T, w *witness.Witness, want ...witness.Rule) {
	t.Helper()
	seen := rules(w)
	if len(seen) != len(want) {
		t.Fatalf("violations: %v, want %v", w.Violations(), want)
	}
	for _, rule := range want {
		if seen[rule] == 0 {
			t.Fatalf("violations: %v, want %v", w.Violations(), want)
		}
	}
}

// submitted returns a witness of one job with a good item and a poison item.
func submitted() *witness.Witness {
	w := witness.New()
	w.Submitting("job", map[string]string{"good": "text", "poison": ""})
	return w
}

var (
	good   = witness.NewResult("good", true, "text")
	poison = witness.NewResult("poison", false, "")
)

func TestCorrectRunHasNoViolations(t *testing.T) {
	w := submitted()
	w.Sent("once", true)
	w.Ran("once", "a", 0)
	w.Sent("safe", false)
	w.Ran("safe", "a", 0)
	w.Ran("safe", "b", 0)
	w.Sent("refused", true)
	w.Refused("refused", 0)
	for range 20 {
		w.BackendCrashed("at once", "a", 0, true)
		w.BackendCrashed("while others are harmed", "a", time.Hour, false)
	}
	for end := range 6 {
		w.BackendCrashed("three more", "a", time.Duration(end)*4*time.Second, true)
	}
	w.SetRateLimit("tenant", witness.NewRate(10, 5))
	for i := range 80 {
		// Requests sent before the span, and repeated runs, don't count.
		for _, sent := range []time.Duration{0, time.Minute} {
			id := fmt.Sprint("r-", i, "-", sent)
			w.SentForTenant("tenant", id, sent)
			w.RanForTenant("tenant", id, "a", time.Minute)
			w.RanForTenant("tenant", id, "b", time.Minute)
		}
	}
	w.Accepted("job")
	w.ItemRan("job", "good", "a", 0)
	w.ItemRan("job", "good", "b", 0)
	w.Results("job", 0, []witness.Result{good}, 0)
	w.Results("job", 0, []witness.Result{good, poison}, 0)
	w.Finish(0)
	expect(t, w)
}

// TestEachViolationIsDetected guards against violations that the witness fails to detect.
func TestEachViolationIsDetected(t *testing.T) {
	const now = 10 * time.Second
	for rule, violate := range map[witness.Rule]func(*witness.Witness){
		witness.RanTwice: func(w *witness.Witness) {
			w.Sent("r", true)
			w.Ran("r", "a", now)
			w.Ran("r", "b", now)
		},
		witness.RefusedButRan: func(w *witness.Witness) {
			w.Sent("r", false)
			w.Refused("r", now)
			w.Ran("r", "a", now)
		},
		witness.JobLost: func(w *witness.Witness) {
			w.Accepted("job")
			w.Results("job", 0, []witness.Result{good, poison}, now)
			w.JobNotFound("job", "unknown", now)
		},
		witness.ItemLost: func(w *witness.Witness) {
			w.Accepted("job")
			w.Results("job", 0, []witness.Result{good}, now)
		},
		witness.ResultChanged: func(w *witness.Witness) {
			w.Accepted("job")
			w.Results("job", 0, []witness.Result{good, poison}, now)
			w.Results("job", 1, []witness.Result{good}, now)
		},
		witness.ResultWrong: func(w *witness.Witness) {
			w.Accepted("job")
			w.Results("job", 0, []witness.Result{witness.NewResult("good", true, "tex"), poison}, now)
		},
		witness.ItemDuplicated: func(w *witness.Witness) {
			w.Accepted("job")
			w.Results("job", 0, []witness.Result{good, good}, now)
		},
		witness.RanAfterEnd: func(w *witness.Witness) {
			w.Accepted("job")
			w.Ending("job")
			w.Ended("job", now)
			w.ItemRan("job", "good", "a", now+time.Second)
			w.ItemRan("job", "good", "a", now+time.Minute)
		},
		witness.QuarantinedButRan: func(w *witness.Witness) {
			for end := range 7 {
				w.BackendCrashed("content", "a", time.Duration(end)*4*time.Second, true)
			}
		},
		witness.RateExceeded: func(w *witness.Witness) {
			w.SetRateLimit("tenant", witness.NewRate(10, 5))
			for i := range 81 {
				id := fmt.Sprint("r-", i)
				w.SentForTenant("tenant", id, now)
				w.RanForTenant("tenant", id, "a", now+time.Second)
			}
		},
		witness.WrongTenant: func(w *witness.Witness) {
			w.SetRateLimit("tenant", witness.NewRate(10, 5))
			w.SetRateLimit("other", witness.NewRate(10, 5))
			w.SentForTenant("tenant", "r", now)
			w.RanForTenant("other", "r", "a", now)
		},
		witness.RefusedJobRan: func(w *witness.Witness) { w.ItemRan("job", "good", "a", now) },
		witness.WrongAnswer:   func(w *witness.Witness) { w.ItemRan("job", "other", "a", now) },
	} {
		w := submitted()
		violate(w)
		w.Finish(now)
		if rules(w)[rule] == 0 {
			t.Errorf("%s was not detected; violations: %v", rule, w.Violations())
		}
	}
}

func TestFailedItemIsViolationUnlessPoisonOrItsJobEnded(t *testing.T) {
	dead := witness.NewResult("good", false, "")
	w := submitted()
	w.Accepted("job")
	w.Results("job", 0, []witness.Result{dead, poison}, 0)
	w.Finish(0)
	expect(t, w, witness.ResultWrong)

	w = submitted()
	w.Accepted("job")
	w.Ending("job")
	w.Results("job", 0, []witness.Result{dead}, 0)
	w.Finish(0)
	expect(t, w)
}

func TestItemOfUncertainSubmissionMayRun(t *testing.T) {
	w := submitted()
	w.SubmissionUncertain("job")
	w.ItemRan("job", "good", "a", 0)
	w.Finish(0)
	expect(t, w)
}
