package gate_test

import (
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/gate"
)

func TestGatesAreOnUnlessNamed(t *testing.T) {
	set := gate.NewSet([]string{"pace"})
	for _, each := range gate.All() {
		if !(gate.Set{}).On(each) || gate.Check(string(each)) != nil {
			t.Errorf("%s is off in the zero value, or rejected by Check", each)
		}
		if set.On(each) != (each != gate.Pace) {
			t.Errorf("On(%s) = %v", each, set.On(each))
		}
	}
}

func TestCheckRejectsUnknownGateAndListsNames(t *testing.T) {
	err := gate.Check("peace")
	if err == nil || fault.From(err).Kind != fault.InvalidArgument || !strings.Contains(fault.From(err).Remedy, "fair_share") {
		t.Fatalf("got %v", err)
	}
}
