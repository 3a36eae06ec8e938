package jobclient

import (
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Guards against data that counts as lost while a disk may still have it, and against a group whose only disks are gone
// that counts as merely away.
func TestLossOfAllDisksIsTold(t *testing.T) {
	const group = 3
	voter := func(machine string, disk uint64) *rockwindpb.Member {
		return &rockwindpb.Member{Machine: machine, Id: disk}
	}
	witness := &rockwindpb.Member{Machine: "w", Id: 90, Witness: true}
	learner := &rockwindpb.Member{Machine: "b", Id: 2, Learner: true}
	machine := func(name string, disk uint64, members ...*rockwindpb.Member) *rockwindpb.IdentityResponse {
		response := &rockwindpb.IdentityResponse{Machine: name, DiskId: disk, Started: true}
		if len(members) > 0 {
			response.Groups = []*rockwindpb.GroupStatus{
				{Group: group, Membership: &rockwindpb.Membership{Members: members}},
				{Group: group + 1, Membership: &rockwindpb.Membership{Members: []*rockwindpb.Member{voter(name, disk)}}},
			}
		}
		return response
	}
	for name, test := range map[string]struct {
		founding []*rockwindpb.Member
		machines []*rockwindpb.IdentityResponse
		want     bool
	}{
		"no machine answers":           {[]*rockwindpb.Member{voter("a", 1)}, nil, false},
		"no member is known":           {nil, []*rockwindpb.IdentityResponse{machine("a", 1)}, false},
		"the disk is there":            {[]*rockwindpb.Member{voter("a", 1)}, []*rockwindpb.IdentityResponse{machine("a", 1, voter("a", 1))}, false},
		"it does not run the group":    {[]*rockwindpb.Member{voter("a", 1)}, []*rockwindpb.IdentityResponse{machine("a", 1)}, false},
		"it has not started":           {[]*rockwindpb.Member{voter("a", 1)}, []*rockwindpb.IdentityResponse{{Machine: "a", DiskId: 11}}, false},
		"the only disk was replaced":   {[]*rockwindpb.Member{voter("a", 1)}, []*rockwindpb.IdentityResponse{machine("a", 11)}, true},
		"only a witness is left":       {[]*rockwindpb.Member{voter("a", 1), witness}, []*rockwindpb.IdentityResponse{machine("a", 11), machine("w", 90, voter("a", 1), witness)}, true},
		"only a learner is left":       {[]*rockwindpb.Member{voter("a", 1)}, []*rockwindpb.IdentityResponse{machine("a", 11), machine("b", 2, voter("a", 1), learner)}, true},
		"both disks were replaced":     {[]*rockwindpb.Member{voter("a", 1), voter("b", 2)}, []*rockwindpb.IdentityResponse{machine("a", 11), machine("b", 12)}, true},
		"one of two was replaced":      {[]*rockwindpb.Member{voter("a", 1), voter("b", 2)}, []*rockwindpb.IdentityResponse{machine("a", 11), machine("b", 2, voter("a", 1), voter("b", 2))}, false},
		"one of two is away":           {[]*rockwindpb.Member{voter("a", 1), voter("b", 2)}, []*rockwindpb.IdentityResponse{machine("a", 11)}, false},
		"a later member has the data":  {[]*rockwindpb.Member{voter("a", 1)}, []*rockwindpb.IdentityResponse{machine("a", 11), machine("b", 2, voter("a", 1), voter("b", 2))}, false},
		"a later member is away":       {[]*rockwindpb.Member{voter("a", 1)}, []*rockwindpb.IdentityResponse{machine("a", 11, voter("a", 1), voter("b", 2))}, false},
		"the new disk is a member now": {[]*rockwindpb.Member{voter("a", 1)}, []*rockwindpb.IdentityResponse{machine("a", 11, voter("a", 11))}, false},
	} {
		t.Run(name, func(t *testing.T) {
			founding := &rockwindpb.FoundingGroup{Group: group, Membership: &rockwindpb.Membership{Members: test.founding}}
			if got := isDataLost(founding, test.machines); got != test.want {
				t.Errorf("lost: %v, want %v", got, test.want)
			}
		})
	}
}
