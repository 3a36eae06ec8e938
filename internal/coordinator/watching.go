package coordinator

import (
	"context"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/zonedrain"
)

const (
	// maximumWait bounds how long a call may wait for news.
	maximumWait = 30 * time.Second
	// freshnessInterval is how often a call that waits checks that this replica
	// still hears the leader.
	freshnessInterval = 250 * time.Millisecond
	// newsLinger is how long news of the directory are gathered before a watcher is
	// told: hundreds of processes and servers appear within a second at a start, and
	// each change told alone costs every watcher a call.
	newsLinger = 50 * time.Millisecond
	// newsPerWatcher lengthens that by the watchers of this coordinator, so that it makes at most
	// 500 answers a second however many they are: where servers come and go all the time, each
	// watcher is answered as soon as it has asked again.
	newsPerWatcher = 2 * time.Millisecond
	// longestLinger bounds it: a server that leaves is to get nothing new after two seconds at the
	// strictest sites. It is reached by 250 watchers, 2,500 processes with ten coordinators.
	longestLinger = 500 * time.Millisecond
)

// signal wakes those who wait for a change. The zero value is ready for use; its methods may be
// called by any goroutine.
type signal struct {
	mutex  sync.Mutex
	raised chan struct{}
}

// next returns a channel that is closed at the next change.
func (s *signal) next() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.raised == nil {
		s.raised = make(chan struct{})
	}
	return s.raised
}

// raise wakes those who wait.
func (s *signal) raise() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.raised != nil {
		close(s.raised)
		s.raised = nil
	}
}

// watched is the state that watchers are told of, as a member of the root group has applied it or as
// a coordinator outside was told it.
type watched interface {
	directoryView() *directory.View
	drains() *zonedrain.List
	configurationNumber() uint64
	quarantineRevision() uint64
	notices(now time.Time) []*rockwindpb.SuspectNotice
	// age is how long ago the state is known to have been that of the group.
	age(now time.Time) time.Duration
}

func (v *rootView) directoryView() *directory.View { return v.directory }
func (v *rootView) drains() *zonedrain.List        { return v.zoneDrains }
func (v *rootView) configurationNumber() uint64    { return v.catalog.Index().Number() }
func (v *rootView) quarantineRevision() uint64     { return v.quarantine.Revision() }
func (v *rootView) age(time.Time) time.Duration    { return 0 }
func (v *rootView) notices(now time.Time) []*rockwindpb.SuspectNotice {
	return v.quarantine.Notices(now)
}

func (f *followed) directoryView() *directory.View  { return f.directory }
func (f *followed) drains() *zonedrain.List         { return f.zoneDrains }
func (f *followed) configurationNumber() uint64     { return f.configuration }
func (f *followed) quarantineRevision() uint64      { return f.quarantine.Revision() }
func (f *followed) age(now time.Time) time.Duration { return now.Sub(f.heard) }
func (f *followed) notices(now time.Time) []*rockwindpb.SuspectNotice {
	return f.quarantine.Notices(now)
}

// changes wake a call that is held: news at each change, urgent at those that are told at once.
type changes struct {
	news, urgent <-chan struct{}
}

// watched returns the state that watchers are told of, and what wakes them at the next change. It
// fails with fault.Unavailable where this coordinator does not know lately what the group holds.
func (c *Coordinator) watched() (watched, changes, error) {
	if c.outside() {
		next := changes{news: c.following.news.next(), urgent: c.following.urgent.next()}
		if known := c.followed(); known != nil {
			return known, next, nil
		}
		return nil, changes{}, fault.New(fault.Unavailable, "this coordinator does not hear a member of the root group",
			"ask another coordinator").WithRan(fault.NotRun)
	}
	group, machine, err := c.group()
	if err != nil {
		return nil, changes{}, err
	}
	next := changes{news: group.Applied(), urgent: machine.urgent.next()}
	_, view, err := c.current()
	if err != nil {
		return nil, changes{}, err
	}
	return view, next, nil
}

// awaitNews holds a call until there is something to tell its watcher, or its wait is over. It fails
// as soon as this coordinator does not know any more what the group holds.
func (c *Coordinator) awaitNews(ctx context.Context, request *rockwindpb.WatchDirectoryRequest, wait *time.Timer) (watched, error) {
	c.watchers.Add(1)
	defer c.watchers.Add(-1)
	fresh := time.NewTicker(freshnessInterval)
	defer fresh.Stop()
	lingered := request.GetHaveRevision() == 0 || request.GetWaitMs() == 0
	var lingering <-chan time.Time
	for over := false; ; {
		view, next, err := c.watched()
		if err != nil {
			return nil, err
		}
		news := hasNews(view, request)
		if over || hasUrgent(view, request) || (news && lingered) {
			return view, nil
		}
		if news && lingering == nil {
			lingering = time.After(c.lingerTime())
		}
		if lingering != nil {
			// What changes meanwhile is told with the rest.
			next.news = nil
		}
		select {
		case <-next.news:
		case <-next.urgent:
		case <-lingering:
			lingered = true
		case <-fresh.C:
		case <-wait.C:
			over = true
		case <-ctx.Done():
			return nil, fault.New(fault.Unavailable, "the wait for news was cut short", "ask again")
		}
	}
}

// lingerTime is how long news of the directory are gathered before a watcher is told.
func (c *Coordinator) lingerTime() time.Duration {
	return min(longestLinger, max(newsLinger, time.Duration(c.watchers.Load())*newsPerWatcher))
}

// hasNews tells whether a view holds anything that a watcher lacks.
func hasNews(view watched, request *rockwindpb.WatchDirectoryRequest) bool {
	return view.directoryView().Revision() > request.GetHaveRevision() || view.quarantineRevision() > request.GetHaveQuarantine()
}

// hasUrgent tells whether a view holds what a watcher is told at once.
func hasUrgent(view watched, request *rockwindpb.WatchDirectoryRequest) bool {
	return view.configurationNumber() > request.GetHaveConfiguration() || lacksZoneDrains(view, request)
}

// answerWatch is what a watcher lacks of a view.
func answerWatch(view watched, request *rockwindpb.WatchDirectoryRequest, now time.Time) *rockwindpb.WatchDirectoryResponse {
	response := view.directoryView().Since(request.GetHaveRevision(), request.GetHaveStoreCluster())
	response.ConfigurationNumber = view.configurationNumber()
	response.AgeMs = uint32(view.age(now).Milliseconds())
	response.QuarantineRevision = view.quarantineRevision()
	if response.GetQuarantineRevision() > request.GetHaveQuarantine() {
		response.Suspects = view.notices(now)
	}
	if lacksZoneDrains(view, request) {
		response.ZoneDrainsRevision = view.drains().Revision()
		response.ZoneDrains = view.drains().Drains()
	}
	return response
}

// lacksZoneDrains tells whether a watcher takes zone drains, and holds older ones than a view.
func lacksZoneDrains(view watched, request *rockwindpb.WatchDirectoryRequest) bool {
	return request.GetKnowsZoneDrains() && view.drains().Revision() > request.GetHaveZoneDrains()
}
