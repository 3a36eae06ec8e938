package directory

import (
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Shards returns the number of ordinary shards, zero before the founding of the store cluster. They
// are numbered from zero. Jobs, limits and rates are distributed by a hash over this number.
func (v *View) Shards() int {
	count := 0
	for _, group := range v.StoreCluster().GetGroups() {
		if group.GetRegion() == "" {
			count++
		}
	}
	return count
}

// AllShards returns the number of all shards, including the regional ones.
func (v *View) AllShards() int { return len(v.StoreCluster().GetGroups()) }

// RegionalShards lists the shards whose replicas are restricted to one region. They are numbered
// after the ordinary shards.
func (v *View) RegionalShards() []*rockwindpb.FoundingGroup {
	var regional []*rockwindpb.FoundingGroup
	for _, group := range v.StoreCluster().GetGroups() {
		if group.GetRegion() != "" {
			regional = append(regional, group)
		}
	}
	return regional
}

// RegionalShard returns the regional shard of a region; false if the region has none.
func (v *View) RegionalShard(region string) (uint32, bool) {
	for _, group := range v.StoreCluster().GetGroups() {
		if region != "" && group.GetRegion() == region {
			return group.GetGroup(), true
		}
	}
	return 0, false
}

// Shard returns the founding of a shard, nil if it is not known.
func (v *View) Shard(number uint32) *rockwindpb.FoundingGroup {
	for _, group := range v.StoreCluster().GetGroups() {
		if group.GetGroup() == number {
			return group
		}
	}
	return nil
}

// ShardRegion returns the region to which the replicas of a shard are restricted, empty for an
// ordinary shard.
func (v *View) ShardRegion(shard uint32) string { return v.Shard(shard).GetRegion() }
