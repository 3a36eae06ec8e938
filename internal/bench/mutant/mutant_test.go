package mutant_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/bench/mutant"
)

// TestNoticedFailsOnlyWithTheProperty, whichever way that fails, and leaves the flags of rapid
// as they were.
func TestNoticedFailsOnlyWithTheProperty(t *testing.T) {
	before := flag.Lookup("rapid.shrinktime").Value.String()
	for name, test := range map[string]struct {
		property func(*rapid.T)
		want     bool
	}{
		"it holds":   {func(t *rapid.T) { rapid.Int().Draw(t, "any") }, false},
		"it errs":    {func(t *rapid.T) { t.Error("on purpose") }, true},
		"it is over": {func(t *rapid.T) { t.Fatal("on purpose") }, true},
		"it panics":  {func(*rapid.T) { panic("on purpose") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			if noticed := mutant.Killed(t, test.property); noticed != test.want {
				t.Errorf("noticed: %v", noticed)
			}
		})
	}
	if after := flag.Lookup("rapid.shrinktime").Value.String(); after != before {
		t.Errorf("the time to make cases smaller is %s, and was %s", after, before)
	}
}
