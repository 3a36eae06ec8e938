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

// TestItemsOnTheirLastTryRunApart starts and gives back the items of a lease at
// random. Others go before those on their last try, and none of those is let onto a
// server beside an item that was lost before.
func TestItemsOnTheirLastTryRunApart(t *testing.T) {
	servers := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		drawn := drawLease(t)
		held := &lease{lastTry: map[uint32]bool{}, lost: map[uint32]bool{}}
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
			avoided := e.serversToAvoid(held, item, time.Time{})
			chosen := rapid.SampledFrom(servers).Draw(t, "server")
			if slices.Contains(avoided, chosen) {
				e.endOne(held, rapid.Bool().Draw(t, "give back"))
				continue
			}
			held.pending = held.pending[1:]
			e.running[&run{lease: held, item: item, target: upstream.Target{Name: chosen}}] = struct{}{}
			e.checkApart(t, drawn)
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

func (e *Executor) checkApart(t *rapid.T, drawn drawnLease) {
	for one := range e.running {
		for other := range e.running {
			together := one != other && one.target.Name == other.target.Name
			if together && drawn.last[one.item] && drawn.lost[other.item] {
				t.Fatalf("item %d on its last try runs beside item %d, which was lost before", one.item, other.item)
			}
		}
	}
}

// TestServerThatLostAnItemGetsNoLastTry looks at the pause after a loss.
func TestServerThatLostAnItemGetsNoLastTry(t *testing.T) {
	held := &lease{lost: map[uint32]bool{1: true, 2: true}, lastTry: map[uint32]bool{2: true}}
	lost := time.Unix(100, 0)
	e := &Executor{lostAt: map[string]time.Time{}}
	e.noteLoss("a", lost)
	for _, asked := range []struct {
		item  uint32
		after time.Duration
		avoid bool
	}{{0, 0, false}, {1, 0, false}, {2, 0, true}, {2, lossPause - 1, true}, {2, lossPause, false}} {
		if avoided := e.serversToAvoid(held, asked.item, lost.Add(asked.after)); (len(avoided) > 0) != asked.avoid {
			t.Errorf("item %d avoids %v %v after a loss", asked.item, avoided, asked.after)
		}
	}
}
