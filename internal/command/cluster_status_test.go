package command

import (
	"strings"
	"testing"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// TestMissingNamesWhatKeepsFromRepaired changes one thing at a time in a cluster
// that lacks nothing.
func TestMissingNamesWhatKeepsFromRepaired(t *testing.T) {
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
		t.Fatalf("a whole cluster lacks %q", missing)
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

// TestAnswerThatMissesLessIsTaken prefers the machine that reaches more, and then
// the one that knows what is not needed any more.
func TestAnswerThatMissesLessIsTaken(t *testing.T) {
	cutOff := &rockwindpb.CopiesResponse{SilentMachines: []string{"b"}}
	fresh := &rockwindpb.CopiesResponse{ShortSegments: 2}
	whole := &rockwindpb.CopiesResponse{Repaired: true}
	if !missesLess(fresh, cutOff) || !missesLess(whole, fresh) || missesLess(fresh, whole) {
		t.Fatal("an answer that misses more is taken")
	}
}
