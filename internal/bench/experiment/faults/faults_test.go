package faults

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"rockwind.example/rockwind/internal/bench/caller"
	"rockwind.example/rockwind/internal/standin"
)

// TestClassifyItemsCountsEveryOutcome classifies items of every outcome.
func TestClassifyItemsCountsEveryOutcome(t *testing.T) {
	submitted := &job{}
	for _, id := range []string{"once", "lost", "twice", "changed", "gone", "failed", "wrong"} {
		submitted.items = append(submitted.items, expectedItem{customID: id, text: "answer"})
	}
	output := func(text string, failed bool) []caller.ItemOutput {
		return []caller.ItemOutput{{Text: text, Failed: failed}}
	}
	first := map[string][]caller.ItemOutput{
		"once": output("answer", false), "twice": append(output("answer", false), output("answer", false)...),
		"changed": output("answer", false), "gone": output("answer", false),
		"failed": output("", true), "wrong": output("other", false),
	}
	second := map[string][]caller.ItemOutput{
		"once": output("answer", false), "changed": output("other", false),
		"failed": output("", true), "wrong": output("other", false),
	}
	check := &checker{}
	check.classifyItems(submitted, first, second)
	wanted := itemCounts{CompletedOnce: 1, Lost: 1, Duplicated: 1, Changed: 2, Failed: 1, Wrong: 1}
	if check.items != wanted {
		t.Fatalf("got %+v, want %+v", check.items, wanted)
	}
}

// TestEveryViolationFailsTheExperiment checks that no count of violations is ignored.
func TestEveryViolationFailsTheExperiment(t *testing.T) {
	good := func() *Report { return &Report{Porcupine: string(porcupine.Ok)} }
	if bad := good().violations(); bad != 0 {
		t.Fatalf("%d violations in a good report", bad)
	}
	for name, raise := range map[string]func(*Report){
		"lost":         func(r *Report) { r.Lost++ },
		"unreadable":   func(r *Report) { r.Unreadable++ },
		"duplicated":   func(r *Report) { r.Duplicated++ },
		"changed":      func(r *Report) { r.Changed++ },
		"wrong":        func(r *Report) { r.Wrong++ },
		"failed":       func(r *Report) { r.Failed++ },
		"repeated":     func(r *Report) { r.RepeatedNonRepeatable++ },
		"not run":      func(r *Report) { r.NotRunButRan++ },
		"answers":      func(r *Report) { r.WrongAnswers++ },
		"cut":          func(r *Report) { r.CutStreamsPlannedStop++ },
		"reverts":      func(r *Report) { r.ConfigReverts++ },
		"late":         func(r *Report) { r.LateConfiguration++ },
		"resends":      func(r *Report) { r.JobResendsOtherAnswer++ },
		"after cancel": func(r *Report) { r.ItemsAfterCancel++ },
		"porcupine":    func(r *Report) { r.Porcupine = string(porcupine.Illegal) },
		"unknown":      func(r *Report) { r.Porcupine = string(porcupine.Unknown) },
	} {
		report := good()
		raise(report)
		if report.violations() == 0 {
			t.Errorf("a report with a bad count of %q passes", name)
		}
	}
}

// TestCompareJournalsFindsContradictions checks that requests executed twice, or
// executed despite the answer "not run", are counted.
func TestCompareJournalsFindsContradictions(t *testing.T) {
	seen := &record{
		servicesSent:   []string{"once", "twice", "never"},
		servicesNotRun: []string{"never", "ran"},
		chatsNotRun:    []string{"chat-ran", "chat-never"},
	}
	services := []standin.JournalEntry{{Key: "once"}, {Key: "twice"}, {Key: "twice"}, {Key: "ran"}}
	engines := []standin.JournalEntry{{ID: "chat-ran"}, {ID: "chat-other"}}
	wanted := executionCounts{RepeatedNonRepeatable: 1, NotRunButRan: 2}
	if judged := compareJournals(services, engines, seen); judged != wanted {
		t.Fatalf("got %+v, want %+v", judged, wanted)
	}
}

// TestApplyHistoryLinearizability checks the verdict on sequential histories of two
// operators.
func TestApplyHistoryLinearizability(t *testing.T) {
	type call struct {
		input  applyInput
		output applyOutput
	}
	a2, b2, b3 := applyInput{2, "a"}, applyInput{2, "b"}, applyInput{3, "b"}
	for name, history := range map[string]struct {
		calls  []call
		wanted porcupine.CheckResult
	}{
		"one wins":                 {[]call{{a2, applyAccepted}, {b2, applyRefused}, {b3, applyAccepted}}, porcupine.Ok},
		"both win":                 {[]call{{a2, applyAccepted}, {b2, applyAccepted}}, porcupine.Illegal},
		"none wins":                {[]call{{a2, applyRefused}, {b2, applyRefused}}, porcupine.Illegal},
		"a number is left out":     {[]call{{b3, applyAccepted}}, porcupine.Illegal},
		"a resend is accepted":     {[]call{{a2, applyAccepted}, {b3, applyAccepted}, {a2, applyAccepted}}, porcupine.Ok},
		"a resend is refused":      {[]call{{a2, applyAccepted}, {b3, applyAccepted}, {a2, applyRefused}}, porcupine.Illegal},
		"a lost answer took":       {[]call{{a2, applyUnknown}, {b2, applyRefused}, {b3, applyAccepted}}, porcupine.Ok},
		"a lost answer never took": {[]call{{a2, applyUnknown}, {b2, applyAccepted}}, porcupine.Ok},
	} {
		collected := newApplyHistory()
		for _, apply := range history.calls {
			collected.add(0, apply.input, apply.output, time.Now())
		}
		if judged := collected.check(1); judged != history.wanted {
			t.Errorf("%s: got %s, want %s", name, judged, history.wanted)
		}
	}
}

// TestEveryKindOccursBeforeAnyRepeats draws two rounds from each generator.
func TestEveryKindOccursBeforeAnyRepeats(t *testing.T) {
	for _, kinds := range [][]Kind{controlKinds, edgeKinds} {
		faults := newFaultGenerator(1, 1, kinds)
		for range 2 {
			injected := map[Kind]bool{}
			for range kinds {
				injected[faults.next().Kind] = true
			}
			if len(injected) != len(kinds) {
				t.Fatalf("one round contains %d of %d kinds", len(injected), len(kinds))
			}
		}
	}
}

// TestCutStreamIsAttributedToOverlappingKill checks snapshots taken before, during
// and after a kill.
func TestCutStreamIsAttributedToOverlappingKill(t *testing.T) {
	kills := newKillLog()
	before := kills.snapshot("gateway")
	kills.begin("gateway")
	during := kills.snapshot("gateway")
	kills.end("gateway")
	after := kills.snapshot("gateway")
	if !kills.killedSince("gateway", before) || !kills.killedSince("gateway", during) {
		t.Error("a stream cut by a kill is attributed to a planned stop")
	}
	if kills.killedSince("gateway", after) {
		t.Error("a stream that began after a kill is attributed to it")
	}
}
