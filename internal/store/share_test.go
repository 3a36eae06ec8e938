package store

import (
	"context"
	"errors"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/store/claims"
)

// TestNoRoomIsLeftToItemsThatWaitForSomethingElse: others would leave slots unused for as long.
func TestNoRoomIsLeftToItemsThatWaitForSomethingElse(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	e := &executor{claims: claims.NewTable(), history: make(map[claims.Key]*history)}
	item := jobstore.OpenItem{Job: "job"}
	key := claims.NewKey(item.Job, item.Index)
	if !e.startable(item, now) {
		t.Error("a new item waits for something else than room")
	}
	for name, known := range map[string]*history{"held": {held: true, heldUntil: now.Add(time.Millisecond)}, "tried again later": {after: now.Add(time.Second)}} {
		e.history[key] = known
		if e.startable(item, now) {
			t.Errorf("an item that is %s asks for room", name)
		}
	}
	e.history[key] = &history{held: true, heldUntil: now}
	if !e.startable(item, now) {
		t.Error("an item whose hold has lapsed asks for no room")
	}
	e.history[key] = &history{}
	if _, made := e.claims.Acquire(key, func() {}); !made || e.startable(item, now) {
		t.Error("an item that runs asks for room")
	}
}

// TestRunThatEndedCountsForAMoment, as others are told of it late.
func TestRunThatEndedCountsForAMoment(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	e := &executor{left: []leftItem{{item: backlog.NewItem(now, time.Time{}, 0).Of("tenant", 1), at: now}}}
	if count := len(e.runningItems(now.Add(backlog.Memory - time.Millisecond))); count != 1 {
		t.Errorf("%d items count a moment later", count)
	}
	if count := len(e.runningItems(now.Add(backlog.Memory))); count != 0 {
		t.Errorf("%d items count after that", count)
	}
}

// TestEndedRunsAreForgottenAlsoWithoutShares: with the gate off nobody asks for them.
func TestEndedRunsAreForgottenAlsoWithoutShares(t *testing.T) {
	e := &executor{claims: claims.NewTable(), active: make(map[claims.Key]*activeTry), paces: make(map[string]*backlog.Pace)}
	e.left = []leftItem{{at: time.Now().Add(-backlog.Memory)}}
	key := claims.NewKey("job", 0)
	claim, _ := e.claims.Acquire(key, func() {})
	e.active[key] = &activeTry{began: time.Now()}
	e.finish(itemEnd{claim: claim, recorded: true})
	if len(e.left) != 1 {
		t.Errorf("%d items are kept after a run that ended and one that ended long ago", len(e.left))
	}
}

// silentGroup is led here and reaches no quorum.
type silentGroup struct{ replica.Group }

func (silentGroup) Leading() (term uint64, leading bool) { return 1, true }

func (silentGroup) Read(context.Context, func()) error { return errors.New("no quorum") }

// TestNoNeedIsToldOfAShardThatCannotBeRead: others would leave room to items that nobody starts.
func TestNoNeedIsToldOfAShardThatCannotBeRead(t *testing.T) {
	register := directory.New()
	register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
		Id: "server", Service: "app", Address: "10.0.0.1:1", Slots: 1, State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: 1,
	}}})
	dispatcher := router.NewDispatcher("", gate.Set{})
	dispatcher.Update(register.View())
	load := backlog.NewShardLoad(nil)
	load.Wait("app", 0, false)
	dispatcher.SetBatchLoad(0, load)
	e := &executor{
		store: &Store{dispatcher: dispatcher}, group: silentGroup{}, claims: claims.NewTable(),
		history: make(map[claims.Key]*history), term: 1, historyTerm: 1,
	}
	if e.schedule(t.Context()) {
		t.Error("items are open that could not be read")
	}
	for _, short := range dispatcher.ShortItems() {
		if short.Here != 0 {
			t.Errorf("%d items are told as waiting", short.Here)
		}
	}
}
