package engine

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Load reports must be at least ReportLag old and reflect the state at their time.
func TestReportsLag(t *testing.T) {
	config := DefaultConfig()
	engine := New(config, rand.New(rand.NewSource(1)))
	start := time.Second
	engine.Advance(start, nil)
	engine.Submit(start, Request{ID: "r", PromptTokens: 10, MaxTokens: 1000})
	for elapsed := time.Duration(0); elapsed < time.Second; elapsed += 10 * time.Millisecond {
		now := start + elapsed
		engine.Advance(now, nil)
		report := engine.Load(now)
		if now-report.At < config.ReportLag {
			t.Fatalf("at %v: report taken at %v is too new", now, report.At)
		}
		if busy := report.RunningOnline == 1; busy != (report.At >= start) {
			t.Fatalf("at %v: report taken at %v has %d running requests", now, report.At, report.RunningOnline)
		}
	}
	engine.Inject(start+time.Second, Fault{Kind: FaultReportIdle})
	if report := engine.Load(start + time.Second); report.RunningOnline != 0 {
		t.Fatal("report shows load despite FaultReportIdle")
	}
}

// A reader that loads a snapshot after each gap in the event log must always have
// the same blocks as the cache, so no event may be lost without a visible gap.
func TestCacheEventGapsAreDetectable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		config.PrefixBlocks = rapid.IntRange(1, 12).Draw(t, "blocks")
		config.CacheEventLoss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		config.CacheEventLog = rapid.IntRange(1, 10).Draw(t, "log")
		config.CacheEventLag = 0
		engine := New(config, rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))))
		replica := map[uint64]bool{}
		next := uint64(1)
		now := time.Duration(0)
		for number := range rapid.IntRange(1, 60).Draw(t, "requests") {
			now += 100 * time.Millisecond
			family := rapid.Uint64Range(1, 5).Draw(t, "family")
			chain := []uint64{family * 10, family*10 + 1, family*10 + 2}
			engine.Submit(now, Request{ID: fmt.Sprint(number), PromptTokens: 200, MaxTokens: 1, Blocks: chain})
			if !rapid.Bool().Draw(t, "read") {
				continue
			}
			now += 100 * time.Millisecond
			engine.Advance(now, nil)
			page := engine.CacheEvents(now, next)
			if page.First > next {
				snapshot := engine.Snapshot()
				clear(replica)
				for _, block := range snapshot.Blocks {
					replica[block] = true
				}
				next = snapshot.Next
				continue
			}
			for _, event := range page.Events {
				if event.Sequence != next {
					t.Fatalf("event %d follows %d, but First shows no gap", event.Sequence, next-1)
				}
				next++
				if event.Kind == CacheStored {
					replica[event.Block] = true
				} else {
					delete(replica, event.Block)
				}
			}
			for _, block := range engine.Snapshot().Blocks {
				if !replica[block] {
					t.Fatalf("cached block %d is missing in the replica", block)
				}
			}
			if len(replica) != len(engine.cache.blocks) {
				t.Fatalf("replica has %d blocks, cache has %d", len(replica), len(engine.cache.blocks))
			}
		}
	})
}

// An order must be applied only if its fence is higher than all earlier ones.
func TestStaleOrdersAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		config.Loaded = []string{"m@v1"}
		engine := New(config, rand.New(rand.NewSource(1)))
		highest := uint64(0)
		role := RoleMixed
		for _, fence := range rapid.SliceOfN(rapid.Uint64Range(0, 20), 1, 30).Draw(t, "fences") {
			wanted := rapid.SampledFrom([]Role{RoleMixed, RoleOnline, RoleBatch}).Draw(t, "role")
			last, status := engine.Order(0, Order{Fence: fence, Action: ActionSetRole, Role: wanted})
			if accepted := status == OrderDone; accepted != (fence > highest) {
				t.Fatalf("order with fence %d after fence %d: status %d", fence, highest, status)
			}
			if fence > highest {
				highest, role = fence, wanted
			}
			if last != highest || engine.orders.role != role {
				t.Fatalf("fence %d and role %s, want %d and %s", last, engine.orders.role, highest, role)
			}
		}
	})
}

// Unloading a version that is still loading must cancel the load.
func TestUnloadCancelsLoadInProgress(t *testing.T) {
	config := DefaultConfig()
	config.Loaded = []string{"m@v1"}
	engine := New(config, rand.New(rand.NewSource(1)))
	load := Order{Fence: 1, Action: ActionLoadModel, Model: "m", Version: "v2"}
	if _, status := engine.Order(0, load); status != OrderLoading {
		t.Fatalf("order to load: status %d", status)
	}
	engine.Order(time.Second, Order{Fence: 2, Action: ActionUnloadModel, Model: "m", Version: "v2"})
	drain(engine, time.Hour)
	if loaded := engine.Loaded(); !slices.Equal(loaded, []string{"m@v1"}) {
		t.Fatalf("loaded %v, want only m@v1", loaded)
	}
}
