package command

import (
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// TestMissingListsWhyClusterIsNotRepaired makes one change at a time to a cluster with
// full redundancy, and expects exactly that change to be reported.
func TestMissingListsWhyClusterIsNotRepaired(t *testing.T) {
	group := func(number uint32, repaired bool) *rockwindpb.GroupStatus {
		return &rockwindpb.GroupStatus{Group: number, Repaired: repaired}
	}
	whole := func() *clusterState {
		return &clusterState{
			machines: []machineState{
				{identity: &rockwindpb.IdentityResponse{Machine: "a", Groups: []*rockwindpb.GroupStatus{group(0, true), group(1, false)}}},
				{identity: &rockwindpb.IdentityResponse{Machine: "b", Groups: []*rockwindpb.GroupStatus{group(0, false), group(1, true)}}},
			},
			copies: &rockwindpb.CopiesResponse{WantedCopies: 2, FewestCopies: 2, Segments: 1},
		}
	}
	if missing := whole().missing(); len(missing) > 0 {
		t.Fatalf("a cluster with full redundancy lacks %q", missing)
	}
	for wanted, change := range map[string]func(*clusterState){
		"does not answer": func(c *clusterState) {
			c.machines[0] = machineState{address: "ip:1", err: fault.New(fault.Unavailable, "down", "start it")}
			c.machines[1].identity.Groups[0].Repaired = true
		},
		"b is in no group": func(c *clusterState) {
			c.machines[1].identity.Groups = nil
			c.machines[0].identity.Groups[1].Repaired = true
		},
		"group 1 has no leader": func(c *clusterState) { c.machines[1].identity.Groups[1].Repaired = false },
		"no machine could":      func(c *clusterState) { c.copies = nil },
		"b does not tell":       func(c *clusterState) { c.copies.SilentMachines = []string{"b"} },
		"3 segments of bodies":  func(c *clusterState) { c.copies.ShortSegments = 3 },
	} {
		changed := whole()
		change(changed)
		if missing := changed.missing(); len(missing) != 1 || !strings.Contains(missing[0], wanted) {
			t.Errorf("the change %q gives %q", wanted, missing)
		}
	}
}

// TestAnswerWithFewerMissingCopiesIsPreferred checks that the response with fewer silent
// machines is preferred, and then the one with fewer short segments.
func TestAnswerWithFewerMissingCopiesIsPreferred(t *testing.T) {
	cutOff := &rockwindpb.CopiesResponse{SilentMachines: []string{"b"}}
	fresh := &rockwindpb.CopiesResponse{ShortSegments: 2}
	whole := &rockwindpb.CopiesResponse{Repaired: true}
	if !missesFewer(fresh, cutOff) || !missesFewer(whole, fresh) || missesFewer(fresh, whole) {
		t.Fatal("a response with more missing is preferred")
	}
}
