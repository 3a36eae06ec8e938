package directory

import (
	"slices"

	"rockwind.example/rockwind/internal/featurelevel"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// HasWitnesses reports whether a membership contains a witness.
func HasWitnesses(membership *rockwindpb.Membership) bool {
	return slices.ContainsFunc(membership.GetMembers(), (*rockwindpb.Member).GetWitness)
}

// addWitnesses adds witnesses to regional shards with too few stores to keep a majority after the tolerated losses of
// disks. A store that does not know witnesses would store content for another region, so there are none unless
// all stores announced their level. Coordinators only pass the memberships on. A shard gets all the witnesses that it needs or none:
// with a part of them, its majority would be larger and the loss of the same disks would still stop it.
func addWitnesses(ordinary, regional []*rockwindpb.FoundingGroup, stores []*rockwindpb.Machine, policy FoundingPolicy) {
	older := func(store *rockwindpb.Machine) bool { return store.GetFeatureLevel() < featurelevel.Witnesses }
	if slices.ContainsFunc(stores, older) {
		return
	}
	replicated := make(map[string]int)
	for _, shard := range slices.Concat(ordinary, regional) {
		for _, member := range shard.GetMembership().GetMembers() {
			replicated[member.GetMachine()]++
		}
	}
	for _, shard := range regional {
		chosen := chooseWitnesses(shard, stores, policy, replicated)
		for _, store := range chosen {
			replicated[store.GetName()]++
			witness := newMember(store)
			witness.Witness = true
			shard.Membership.Members = append(shard.Membership.Members, witness)
		}
	}
}

// witnessCount returns how many witnesses a regional shard needs beside a number of stores in its region: with them
// it keeps a majority after the tolerated losses, but at least one store of the region must remain.
func witnessCount(stores int, policy FoundingPolicy) int {
	losses := min((policy.Replicas-1)/2, stores-1)
	return max(0, 2*losses+1-stores)
}

// chooseWitnesses returns the stores of other regions that become witnesses of a regional shard: of regions with
// few witnesses of the shard first, then with few replicas, then by name.
func chooseWitnesses(shard *rockwindpb.FoundingGroup, stores []*rockwindpb.Machine, policy FoundingPolicy, replicated map[string]int) []*rockwindpb.Machine {
	var chosen []*rockwindpb.Machine
	inRegion := make(map[string]int)
	for count := witnessCount(len(shard.GetMembership().GetMembers()), policy); len(chosen) < count; {
		var best *rockwindpb.Machine
		rank := func(store *rockwindpb.Machine) []int {
			return []int{inRegion[policy.Regions.Region(store.GetZone())], replicated[store.GetName()]}
		}
		for _, store := range stores {
			region := policy.Regions.Region(store.GetZone())
			if region == "" || region == shard.GetRegion() || slices.Contains(chosen, store) {
				continue
			}
			if best == nil || slices.Compare(rank(store), rank(best)) < 0 {
				best = store
			}
		}
		if best == nil {
			return nil
		}
		inRegion[policy.Regions.Region(best.GetZone())]++
		chosen = append(chosen, best)
	}
	return chosen
}
