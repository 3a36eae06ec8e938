package fairshare_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fairshare"
)

// noRemoteUsage is a ledger's lookup where other processes report nothing.
func noRemoteUsage(uint32) fairshare.RemoteUsage { return fairshare.RemoteUsage{} }

func TestIdleTenantGainsLittle(t *testing.T) {
	ledger := fairshare.NewLedger("class", noRemoteUsage)
	for second := range 60 {
		ledger.Charge("busy", 100, time.Duration(second)*time.Second)
	}
	const now = time.Minute
	for range 2 {
		ledger.Charge("quiet", 100, now)
	}
	busy, quiet := ledger.VirtualTime("busy", 1, now), ledger.VirtualTime("quiet", 1, now)
	if quiet <= busy || ledger.VirtualTime("quiet", 4, now) >= busy {
		t.Fatalf("busy %v, quiet %v", busy, quiet)
	}
}

func TestRemoteUsageCounts(t *testing.T) {
	remote := map[uint32]fairshare.RemoteUsage{fairshare.Hash("class", "a"): {Waiting: 7, Work: 500}}
	ledger := fairshare.NewLedger("class", func(hash uint32) fairshare.RemoteUsage { return remote[hash] })
	ledger.Charge("a", 100, 0)
	ledger.Charge("b", 300, 0)
	if virtual := ledger.VirtualTime("a", 0, 0); math.Abs(virtual-600) > 1e-9 {
		t.Fatalf("the virtual time is %v", virtual)
	}
	weight := func(string) uint32 { return 1 }
	if behind := ledger.RemoteWaitingBehind(ledger.VirtualTime("b", 1, 0), weight, 0); behind != 7 {
		t.Fatalf("%d wait elsewhere behind the tenant with the lower virtual time", behind)
	}
	if behind := ledger.RemoteWaitingBehind(ledger.VirtualTime("a", 1, 0), weight, 0); behind != 0 {
		t.Fatalf("%d wait elsewhere behind the tenant with the highest virtual time", behind)
	}
}

// TestEntriesAreBounded: of thousands of waiting tenants only those with the most work are
// reported, and nothing is without named tenants.
func TestEntriesAreBounded(t *testing.T) {
	ledger := fairshare.NewLedger("class", noRemoteUsage)
	waiting := make(map[string]int)
	for i := range 11_000 {
		tenant := fmt.Sprint("tenant ", i)
		waiting[tenant] = 1
		ledger.Charge(tenant, float64(i), 0)
	}
	entries := ledger.Entries(waiting, 0)
	if len(entries) != fairshare.MaxEntries || entries[0].Work != 10_999 {
		t.Fatalf("%v are reported", entries)
	}
	nameless := fairshare.NewLedger("class", noRemoteUsage)
	nameless.Charge("", 100, 0)
	if entries := nameless.Entries(map[string]int{"": 3}, 0); len(entries) != 0 {
		t.Fatalf("%v are reported without named tenants", entries)
	}
}

// TestTenantsAreForgotten checks that the size of a ledger is bounded by the last seconds' work.
func TestTenantsAreForgotten(t *testing.T) {
	ledger := fairshare.NewLedger("class", noRemoteUsage)
	for i := range 11_000 {
		ledger.Charge(fmt.Sprint("tenant ", i), 400, time.Duration(i)*100*time.Millisecond)
	}
	if ledger.Len() > 100 {
		t.Fatalf("%d tenants are tracked at ten requests a second", ledger.Len())
	}
}

// TestRefundIsLimitedToUndecayedWork checks that a refund is limited to the undecayed part.
func TestRefundIsLimitedToUndecayedWork(t *testing.T) {
	ledger := fairshare.NewLedger("class", noRemoteUsage)
	ledger.Charge("a", 300, 0)
	ledger.Charge("a", 100, 500*time.Millisecond)
	ledger.Refund("a", 100, 500*time.Millisecond, time.Second)
	ledger.Refund("unknown", 100, 0, time.Second)
	if virtual, want := ledger.VirtualTime("a", 1, time.Second), 300*math.Exp(-1); math.Abs(virtual-want) > 1e-9 {
		t.Fatalf("the virtual time is %v, want %v", virtual, want)
	}
	ledger.Refund("a", 1000, time.Second, time.Second)
	if virtual := ledger.VirtualTime("a", 1, time.Second); virtual != 0 {
		t.Fatalf("the virtual time is %v", virtual)
	}
}
