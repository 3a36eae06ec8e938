package loadshare_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/loadshare"
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

func TestSmallSiteIsOneGroup(t *testing.T) {
	members := site([]string{"a", "b", "c"}, 1, 3)
	layout := loadshare.NewLayout(members, members[0].Name())
	if len(layout.Peers()) != len(members)-1 || len(layout.Outsiders()) != 0 {
		t.Fatalf("%d peers, %d outsiders", len(layout.Peers()), len(layout.Outsiders()))
	}
	if layout.Delegate(func(string) bool { return false }) {
		t.Fatal("the only group has a delegate")
	}
}

// TestEveryProcessHearsOfEachOtherOnce: in sites of any size each process gets the
// load of every other one exactly once, directly or in the sum of one delegate, and
// from few senders.
func TestEveryProcessHearsOfEachOtherOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "zones")]
		members := site(zones, rapid.IntRange(0, 5).Draw(t, "stores"), rapid.IntRange(1, 40).Draw(t, "routers"))
		silent := map[string]bool{}
		for _, each := range members {
			silent[each.Name()] = rapid.IntRange(0, 9).Draw(t, "silent") == 0
		}
		heard := func(name string) bool { return !silent[name] }
		layouts := map[string]*loadshare.Layout{}
		for _, each := range members {
			layouts[each.Name()] = loadshare.NewLayout(members, each.Name())
		}
		address := addresses(members)
		received := map[string][]string{}
		for name, layout := range layouts {
			if silent[name] {
				continue
			}
			for _, peer := range layout.Peers() {
				received[address[peer]] = append(received[address[peer]], name)
			}
			if !layout.Delegate(heard) {
				continue
			}
			for _, outsider := range layout.Outsiders() {
				received[address[outsider]] = append(received[address[outsider]], alive(layout.Members(), silent)...)
			}
		}
		for _, each := range members {
			want := alive(names(members), silent)
			want = slices.DeleteFunc(want, func(name string) bool { return name == each.Name() })
			got := received[each.Name()]
			slices.Sort(got)
			slices.Sort(want)
			if !slices.Equal(got, want) {
				t.Fatalf("%s hears of %v, want %v", each.Name(), got, want)
			}
		}
	})
}

func addresses(members []loadshare.Member) map[netip.AddrPort]string {
	found := map[netip.AddrPort]string{}
	for _, self := range members {
		others := slices.DeleteFunc(slices.Clone(members), func(m loadshare.Member) bool { return m.Name() == self.Name() })
		for _, each := range others {
			// A site of two tells the address of the other one.
			pair := loadshare.NewLayout([]loadshare.Member{self, each}, self.Name())
			found[pair.Peers()[0]] = each.Name()
		}
	}
	return found
}

func names(members []loadshare.Member) []string {
	var all []string
	for _, each := range members {
		all = append(all, each.Name())
	}
	return all
}

func alive(all []string, silent map[string]bool) []string {
	return slices.DeleteFunc(slices.Clone(all), func(name string) bool { return silent[name] })
}
