package catalog

import (
	"testing"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/bench/mutant"
)

func TestOracleNoticesAMissingCompare(t *testing.T) {
	if !mutant.Killed(t, func(t *rapid.T) { run(t, hooks{skipCompare: true}) }) {
		t.Error("the oracle accepts a machine that does not compare numbers and checksums")
	}
}
