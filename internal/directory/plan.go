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

// Bounds of the founding of the stores' cluster.
const (
	// foundingSettle is how long no further store must have appeared before the
	// cluster is founded with those that have.
	foundingSettle = 700 * time.Millisecond
	// foundingPatience is how long fewer stores than are wanted are waited for.
	foundingPatience = 4 * time.Second
	// largestShard is how many stores hold a replica of one shard.
	largestShard = 5
)

// PlanStoreCluster decides whether the stores' cluster is to be founded now, and of
// which machines. Wanted is how many stores a shard needs to bear the losses
// that the site tolerates. It returns nil where nothing is to be done.
func PlanStoreCluster(view *View, wanted int, now time.Time) *rockwindpb.FoundRequest {
	if view.StoreCluster() != nil {
		return nil
	}
	stores := founders(view)
	if len(stores) == 0 {
		return nil
	}
	first, last := stores[0].GetChangedUnixMs(), stores[0].GetChangedUnixMs()
	for _, store := range stores {
		first = min(first, store.GetChangedUnixMs())
		last = max(last, store.GetChangedUnixMs())
	}
	settled := now.UnixMilli()-last >= foundingSettle.Milliseconds()
	patient := now.UnixMilli()-first >= foundingPatience.Milliseconds()
	if !settled || (len(stores) < wanted && !patient) {
		return nil
	}
	return foundingOf(stores)
}

// founders lists the stores that started with the site, by name.
func founders(view *View) []*rockwindpb.Machine {
	var stores []*rockwindpb.Machine
	for _, machine := range view.Machines() {
		if machine.GetRole() == rockwindpb.SiteRole_SITE_ROLE_STORE && machine.GetBootstrap() && machine.GetDiskId() != 0 {
			stores = append(stores, machine)
		}
	}
	return stores
}

// foundingOf makes a shard for each store, so that every store leads one in
// ordinary times. A shard's replicas follow those of the one before it, round
// and round.
func foundingOf(stores []*rockwindpb.Machine) *rockwindpb.FoundRequest {
	stores = slices.SortedFunc(slices.Values(stores), func(a, b *rockwindpb.Machine) int { return cmp.Compare(a.GetName(), b.GetName()) })
	digest := sha256.New()
	for _, store := range stores {
		_, _ = fmt.Fprintf(digest, "%q %x\n", store.GetName(), store.GetDiskId())
	}
	request := &rockwindpb.FoundRequest{ClusterId: hex.EncodeToString(digest.Sum(nil)[:8])}
	replicas := min(len(stores), largestShard)
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
