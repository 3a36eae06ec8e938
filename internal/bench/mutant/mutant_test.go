package mutant_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/bench/mutant"
)

// Killed must report every kind of failure of the property, and only these, and restore the flags
// of rapid.
func TestKilledReportsFailureOfProperty(t *testing.T) {
	before := flag.Lookup("rapid.shrinktime").Value.String()
	for name, test := range map[string]struct {
		property func(*rapid.T)
		want     bool
	}{
		"holds":       {func(t *rapid.T) { rapid.Int().Draw(t, "any") }, false},
		"calls Error": {func(t *rapid.T) { t.Error("on purpose") }, true},
		"calls Fatal": {func(t *rapid.T) { t.Fatal("on purpose") }, true},
		"panics":      {func(*rapid.T) { panic("on purpose") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			if killed := mutant.Killed(t, test.property); killed != test.want {
				t.Errorf("got %v", killed)
			}
		})
	}
	if after := flag.Lookup("rapid.shrinktime").Value.String(); after != before {
		t.Errorf("rapid.shrinktime is %s after the check, want %s", after, before)
	}
}
