package fingerprint_test

import (
	"fmt"
	"slices"
	"testing"

	"rockwind.example/rockwind/internal/fingerprint"
)

// Guards against a part that is another one in each request because of its place or company, and
// against parts of two services that are taken for the same.
func TestPartsAreTheSameInEachRequestOfAService(t *testing.T) {
	first := fingerprint.OfParts("models", []string{"a", "b", "own"})
	second := fingerprint.OfParts("models", []string{"b", "c", "a", "other"})
	if len(first) != 2 || len(second) != 3 || first[0] != second[2] || first[1] != second[0] {
		t.Error(first, second)
	}
	if slices.Contains(second, first[0]) && first[0] == first[1] {
		t.Error("two parts have one fingerprint")
	}
	if elsewhere := fingerprint.OfParts("app", []string{"a", "b", "own"}); elsewhere[0] == first[0] {
		t.Error("a part of another service has the same fingerprint")
	}
	if shifted := fingerprint.OfParts("modelsa", []string{"", "own"}); shifted[0] == fingerprint.OfParts("models", []string{"a", "own"})[0] {
		t.Error("service and part are not kept apart")
	}
}

// Guards against a request that is known by its own last part, and against prompts of unbounded cost.
func TestPartsOfAPromptAreBounded(t *testing.T) {
	for _, ids := range [][]string{nil, {"own"}} {
		if parts := fingerprint.OfParts("models", ids); parts != nil {
			t.Errorf("%v has the parts %v", ids, parts)
		}
	}
	var ids []string
	for place := range 1000 {
		ids = append(ids, fmt.Sprint(place))
	}
	if parts := fingerprint.OfParts("models", ids); len(parts) != fingerprint.MaxParts {
		t.Errorf("%d parts", len(parts))
	}
}

func BenchmarkOfParts(b *testing.B) {
	ids := []string{"5c1e07a2", "91bd3f06", "e4402b7d", "own"}
	for b.Loop() {
		fingerprint.OfParts("hint-models", ids)
	}
}
