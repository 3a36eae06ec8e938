package loadshare_test

import (
	"fmt"
	"net/netip"
	"testing"

	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/topology"
)

func member(zone string, number, rank int) loadshare.Member {
	name := fmt.Sprintf("%s-%d-%d", zone, rank, number)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, zone[0], byte(rank), byte(number)}), 80)
	return loadshare.NewMember(name, zone, address, rank)
}

func site(zones []string, stores, routers int) []loadshare.Member {
	var members []loadshare.Member
	for _, zone := range zones {
		for i := range stores {
			members = append(members, member(zone, i, 0))
		}
		for i := range routers {
			members = append(members, member(zone, i, 1))
		}
	}
	return members
}

func TestSmallSiteIsAMesh(t *testing.T) {
	members := site([]string{"a", "b", "c"}, 1, 3)
	layout := loadshare.NewLayout(members, members[0].Name(), topology.Map{})
	if !layout.Mesh() || len(layout.Receivers(false)) != len(members)-1 || len(layout.OtherGroups()) != 0 {
		t.Fatalf("%d receivers, %d other groups", len(layout.Receivers(false)), len(layout.OtherGroups()))
	}
	if layout.IsRelay() || layout.IsDelegate(func(string) bool { return false }) {
		t.Fatal("a mesh has a delegate")
	}
}

// TestStoresAreTheRelays: stores run on larger machines than routers.
func TestStoresAreTheRelays(t *testing.T) {
	members := site([]string{"a", "b"}, 4, 20)
	for _, each := range members {
		relay := loadshare.NewLayout(members, each.Name(), topology.Map{}).IsRelay()
		number, store := 0, false
		if n, _ := fmt.Sscanf(each.Name()[1:], "-0-%d", &number); n == 1 {
			store = number < 3
		}
		if relay != store {
			t.Fatalf("%s is a relay: %v", each.Name(), relay)
		}
	}
}
