package batch

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// TestMain fixes the seed, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	for _, setting := range [][2]string{{"rapid.seed", "20261202"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(setting[0], setting[1]); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drawnLease is a lease with items that are done and items on their last try.
type drawnLease struct {
	granted *rockwindpb.Lease
	wanted  []uint32
	last    map[uint32]bool
}

func drawLease(t *rapid.T) drawnLease {
	const first = 1000
	count := rapid.Uint32Range(1, 60).Draw(t, "items")
	drawn := drawnLease{
		granted: &rockwindpb.Lease{FirstItem: first, ItemCount: count, Skip: make([]byte, 8), LastTry: make([]byte, 8)},
		last:    map[uint32]bool{},
	}
	for offset := range count {
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			drawn.granted.Skip[offset/8] |= 1 << (offset % 8)
			continue
		case 1:
			drawn.granted.LastTry[offset/8] |= 1 << (offset % 8)
			drawn.last[first+offset] = true
		}
		drawn.wanted = append(drawn.wanted, first+offset)
	}
	return drawn
}

// TestItemsOnTheirLastTryRunApart starts and gives back the items of a lease at
// random. Others go before those on their last try, and no two of those are let
// onto one server.
func TestItemsOnTheirLastTryRunApart(t *testing.T) {
	servers := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		drawn := drawLease(t)
		held := &lease{lastTry: map[uint32]bool{}}
		held.takeItems(drawn.granted)
		if waiting := slices.Sorted(slices.Values(held.pending)); !slices.Equal(waiting, drawn.wanted) {
			t.Fatalf("items %v wait, want %v", waiting, drawn.wanted)
		}
		e := &Executor{leases: map[leaseKey]*lease{{}: held}, running: map[*run]struct{}{}}
		for rapid.IntRange(0, 200).Draw(t, "go on") > 0 && len(held.pending) > 0 {
			if normal := len(held.pending) - held.waitingOnLastTry(); e.pendingItems() != normal {
				t.Fatalf("%d items count as waiting, want %d", e.pendingItems(), normal)
			}
			item := held.pending[0]
			if drawn.last[item] && slices.ContainsFunc(held.pending, func(other uint32) bool { return !drawn.last[other] }) {
				t.Fatalf("item %d on its last try goes before others: %v", item, held.pending)
			}
			avoided := e.serversToAvoid(held, item)
			chosen := rapid.SampledFrom(servers).Draw(t, "server")
			if slices.Contains(avoided, chosen) {
				e.endOne(held, rapid.Bool().Draw(t, "give back"))
				continue
			}
			held.pending = held.pending[1:]
			e.running[&run{lease: held, item: item, target: upstream.Target{Name: chosen}}] = struct{}{}
			e.checkApart(t, drawn.last)
		}
	})
}

// endOne ends the lowest item that runs, and perhaps gives it back.
func (e *Executor) endOne(held *lease, giveBack bool) {
	var lowest *run
	for current := range e.running {
		if lowest == nil || current.item < lowest.item {
			lowest = current
		}
	}
	delete(e.running, lowest)
	if giveBack {
		held.putBack(lowest.item)
	}
}

func (e *Executor) checkApart(t *rapid.T, last map[uint32]bool) {
	taken := map[string]bool{}
	for current := range e.running {
		if !last[current.item] {
			continue
		}
		if taken[current.target.Name] {
			t.Fatalf("two items on their last try run at %s", current.target.Name)
		}
		taken[current.target.Name] = true
	}
}
