package batch

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// TestMain fixes the seed, which makes the property tests reproducible.
func TestMain(m *testing.M) {
	for _, setting := range [][2]string{{"rapid.seed", "20261202"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(setting[0], setting[1]); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// drawnLease is a random lease with skipped items, lost items and items on their
// last try.
type drawnLease struct {
	granted *rockwindpb.Lease
	wanted  []uint32
	last    map[uint32]bool
	lost    map[uint32]bool
}

func drawLease(t *rapid.T) drawnLease {
	const first = 1000
	count := rapid.Uint32Range(1, 60).Draw(t, "items")
	drawn := drawnLease{
		granted: &rockwindpb.Lease{
			FirstItem: first, ItemCount: count, Skip: make([]byte, 8), LastTry: make([]byte, 8), Lost: make([]byte, 8),
		},
		last: map[uint32]bool{},
		lost: map[uint32]bool{},
	}
	for offset := range count {
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			drawn.granted.Skip[offset/8] |= 1 << (offset % 8)
			continue
		case 1:
			drawn.granted.LastTry[offset/8] |= 1 << (offset % 8)
			drawn.last[first+offset] = true
			fallthrough
		case 2:
			drawn.granted.Lost[offset/8] |= 1 << (offset % 8)
			drawn.lost[first+offset] = true
		}
		drawn.wanted = append(drawn.wanted, first+offset)
	}
	return drawn
}

// TestItemsOnTheirLastTryRunApart starts and requeues items at random. Items on their
// last try start after all others, and never on a server that runs a lost item.
func TestItemsOnTheirLastTryRunApart(t *testing.T) {
	servers := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		drawn := drawLease(t)
		held := &lease{lastTry: map[uint32]bool{}, lost: map[uint32]bool{}}
		held.takeItems(drawn.granted)
		if waiting := slices.Sorted(slices.Values(held.pending)); !slices.Equal(waiting, drawn.wanted) {
			t.Fatalf("items %v are pending, want %v", waiting, drawn.wanted)
		}
		e := &Executor{leases: map[leaseKey]*lease{{}: held}, running: map[*run]struct{}{}}
		for rapid.IntRange(0, 200).Draw(t, "go on") > 0 && len(held.pending) > 0 {
			if normal := len(held.pending) - held.waitingOnLastTry(); e.pendingItems() != normal {
				t.Fatalf("%d items count as pending, want %d", e.pendingItems(), normal)
			}
			item := held.pending[0]
			if drawn.last[item] && slices.ContainsFunc(held.pending, func(other uint32) bool { return !drawn.last[other] }) {
				t.Fatalf("item %d on its last try comes before others: %v", item, held.pending)
			}
			excluded := e.excludedServers(held, item, time.Time{})
			chosen := rapid.SampledFrom(servers).Draw(t, "server")
			if slices.Contains(excluded, chosen) {
				e.endOne(held, rapid.Bool().Draw(t, "give back"))
				continue
			}
			held.pending = held.pending[1:]
			e.running[&run{lease: held, item: item, target: upstream.Target{Name: chosen}}] = struct{}{}
			e.checkApart(t, drawn)
		}
	})
}

// endOne ends the running item with the lowest number, and optionally requeues it.
func (e *Executor) endOne(held *lease, giveBack bool) {
	var lowest *run
	for current := range e.running {
		if lowest == nil || current.item < lowest.item {
			lowest = current
		}
	}
	delete(e.running, lowest)
	if giveBack {
		held.requeue(lowest.item)
	}
}

func (e *Executor) checkApart(t *rapid.T, drawn drawnLease) {
	for one := range e.running {
		for other := range e.running {
			together := one != other && one.target.Name == other.target.Name
			if together && drawn.last[one.item] && drawn.lost[other.item] {
				t.Fatalf("item %d on its last try runs on the same server as item %d, which was lost before", one.item, other.item)
			}
		}
	}
}

// TestServerThatLostAnItemGetsNoLastTry checks that a server gets no item on its last
// try within lossPause after it lost an item.
func TestServerThatLostAnItemGetsNoLastTry(t *testing.T) {
	held := &lease{lost: map[uint32]bool{1: true, 2: true}, lastTry: map[uint32]bool{2: true}}
	lost := time.Unix(100, 0)
	e := &Executor{lostAt: map[string]time.Time{}}
	e.recordLoss("a", lost)
	for _, check := range []struct {
		item  uint32
		after time.Duration
		avoid bool
	}{{0, 0, false}, {1, 0, false}, {2, 0, true}, {2, lossPause - 1, true}, {2, lossPause, false}} {
		if excluded := e.excludedServers(held, check.item, lost.Add(check.after)); (len(excluded) > 0) != check.avoid {
			t.Errorf("item %d avoids %v %v after a loss", check.item, excluded, check.after)
		}
	}
}
