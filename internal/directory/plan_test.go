package directory_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// foundedAt is when the stores of newStores may be founded.
const foundedAt = time.Hour

// newStores returns a directory with stores in the given zones, named s0, s1 and so on.
func newStores(zones ...string) *directory.View {
	d := directory.New()
	for i, zone := range zones {
		name := fmt.Sprintf("s%d", i)
		d.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Announce{Announce: &rockwindpb.Machine{
			Name: name, Role: rockwindpb.SiteRole_SITE_ROLE_STORE, DiskId: uint64(i + 1), Address: name, Zone: zone, Bootstrap: true,
		}}})
	}
	return d.View()
}

// ordinaryShards returns the groups of a founding without regions: one for each store, with five
// replicas at most, in rotation.
func ordinaryShards(stores int) []*rockwindpb.FoundingGroup {
	var groups []*rockwindpb.FoundingGroup
	for shard := range stores {
		group := &rockwindpb.FoundingGroup{Group: uint32(shard), Membership: &rockwindpb.Membership{}}
		for offset := range min(stores, 5) {
			store := (shard + offset) % stores
			name := fmt.Sprintf("s%d", store)
			group.Membership.Members = append(group.Membership.Members, &rockwindpb.Member{Id: uint64(store + 1), Machine: name, Address: name})
		}
		groups = append(groups, group)
	}
	return groups
}

func plan(view *directory.View, regions topology.Map) *rockwindpb.FoundRequest {
	return directory.PlanStoreCluster(view, directory.FoundingPolicy{Replicas: 5, Regions: regions}, time.UnixMilli(0).Add(foundedAt))
}

// Guards against a different founding of sites with one region than before regional shards: its bytes must
// be the same.
func TestSiteWithOneRegionIsFoundedWithoutRegionalShards(t *testing.T) {
	// These identities were computed by the version before regional shards.
	clusters := map[int]string{1: "1c958dff19aa150c", 3: "49fab26980ed4e03", 9: "5452790ac4f788d8"}
	for stores, cluster := range clusters {
		zones := make([]string, stores)
		for i := range zones {
			zones[i] = fmt.Sprintf("z%d", i%3)
		}
		view := newStores(zones...)
		want := &rockwindpb.FoundRequest{ClusterId: cluster, Groups: ordinaryShards(stores)}
		for name, regions := range map[string]topology.Map{
			"no regions": {},
			"one region": topology.New(map[string]string{"z0": "north", "z1": "north", "z2": "north"}),
		} {
			if got := plan(view, regions); !proto.Equal(got, want) {
				t.Errorf("%d stores, %s: founding %v, want %v", stores, name, got, want)
			}
		}
	}
}

// Guards against replicas of a regional shard outside of its region, and against ordinary shards whose numbers
// change because of regional ones.
func TestEachRegionWithAStoreHasAShard(t *testing.T) {
	regions := topology.New(map[string]string{"na": "north", "nb": "north", "s": "south", "e": "empty"})
	view := newStores("s", "na", "nb", "s", "na", "elsewhere", "na", "na", "nb")
	founding := plan(view, regions)
	ordinary, regional := founding.GetGroups()[:9], founding.GetGroups()[9:]
	for i, group := range ordinary {
		first := group.GetMembership().GetMembers()[0]
		if group.GetGroup() != uint32(i) || group.GetRegion() != "" || len(group.GetMembership().GetMembers()) != 5 || first.GetMachine() != fmt.Sprint("s", i) {
			t.Errorf("shard %d is %v, want an ordinary shard of five stores, s%d first", i, group, i)
		}
	}
	if len(regional) != 2 {
		t.Fatalf("regional shards: %v", regional)
	}
	for i, want := range []struct {
		region string
		stores []string
	}{{"north", []string{"s1", "s2", "s4", "s6", "s7"}}, {"south", []string{"s0", "s3"}}} {
		group := regional[i]
		var members []string
		for _, member := range group.GetMembership().GetMembers() {
			members = append(members, member.GetMachine())
		}
		if group.GetGroup() != uint32(9+i) || group.GetRegion() != want.region || fmt.Sprint(members) != fmt.Sprint(want.stores) {
			t.Errorf("shard %d of region %q has members %v, want shard %d of %v", group.GetGroup(), group.GetRegion(), members, 9+i, want)
		}
	}
}

// Guards against regional shards in the number by which unrestricted jobs are hashed to shards.
func TestShardsCountOrdinaryOnes(t *testing.T) {
	d := directory.New()
	var none *directory.View
	if none.Shards() != 0 || none.AllShards() != 0 || d.View().Shards() != 0 {
		t.Error("shards before the founding")
	}
	founding := plan(newStores("n", "s", "n"), topology.New(map[string]string{"n": "north", "s": "south"}))
	d.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_FoundStores{FoundStores: founding}})
	view := d.View()
	if view.Shards() != 3 || view.AllShards() != 5 {
		t.Errorf("%d of %d shards are ordinary", view.Shards(), view.AllShards())
	}
	for region, want := range map[string]uint32{"north": 3, "south": 4} {
		if shard, found := view.RegionalShard(region); !found || shard != want || view.ShardRegion(shard) != region {
			t.Errorf("the shard of %s is %d, %v", region, shard, found)
		}
	}
	if _, found := view.RegionalShard(""); found || view.ShardRegion(0) != "" {
		t.Error("an ordinary shard has a region")
	}
}
