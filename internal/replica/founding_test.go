package replica

import (
	"testing"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Each group has five machines, or all where there are fewer, and no machine
// holds more than its even part of all replicas, rounded up.
func TestFoundingSpreadsGroupsEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := rapid.IntRange(1, 20).Draw(t, "machines")
		shards := rapid.IntRange(1, 30).Draw(t, "shards")
		var candidates []*candidate
		for number := range machines {
			candidates = append(candidates, &candidate{
				identity: &rockwindpb.IdentityResponse{DiskId: uint64(number + 1)},
			})
		}
		held := make(map[uint64]int)
		total := 0
		for _, group := range newFounding(candidates, shards).GetGroups() {
			distinct := make(map[uint64]bool)
			for _, member := range group.GetMembership().GetMembers() {
				distinct[member.GetId()] = true
				held[member.GetId()]++
				total++
			}
			if len(distinct) != min(machines, largestGroup) {
				t.Fatalf("group %d is on %d machines of %d", group.GetGroup(), len(distinct), machines)
			}
		}
		for id, count := range held {
			if even := (total + machines - 1) / machines; count > even {
				t.Fatalf("machine %d holds %d of %d replicas, its part is %d", id, count, total, even)
			}
		}
	})
}
