package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/topology"
)

// twoZonePool returns a pool in zone-0 with two servers in each of two zones.
func twoZonePool() (*balance.Pool, *rand.Rand) {
	pool := balance.NewPool("app", "zone-0", balance.NewSharedLoads())
	var members []balance.Member
	for each := range 4 {
		members = append(members, balance.Member{
			ID: fmt.Sprint("s", each), Address: fmt.Sprint("address-", each), Zone: fmt.Sprint("zone-", each%2), Slots: 2,
		})
	}
	pool.Update(members)
	return pool, rand.New(rand.NewPCG(1, 2))
}

func TestCopyIsInTheRequestedZone(t *testing.T) {
	pool, random := twoZonePool()
	for range 20 {
		if copyServer, found := pool.ChooseCopyServer("s1", false, topology.RegionSet{}, 0, random); !found || copyServer.ID != "s3" {
			t.Fatalf("the copy of a run at s1 is at %q", copyServer.ID)
		}
		if copyServer, found := pool.ChooseCopyServer("s1", true, topology.RegionSet{}, 0, random); !found || copyServer.Zone != "zone-0" {
			t.Fatalf("the copy is at %q in %q", copyServer.ID, copyServer.Zone)
		}
	}
}

// TestNoCopyIsSentWhereThereIsNoRoom fills the servers one after the other.
func TestNoCopyIsSentWhereThereIsNoRoom(t *testing.T) {
	pool, random := twoZonePool()
	fill := func(id string) {
		for range 2 {
			if _, found := pool.StartAt(id, balance.Demand{}, 0); !found {
				t.Fatalf("no request starts at %s", id)
			}
		}
	}
	fill("s2")
	if copyServer, found := pool.ChooseCopyServer("s0", false, topology.RegionSet{}, 0, random); !found || copyServer.Zone != "zone-1" {
		t.Fatalf("with its zone full the copy is at %q", copyServer.ID)
	}
	fill("s1")
	fill("s3")
	if copyServer, found := pool.ChooseCopyServer("s0", false, topology.RegionSet{}, 0, random); found {
		t.Fatalf("with all others full the copy is at %q", copyServer.ID)
	}
}

func TestRunDoesNotContinueAtAReplacedServer(t *testing.T) {
	pool, _ := twoZonePool()
	choice, _ := pool.StartAt("s2", balance.Demand{}, 0)
	pool.RecordReplaced(choice)
	for _, id := range []string{"s2", "never-seen"} {
		if _, found := pool.StartAt(id, balance.Demand{}, 0); found {
			t.Errorf("a run continues at %s", id)
		}
	}
}

// Guards against a copied run that continues at a server of another software version.
func TestCopyIsAtTheSameVersion(t *testing.T) {
	pool, random := twoZonePool()
	for each := range 4 {
		pool.Put(balance.Member{
			ID: fmt.Sprint("s", each), Address: fmt.Sprint("address-", each), Zone: fmt.Sprint("zone-", each%2), Slots: 2, Version: fmt.Sprint("v", each/2),
		})
	}
	for range 50 {
		// The servers of version v1 are s2 in zone-0 and s3 in zone-1.
		if copyServer, found := pool.ChooseCopyServer("s2", false, topology.RegionSet{}, 0, random); !found || copyServer.ID != "s3" {
			t.Fatalf("the copy of a run at s2 is at %q", copyServer.ID)
		}
	}
	pool.Drop("s3")
	if copyServer, found := pool.ChooseCopyServer("s2", false, topology.RegionSet{}, 0, random); found {
		t.Fatalf("without another server of the version the copy is at %q", copyServer.ID)
	}
}
