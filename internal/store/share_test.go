package store

import (
	"context"
	"errors"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/store/claims"
	"rockwind.example/rockwind/internal/topology"
)

// TestOnlyItemsThatWaitForASlotAreStartable: slots reserved for other items would stay unused.
func TestOnlyItemsThatWaitForASlotAreStartable(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	e := &executor{claims: claims.NewTable(), history: make(map[claims.Key]*history)}
	item := jobstore.OpenItem{Job: "job"}
	key := claims.NewKey(item.Job, item.Index)
	if !e.startable(item, now) {
		t.Error("a new item is not startable")
	}
	for name, h := range map[string]*history{"quarantined": {quarantined: true, quarantinedUntil: now.Add(time.Millisecond)}, "to be retried later": {retryAt: now.Add(time.Second)}} {
		e.history[key] = h
		if e.startable(item, now) {
			t.Errorf("an item that is %s is startable", name)
		}
	}
	e.history[key] = &history{quarantined: true, quarantinedUntil: now}
	if !e.startable(item, now) {
		t.Error("an item whose quarantine has ended is not startable")
	}
	e.history[key] = &history{}
	if _, ok := e.claims.Acquire(key, func() {}); !ok || e.startable(item, now) {
		t.Error("a running item is startable")
	}
}

// TestEndedItemCountsAsRunningForAWhile: other leaders learn of its end with a delay.
func TestEndedItemCountsAsRunningForAWhile(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	e := &executor{recentlyEnded: []endedItem{{item: backlog.NewItem(now, time.Time{}, 0).WithTenant("tenant", 1), at: now}}}
	if count := len(e.runningItems(now.Add(backlog.EndedItemRetention - time.Millisecond))); count != 1 {
		t.Errorf("%d items count shortly after the end, want 1", count)
	}
	if count := len(e.runningItems(now.Add(backlog.EndedItemRetention))); count != 0 {
		t.Errorf("%d items count later, want none", count)
	}
}

// TestEndedItemsAreDroppedWithGateOff: runningItems is not called then.
func TestEndedItemsAreDroppedWithGateOff(t *testing.T) {
	e := &executor{claims: claims.NewTable(), active: make(map[claims.Key]*activeAttempt), paces: make(map[string]*backlog.RunTimeEstimator)}
	e.recentlyEnded = []endedItem{{at: time.Now().Add(-backlog.EndedItemRetention)}}
	key := claims.NewKey("job", 0)
	claim, _ := e.claims.Acquire(key, func() {})
	e.active[key] = &activeAttempt{began: time.Now()}
	e.finish(attemptResult{claim: claim, recorded: true})
	if len(e.recentlyEnded) != 1 {
		t.Errorf("%d ended items are kept, want only the recent one", len(e.recentlyEnded))
	}
}

// noQuorumGroup is led by this store and reaches no quorum.
type noQuorumGroup struct{ replica.Group }

func (noQuorumGroup) Leading() (term uint64, leading bool) { return 1, true }

func (noQuorumGroup) Read(context.Context, func()) error { return errors.New("no quorum") }

// TestUnreadableShardPublishesNoWaitingItems: other leaders would reserve slots for items that
// cannot start.
func TestUnreadableShardPublishesNoWaitingItems(t *testing.T) {
	register := directory.New()
	register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
		Id: "server", Service: "app", Address: "10.0.0.1:1", Slots: 1, State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: 1,
	}}})
	dispatcher := router.NewDispatcher("", topology.Map{}, featuregate.Set{})
	dispatcher.Update(register.View())
	load := backlog.NewShardLoad(nil)
	load.AddWaiting("app", 0, false)
	dispatcher.SetBatchLoad(0, load)
	e := &executor{
		store: &Store{dispatcher: dispatcher}, group: noQuorumGroup{}, claims: claims.NewTable(),
		history: make(map[claims.Key]*history), term: 1, historyTerm: 1,
	}
	if e.schedule(t.Context()) {
		t.Error("schedule reports open items of an unreadable shard")
	}
	for _, short := range dispatcher.ShortItems() {
		if short.Here != 0 {
			t.Errorf("%d items are published as waiting", short.Here)
		}
	}
}
