package architecture_test

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

var (
	usesRapid = regexp.MustCompile(`"pgregory\.net/rapid"`)
	fixesSeed = regexp.MustCompile(`"rapid\.seed"`)
)

// TestPropertyTestsHaveFixedSeeds checks that each package with property tests sets
// the flag rapid.seed, so that runs are reproducible.
func TestPropertyTestsHaveFixedSeeds(t *testing.T) {
	draws, fixed := map[string]bool{}, map[string]bool{}
	for _, depth := range []string{"*", "*/*", "*/*/*"} {
		paths, err := filepath.Glob(filepath.Join(internalFolder, depth, "*_test.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			source, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			folder := filepath.Dir(path)
			draws[folder] = draws[folder] || usesRapid.Match(source)
			fixed[folder] = fixed[folder] || fixesSeed.Match(source)
		}
	}
	if len(draws) == 0 {
		t.Fatal("no tests were found")
	}
	for folder := range draws {
		if draws[folder] && !fixed[folder] {
			t.Errorf("the property tests of %s have no fixed seed; set the flag rapid.seed as internal/wal/seed_test.go does", folder)
		}
	}
}
