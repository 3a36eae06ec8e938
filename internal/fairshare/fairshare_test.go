package fairshare_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fairshare"
)

// alone is told of nothing by others.
func alone(uint32) fairshare.RemoteUsage { return fairshare.RemoteUsage{} }

func TestQuietTenantGainsNoMoreThanAMoment(t *testing.T) {
	ledger := fairshare.NewLedger("class", alone)
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

func TestWhatOthersTellCounts(t *testing.T) {
	told := map[uint32]fairshare.RemoteUsage{fairshare.Hash("class", "a"): {Waiting: 7, Work: 500}}
	ledger := fairshare.NewLedger("class", func(hash uint32) fairshare.RemoteUsage { return told[hash] })
	ledger.Charge("a", 100, 0)
	ledger.Charge("b", 300, 0)
	if virtual := ledger.VirtualTime("a", 0, 0); math.Abs(virtual-600) > 1e-9 {
		t.Fatalf("the virtual time is %v", virtual)
	}
	weight := func(string) uint32 { return 1 }
	if behind := ledger.RemoteWaitingBehind(ledger.VirtualTime("b", 1, 0), weight, 0); behind != 7 {
		t.Fatalf("%d wait elsewhere behind the tenant that had less", behind)
	}
	if behind := ledger.RemoteWaitingBehind(ledger.VirtualTime("a", 1, 0), weight, 0); behind != 0 {
		t.Fatalf("%d wait elsewhere behind the tenant that had most", behind)
	}
}

// TestWhatIsToldIsBounded: of thousands of tenants that wait the few that had the most are
// told, and without tenants nothing is.
func TestWhatIsToldIsBounded(t *testing.T) {
	ledger := fairshare.NewLedger("class", alone)
	waiting := make(map[string]int)
	for i := range 11_000 {
		tenant := fmt.Sprint("tenant ", i)
		waiting[tenant] = 1
		ledger.Charge(tenant, float64(i), 0)
	}
	entries := ledger.Entries(waiting, 0)
	if len(entries) != fairshare.MaxEntries || entries[0].Work != 10_999 {
		t.Fatalf("%v are told", entries)
	}
	nameless := fairshare.NewLedger("class", alone)
	nameless.Charge("", 100, 0)
	if entries := nameless.Entries(map[string]int{"": 3}, 0); len(entries) != 0 {
		t.Fatalf("%v are told without tenants", entries)
	}
}

// TestTenantsAreForgotten: what is held is bounded by the work of some seconds.
func TestTenantsAreForgotten(t *testing.T) {
	ledger := fairshare.NewLedger("class", alone)
	for i := range 11_000 {
		ledger.Charge(fmt.Sprint("tenant ", i), 400, time.Duration(i)*100*time.Millisecond)
	}
	if ledger.Len() > 100 {
		t.Fatalf("%d tenants are held at ten requests a second", ledger.Len())
	}
}

// TestWorkThatDidNotRunIsGivenBack, as much of it as is left, and that of others stays.
func TestWorkThatDidNotRunIsGivenBack(t *testing.T) {
	ledger := fairshare.NewLedger("class", alone)
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
