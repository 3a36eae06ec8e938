package coordinator

import (
	"context"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/coldstart"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/zonedrain"
)

const (
	// maxWatchWait bounds the wait of a watch.
	maxWatchWait = 30 * time.Second
	// leaderCheckInterval is how often a watch checks that this replica is still in contact with
	// the leader.
	leaderCheckInterval = 250 * time.Millisecond
	// minLinger is the minimum time for which changes are batched before a watcher is answered.
	// Hundreds of processes appear within a second when a site starts.
	minLinger = 50 * time.Millisecond
	// lingerPerWatcher extends the linger for each watcher, which limits a coordinator to 500
	// answers per second under continuous changes.
	lingerPerWatcher = 2 * time.Millisecond
	// maxLinger bounds the linger, since the strictest sites require that a leaving server gets
	// no new requests after 2 s. It is reached with 250 watchers.
	maxLinger = 500 * time.Millisecond
)

// signal notifies waiters of a change. The zero value is ready to use, and its methods are safe for
// concurrent use.
type signal struct {
	mutex   sync.Mutex
	waiting chan struct{}
}

// wait returns a channel that is closed at the next notification.
func (s *signal) wait() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.waiting == nil {
		s.waiting = make(chan struct{})
	}
	return s.waiting
}

// notify wakes all waiters.
func (s *signal) notify() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.waiting != nil {
		close(s.waiting)
		s.waiting = nil
	}
}

// watchedState is the state that watchers receive, applied by a member of the root group or
// followed by a non-member.
type watchedState interface {
	directoryView() *directory.View
	zoneDrainList() *zonedrain.List
	coldServerList() *coldstart.List
	configurationNumber() uint64
	quarantineRevision() uint64
	notices(now time.Time) []*rockwindpb.SuspectNotice
	// age is the time since the state was last known to be current.
	age(now time.Time) time.Duration
}

func (v *rootView) directoryView() *directory.View  { return v.directory }
func (v *rootView) zoneDrainList() *zonedrain.List  { return v.zoneDrains }
func (v *rootView) coldServerList() *coldstart.List { return v.cold }
func (v *rootView) configurationNumber() uint64     { return v.catalog.Index().Number() }
func (v *rootView) quarantineRevision() uint64      { return v.quarantine.Revision() }
func (v *rootView) age(time.Time) time.Duration     { return 0 }
func (v *rootView) notices(now time.Time) []*rockwindpb.SuspectNotice {
	return v.quarantine.Notices(now)
}

func (f *followedState) directoryView() *directory.View  { return f.directory }
func (f *followedState) zoneDrainList() *zonedrain.List  { return f.zoneDrains }
func (f *followedState) coldServerList() *coldstart.List { return f.cold }
func (f *followedState) configurationNumber() uint64     { return f.configuration }
func (f *followedState) quarantineRevision() uint64      { return f.quarantine.Revision() }
func (f *followedState) age(now time.Time) time.Duration { return now.Sub(f.receivedAt) }
func (f *followedState) notices(now time.Time) []*rockwindpb.SuspectNotice {
	return f.quarantine.Notices(now)
}

// wakeups end the wait of a watch: changed at each change, urgent at those sent immediately.
type wakeups struct {
	changed, urgent <-chan struct{}
}

// watchState returns the state for watchers and the channels that signal its next change. It
// returns fault.Unavailable if this coordinator has no current state.
func (c *Coordinator) watchState() (watchedState, wakeups, error) {
	if c.isNonMember() {
		next := wakeups{changed: c.follower.changed.wait(), urgent: c.follower.urgent.wait()}
		if known := c.recentState(); known != nil {
			return known, next, nil
		}
		return nil, wakeups{}, fault.New(fault.Unavailable, "this coordinator is not in contact with a member of the root group",
			"ask another coordinator").WithRan(fault.NotRun)
	}
	group, machine, err := c.rootGroup()
	if err != nil {
		return nil, wakeups{}, err
	}
	next := wakeups{changed: group.Applied(), urgent: machine.urgent.wait()}
	view, err := c.watchableState()
	if err != nil {
		return nil, wakeups{}, err
	}
	return view, next, nil
}

// awaitChanges waits until there are changes for a watcher or its wait is over. It fails as soon as
// this coordinator has no state for watchers, but waits for the first current state after a start.
func (c *Coordinator) awaitChanges(ctx context.Context, request *rockwindpb.WatchDirectoryRequest, wait *time.Timer) (watchedState, error) {
	c.watchers.Add(1)
	defer c.watchers.Add(-1)
	leaderCheck := time.NewTicker(leaderCheckInterval)
	defer leaderCheck.Stop()
	lingered := request.GetHaveRevision() == 0 || request.GetWaitMs() == 0
	var lingering <-chan time.Time
	for expired := false; ; {
		view, next, err := c.watchState()
		if err != nil {
			if c.isNonMember() {
				return nil, err
			}
			// A confirmed state ends with the first message of a leader, whose state is current soon after.
			if _, err = c.awaitWatchableState(ctx); err != nil {
				return nil, err
			}
			continue
		}
		changed := hasChanges(view, request)
		if expired || hasUrgentChanges(view, request) || (changed && lingered) {
			return view, nil
		}
		if changed && lingering == nil {
			lingering = time.After(c.lingerTime())
		}
		if lingering != nil {
			// Changes during the linger are sent together.
			next.changed = nil
		}
		select {
		case <-next.changed:
		case <-next.urgent:
		case <-lingering:
			lingered = true
		case <-leaderCheck.C:
		case <-wait.C:
			expired = true
		case <-ctx.Done():
			return nil, fault.New(fault.Unavailable, "the watch was cancelled", "ask again")
		}
	}
}

// lingerTime returns how long changes are batched before a watcher is answered.
func (c *Coordinator) lingerTime() time.Duration {
	return min(maxLinger, max(minLinger, time.Duration(c.watchers.Load())*lingerPerWatcher))
}

// hasChanges reports whether a view has anything that a watcher lacks.
func hasChanges(view watchedState, request *rockwindpb.WatchDirectoryRequest) bool {
	return view.directoryView().Revision() > request.GetHaveRevision() || view.quarantineRevision() > request.GetHaveQuarantine()
}

// hasUrgentChanges reports whether a view has changes that a watcher receives immediately.
func hasUrgentChanges(view watchedState, request *rockwindpb.WatchDirectoryRequest) bool {
	return view.configurationNumber() > request.GetHaveConfiguration() || lacksZoneDrains(view, request) ||
		lacksColdServers(view, request)
}

// answerWatch returns the parts of a view that a watcher lacks.
func answerWatch(view watchedState, request *rockwindpb.WatchDirectoryRequest, now time.Time) *rockwindpb.WatchDirectoryResponse {
	response := view.directoryView().Since(request.GetHaveRevision(), request.GetHaveStoreCluster())
	response.ConfigurationNumber = view.configurationNumber()
	response.AgeMs = uint32(view.age(now).Milliseconds())
	response.QuarantineRevision = view.quarantineRevision()
	if response.GetQuarantineRevision() > request.GetHaveQuarantine() {
		response.Suspects = view.notices(now)
	}
	if lacksZoneDrains(view, request) {
		response.ZoneDrainsRevision = view.zoneDrainList().Revision()
		response.ZoneDrains = view.zoneDrainList().Drains()
	}
	if lacksColdServers(view, request) {
		response.ColdServersRevision = view.coldServerList().Revision()
		response.ColdServers = view.coldServerList().Servers()
	}
	return response
}

// readWatched answers a watch with a linearizable read at the leader. A call that another coordinator forwarded is not
// forwarded again: its sender follows the address of the leader in the error.
func (c *Coordinator) readWatched(ctx context.Context, request *rockwindpb.WatchDirectoryRequest) (*rockwindpb.WatchDirectoryResponse, error) {
	elsewhere := func(ctx context.Context, base string) (*rockwindpb.WatchDirectoryResponse, error) {
		return c.directoryAt(base).Watch(ctx, request)
	}
	here := func() (*rockwindpb.WatchDirectoryResponse, error) { return c.readWatchedHere(ctx, request) }
	switch {
	case c.isNonMember():
		return forwardToLeader(ctx, c, forwardTimeout, elsewhere)
	case isForwarded(ctx):
		return here()
	}
	return callOnLeader(ctx, c, here, elsewhere)
}

// readWatchedHere is readWatched on the leader.
func (c *Coordinator) readWatchedHere(ctx context.Context, request *rockwindpb.WatchDirectoryRequest) (*rockwindpb.WatchDirectoryResponse, error) {
	group, machine, err := c.rootGroup()
	if err != nil {
		return nil, err
	}
	var view *rootView
	if err := group.Read(ctx, func() { view = machine.view() }); err != nil {
		return nil, err
	}
	response := answerWatch(view, request, time.Now())
	response.Linearizable = true
	return response, nil
}

// lacksZoneDrains reports whether a watcher supports zone drains and has an older list than the view.
func lacksZoneDrains(view watchedState, request *rockwindpb.WatchDirectoryRequest) bool {
	return request.GetKnowsZoneDrains() && view.zoneDrainList().Revision() > request.GetHaveZoneDrains()
}

// lacksColdServers reports whether a watcher supports cold servers and has an older list than the view.
func lacksColdServers(view watchedState, request *rockwindpb.WatchDirectoryRequest) bool {
	return request.GetKnowsColdServers() && view.coldServerList().Revision() > request.GetHaveColdServers()
}
