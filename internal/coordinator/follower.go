package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/coldstart"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/zonedrain"
)

const (
	// followWatchWait is the maximum wait of a non-member's watch at a member. It contributes to
	// the age of the non-member's answers, which together with a watcher's wait of 1 s must stay
	// below the 2.5 s after which routers consider their configuration stale.
	followWatchWait = 500 * time.Millisecond
	// followMaxAge is the maximum age of the state that a non-member serves.
	followMaxAge = 2 * followWatchWait
	// followRetryInterval is the time between watches while no member answers, and between checks
	// of whether this coordinator is a non-member.
	followRetryInterval = 100 * time.Millisecond
)

// followedState is what a non-member knows of the root group's state: everything that watchers
// receive. It is immutable.
type followedState struct {
	directory     *directory.View
	quarantine    *quarantine.List
	zoneDrains    *zonedrain.List
	cold          *coldstart.List
	configuration uint64
	// leader is the leader's address, empty if the member's version does not send it.
	leader string
	// receivedAt is the time of the member's last answer.
	receivedAt time.Time
}

// rootFollower holds the state of the root group at a non-member, so that directory watches and
// unchanged reports there do not load the members.
type rootFollower struct {
	state atomic.Pointer[followedState]
	// changed is notified at each change, urgent at those that watchers receive immediately.
	changed, urgent signal
}

// followMembers watches members of the root group while this coordinator is a non-member.
func (c *Coordinator) followMembers(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.isNonMember() || !c.watchMember(ctx) {
			retry.Pause(ctx, followRetryInterval)
		}
	}
}

// watchMember makes one watch and reports whether a member answered it.
func (c *Coordinator) watchMember(ctx context.Context) bool {
	previous := c.follower.state.Load()
	request := previous.watchRequest(followWatchWait)
	response, err := forward(ctx, c, watchTimeout(request.GetWaitMs()), func(ctx context.Context, base string) (*rockwindpb.WatchDirectoryResponse, error) {
		return c.directoryAt(base).Watch(ctx, request)
	})
	if err != nil {
		log.WithError(err).Debug("no member of the root group answered the watch")
		return false
	}
	next := previous.merge(response, time.Now())
	c.follower.state.Store(next)
	if previous == nil || next.directory != previous.directory || next.quarantine != previous.quarantine {
		c.follower.changed.notify()
	}
	if previous == nil || next.configuration != previous.configuration || next.zoneDrains != previous.zoneDrains ||
		next.cold != previous.cold {
		c.follower.urgent.notify()
	}
	return true
}

// recentState returns the state that a non-member may serve, or nil if it is too old.
func (c *Coordinator) recentState() *followedState {
	known := c.follower.state.Load()
	if known == nil || known.leader == "" || time.Since(known.receivedAt) > followMaxAge {
		return nil
	}
	return known
}

// watchRequest returns the request for changes since f, which may be nil.
func (f *followedState) watchRequest(wait time.Duration) *rockwindpb.WatchDirectoryRequest {
	request := &rockwindpb.WatchDirectoryRequest{WaitMs: uint32(wait.Milliseconds()), KnowsZoneDrains: true, KnowsColdServers: true, WantLeader: true}
	if f == nil {
		return request
	}
	request.HaveRevision, request.HaveStoreCluster = f.directory.Revision(), f.directory.StoreCluster().GetClusterId()
	request.HaveConfiguration, request.HaveQuarantine, request.HaveZoneDrains = f.configuration, f.quarantine.Revision(), f.zoneDrains.Revision()
	request.HaveColdServers = f.cold.Revision()
	return request
}

// merge returns the state after a member's answer. Members may lag behind each other, so newer
// parts of f are kept.
func (f *followedState) merge(response *rockwindpb.WatchDirectoryResponse, now time.Time) *followedState {
	age := time.Duration(response.GetAgeMs()) * time.Millisecond
	next := &followedState{receivedAt: now.Add(-age), leader: response.GetLeaderAddress()}
	if f != nil {
		next.directory, next.quarantine, next.zoneDrains, next.configuration = f.directory, f.quarantine, f.zoneDrains, f.configuration
		next.cold = f.cold
	}
	next.directory = directory.Merge(next.directory, response)
	next.configuration = max(next.configuration, response.GetConfigurationNumber())
	if response.GetQuarantineRevision() > next.quarantine.Revision() {
		next.quarantine = quarantine.NewList(response.GetQuarantineRevision(), response.GetSuspects(), now)
	}
	if response.GetZoneDrainsRevision() > next.zoneDrains.Revision() {
		next.zoneDrains = zonedrain.NewList(response.GetZoneDrainsRevision(), response.GetZoneDrains())
	}
	if response.GetColdServersRevision() > next.cold.Revision() {
		next.cold = coldstart.NewList(response.GetColdServersRevision(), response.GetColdServers())
	}
	return next
}
