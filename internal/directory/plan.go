package directory

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

const (
	// foundingQuietPeriod is how long no store must have appeared or changed before the
	// cluster is founded.
	foundingQuietPeriod = 700 * time.Millisecond
	// foundingTimeout is how long to wait for the wanted number of stores.
	foundingTimeout = 4 * time.Second
	// maxShardReplicas is the maximum number of replicas of a shard.
	maxShardReplicas = 5
)

// FoundingPolicy holds the requirements of a site's settings on the founding of its store cluster.
type FoundingPolicy struct {
	// Replicas is the number of replicas that a shard needs for the site's fault tolerance.
	Replicas int
	// Regions assigns zones to regions.
	Regions topology.Map
	// ToleratedRegionLosses is the number of regions whose simultaneous loss must be survived.
	ToleratedRegionLosses int
}

// PlanStoreCluster returns the founding of the store cluster if it is due, nil otherwise.
func PlanStoreCluster(view *View, policy FoundingPolicy, now time.Time) *rockwindpb.FoundRequest {
	if view.StoreCluster() != nil {
		return nil
	}
	stores := bootstrapStores(view)
	if len(stores) == 0 {
		return nil
	}
	first, last := stores[0].GetChangedUnixMs(), stores[0].GetChangedUnixMs()
	for _, store := range stores {
		first = min(first, store.GetChangedUnixMs())
		last = max(last, store.GetChangedUnixMs())
	}
	settled := now.UnixMilli()-last >= foundingQuietPeriod.Milliseconds()
	timedOut := now.UnixMilli()-first >= foundingTimeout.Milliseconds()
	if !settled || (len(stores) < policy.Replicas && !timedOut) {
		return nil
	}
	return newFounding(stores, policy)
}

// bootstrapStores lists the stores with the bootstrap flag and a disk, by name.
func bootstrapStores(view *View) []*rockwindpb.Machine {
	var stores []*rockwindpb.Machine
	for _, machine := range view.Machines() {
		if machine.GetRole() == rockwindpb.SiteRole_SITE_ROLE_STORE && machine.GetBootstrap() && machine.GetDiskId() != 0 {
			stores = append(stores, machine)
		}
	}
	return stores
}

// newFounding returns a founding with one shard for each store, so that each store can lead
// one, and, on a site with several regions, one regional shard for each region of the stores.
func newFounding(stores []*rockwindpb.Machine, policy FoundingPolicy) *rockwindpb.FoundRequest {
	stores = slices.SortedFunc(slices.Values(stores), func(a, b *rockwindpb.Machine) int { return cmp.Compare(a.GetName(), b.GetName()) })
	digest := sha256.New()
	for _, store := range stores {
		_, _ = fmt.Fprintf(digest, "%q %x\n", store.GetName(), store.GetDiskId())
	}
	request := &rockwindpb.FoundRequest{ClusterId: hex.EncodeToString(digest.Sum(nil)[:8])}
	if policy.Regions.MultiRegion() {
		ordinary, regional := ordinaryShardsByRegion(stores, policy), regionalShards(stores, policy.Regions)
		addWitnesses(ordinary, regional, stores, policy)
		request.Groups = append(ordinary, regional...)
		return request
	}
	for shard := range stores {
		request.Groups = append(request.Groups, &rockwindpb.FoundingGroup{Group: uint32(shard), Membership: newMembership(stores, shard)})
	}
	return request
}

// newMembership returns the members of a shard: successive stores, beginning with that of the shard's number.
func newMembership(stores []*rockwindpb.Machine, shard int) *rockwindpb.Membership {
	membership := &rockwindpb.Membership{}
	for offset := range min(len(stores), maxShardReplicas) {
		membership.Members = append(membership.Members, newMember(stores[(shard+offset)%len(stores)]))
	}
	return membership
}

func newMember(store *rockwindpb.Machine) *rockwindpb.Member {
	return &rockwindpb.Member{Id: store.GetDiskId(), Machine: store.GetName(), Address: store.GetAddress()}
}

// regionalShards returns one shard for each region that has a store, in the order of the regions'
// names. They are numbered after the ordinary shards, of which there is one for each store.
func regionalShards(stores []*rockwindpb.Machine, regions topology.Map) []*rockwindpb.FoundingGroup {
	var shards []*rockwindpb.FoundingGroup
	for _, region := range regions.Regions() {
		var inRegion []*rockwindpb.Machine
		for _, store := range stores {
			if regions.Region(store.GetZone()) == region {
				inRegion = append(inRegion, store)
			}
		}
		if region == "" || len(inRegion) == 0 {
			continue
		}
		shards = append(shards, &rockwindpb.FoundingGroup{
			Group: uint32(len(stores) + len(shards)), Region: region, Membership: newMembership(inRegion, 0),
		})
	}
	return shards
}
