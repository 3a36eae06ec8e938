package directory

import (
	"slices"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

const (
	// regionReplicas is how many replicas of an ordinary shard are in the region of its first member.
	// Three of five are a majority, so that an entry is committed without waiting for another region,
	// and two copies of it cross regions instead of three.
	regionReplicas = 3
	// survivableRegionReplicas is the maximum in any region if the loss of a region must be survived:
	// the other three of five are a majority.
	survivableRegionReplicas = 2
)

// placement assigns the replicas of the ordinary shards of a site with several regions.
type placement struct {
	stores  []*rockwindpb.Machine
	regions []string
	// perRegion is the maximum number of replicas of a shard in one region.
	perRegion int
	// surviveRegions makes the bound of replicas in a region more important than that of shards at a store.
	surviveRegions bool
	// perStore is the maximum number of shards that a store replicates, and replicated the number assigned
	// to each store.
	perStore   int
	replicated []int
}

// ordinaryShardsByRegion returns one shard for each store, which is its first member. A majority of
// the replicas is in the region of the first member, unless the loss of a region must be survived.
// The others are spread over the other regions.
func ordinaryShardsByRegion(stores []*rockwindpb.Machine, policy FoundingPolicy) []*rockwindpb.FoundingGroup {
	p := newPlacement(stores, policy)
	shards := make([][]int, len(stores))
	for shard := range shards {
		shards[shard] = p.assign(shard)
	}
	for store := range stores {
		for !p.surviveRegions && p.replicated[store] > p.perStore {
			p.moveReplica(shards, store)
		}
	}
	var groups []*rockwindpb.FoundingGroup
	for shard, members := range shards {
		membership := &rockwindpb.Membership{}
		for _, member := range members {
			membership.Members = append(membership.Members, newMember(stores[member]))
		}
		groups = append(groups, &rockwindpb.FoundingGroup{Group: uint32(shard), Membership: membership})
	}
	return groups
}

func newPlacement(stores []*rockwindpb.Machine, policy FoundingPolicy) *placement {
	p := &placement{stores: stores, perRegion: regionReplicas, replicated: make([]int, len(stores))}
	if policy.ToleratedRegionLosses > 0 {
		p.perRegion, p.surviveRegions = survivableRegionReplicas, true
	}
	// There are as many shards as stores, so a store has as many replicas as a shard on average.
	p.perStore = min(len(stores), maxShardReplicas) + 1
	for i, store := range stores {
		p.regions = append(p.regions, regionOrZone(policy.Regions, store.GetZone()))
		p.replicated[i] = 1
	}
	return p
}

// regionOrZone returns the region of a zone. A zone that the settings do not list counts as a region of its
// own here, since nothing is known about its distance to others. topology.Map.Distance, in contrast, takes two
// such zones for one region.
func regionOrZone(regions topology.Map, zone string) string {
	if region := regions.Region(zone); region != "" {
		return region
	}
	return "zone " + zone
}

// assign returns the positions of the stores that replicate a shard, beginning with the store of the
// same number.
func (p *placement) assign(shard int) []int {
	members := []int{shard}
	for len(members) < min(len(p.stores), maxShardReplicas) {
		next := p.next(members)
		p.replicated[next]++
		members = append(members, next)
	}
	return members
}

// next returns the best further member of a shard. If no store satisfies both bounds, the less important
// one is ignored, and if none satisfies the other one, both.
func (p *placement) next(members []int) int {
	regionBelowBound := func(store int) bool { return p.inRegion(members, p.regions[store]) < p.perRegion }
	storeBelowBound := func(store int) bool { return p.replicated[store] < p.perStore }
	important := storeBelowBound
	if p.surviveRegions {
		important = regionBelowBound
	}
	for _, allowed := range []func(store int) bool{
		func(store int) bool { return regionBelowBound(store) && storeBelowBound(store) },
		important,
		func(int) bool { return true },
	} {
		best := -1
		for offset := range p.stores {
			store := (members[0] + offset) % len(p.stores)
			if !slices.Contains(members, store) && allowed(store) && (best < 0 || slices.Compare(p.rank(members, store), p.rank(members, best)) < 0) {
				best = store
			}
		}
		if best >= 0 {
			return best
		}
	}
	return -1
}

// moveReplica moves one replica of a store with too many of them to another store. There is always one that
// can take it: a store with at most the average number of replicas does not have all shards that the first
// store replicates without being their first member.
func (p *placement) moveReplica(shards [][]int, store int) {
	var bestMembers, bestRank []int
	bestPosition, best := 0, -1
	for _, members := range shards {
		position := slices.Index(members, store)
		if position < 1 {
			continue
		}
		others := slices.Delete(slices.Clone(members), position, position+1)
		for other := range p.stores {
			if slices.Contains(members, other) || p.replicated[other] >= p.perStore {
				continue
			}
			if rank := p.rank(others, other); best < 0 || slices.Compare(rank, bestRank) < 0 {
				bestMembers, bestRank, bestPosition, best = members, rank, position, other
			}
		}
	}
	bestMembers[bestPosition] = best
	p.replicated[store]--
	p.replicated[best]++
}

// rank orders the candidates for a further member of a shard, the best first: the region of the first
// member, then regions with few replicas of the shard, then stores with few shards, then zones with few
// replicas of the shard.
func (p *placement) rank(members []int, store int) []int {
	region := p.regions[store]
	elsewhere := 0
	if region != p.regions[members[0]] {
		elsewhere = 1 + p.inRegion(members, region)
	}
	return []int{elsewhere, p.replicated[store], p.inZone(members, p.stores[store].GetZone())}
}

func (p *placement) inRegion(members []int, region string) int {
	count := 0
	for _, member := range members {
		if p.regions[member] == region {
			count++
		}
	}
	return count
}

func (p *placement) inZone(members []int, zone string) int {
	count := 0
	for _, member := range members {
		if p.stores[member].GetZone() == zone {
			count++
		}
	}
	return count
}
