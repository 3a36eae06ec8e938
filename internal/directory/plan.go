package directory

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
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

// PlanStoreCluster returns the founding of the store cluster if it is due, nil otherwise.
// wanted is the number of replicas that a shard needs for the site's fault tolerance.
func PlanStoreCluster(view *View, wanted int, now time.Time) *rockwindpb.FoundRequest {
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
	if !settled || (len(stores) < wanted && !timedOut) {
		return nil
	}
	return newFounding(stores)
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
// one. The replicas of successive shards are assigned round-robin.
func newFounding(stores []*rockwindpb.Machine) *rockwindpb.FoundRequest {
	stores = slices.SortedFunc(slices.Values(stores), func(a, b *rockwindpb.Machine) int { return cmp.Compare(a.GetName(), b.GetName()) })
	digest := sha256.New()
	for _, store := range stores {
		_, _ = fmt.Fprintf(digest, "%q %x\n", store.GetName(), store.GetDiskId())
	}
	request := &rockwindpb.FoundRequest{ClusterId: hex.EncodeToString(digest.Sum(nil)[:8])}
	replicas := min(len(stores), maxShardReplicas)
	for shard := range stores {
		membership := &rockwindpb.Membership{}
		for offset := range replicas {
			store := stores[(shard+offset)%len(stores)]
			membership.Members = append(membership.Members, &rockwindpb.Member{
				Id: store.GetDiskId(), Machine: store.GetName(), Address: store.GetAddress(),
			})
		}
		request.Groups = append(request.Groups, &rockwindpb.FoundingGroup{Group: uint32(shard), Membership: membership})
	}
	return request
}
