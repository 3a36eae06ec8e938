package featuregate_test

import (
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featuregate"
)

func TestGatesAreOnUnlessNamed(t *testing.T) {
	set := featuregate.NewSet([]string{"pace"})
	for _, each := range featuregate.All() {
		if !(featuregate.Set{}).On(each) || featuregate.Check(string(each)) != nil {
			t.Errorf("%s is off in the zero value, or rejected by Check", each)
		}
		if set.On(each) != (each != featuregate.Pace) {
			t.Errorf("On(%s) = %v", each, set.On(each))
		}
	}
}

func TestCheckRejectsUnknownGateAndListsNames(t *testing.T) {
	err := featuregate.Check("peace")
	if err == nil || fault.From(err).Kind != fault.InvalidArgument || !strings.Contains(fault.From(err).Remedy, "fair_share") {
		t.Fatalf("got %v", err)
	}
}
