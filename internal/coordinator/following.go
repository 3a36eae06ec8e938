package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/zonedrain"
)

const (
	// followWait is how long a member may hold the watch of a coordinator outside. It is a part of how
	// old the answers of that one may be, which with a watcher's own wait of a second have to stay
	// below the 2.5 s after which routers do not take their configuration for the newest any more.
	followWait = 500 * time.Millisecond
	// followFresh is how long a coordinator outside answers from what a member told it last.
	followFresh = 2 * followWait
	// followRetry is the time between watches while no member answers, and between looks whether
	// this coordinator is outside.
	followRetry = 100 * time.Millisecond
)

// followed is what a coordinator outside of the root group knows of the group's state: as much as
// watchers are told. It is immutable.
type followed struct {
	directory     *directory.View
	quarantine    *quarantine.List
	zoneDrains    *zonedrain.List
	configuration uint64
	// leader is the address of the leader, empty where the member is of a version that does not tell it.
	leader string
	// heard is when the member told all this.
	heard time.Time
}

// following follows the root group from outside, so that each watcher and each server that reports
// nothing new costs the members nothing: half of all at a site with ten coordinators.
type following struct {
	state atomic.Pointer[followed]
	// news is raised at each change, and urgent at those that watchers are told at once.
	news, urgent signal
}

// follow watches members of the root group while this coordinator is outside.
func (c *Coordinator) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.outside() || !c.followOnce(ctx) {
			retry.Pause(ctx, followRetry)
		}
	}
}

// followOnce makes one watch, and tells whether a member answered it.
func (c *Coordinator) followOnce(ctx context.Context) bool {
	held := c.following.state.Load()
	request := held.request(followWait)
	response, err := passOn(ctx, c, holdOf(request.GetWaitMs()), func(ctx context.Context, base string) (*rockwindpb.WatchDirectoryResponse, error) {
		return c.directoryAt(base).Watch(ctx, request)
	})
	if err != nil {
		log.WithError(err).Debug("no member of the root group tells this coordinator its state")
		return false
	}
	next := held.with(response, time.Now())
	c.following.state.Store(next)
	if held == nil || next.directory != held.directory || next.quarantine != held.quarantine {
		c.following.news.raise()
	}
	if held == nil || next.configuration != held.configuration || next.zoneDrains != held.zoneDrains {
		c.following.urgent.raise()
	}
	return true
}

// followed is what this coordinator may answer from, nil where no member told anything lately.
func (c *Coordinator) followed() *followed {
	known := c.following.state.Load()
	if known == nil || known.leader == "" || time.Since(known.heard) > followFresh {
		return nil
	}
	return known
}

// request asks for what is newer than what is held; nil holds nothing.
func (f *followed) request(wait time.Duration) *rockwindpb.WatchDirectoryRequest {
	request := &rockwindpb.WatchDirectoryRequest{WaitMs: uint32(wait.Milliseconds()), KnowsZoneDrains: true, WantLeader: true}
	if f == nil {
		return request
	}
	request.HaveRevision, request.HaveStoreCluster = f.directory.Revision(), f.directory.StoreCluster().GetClusterId()
	request.HaveConfiguration, request.HaveQuarantine, request.HaveZoneDrains = f.configuration, f.quarantine.Revision(), f.zoneDrains.Revision()
	return request
}

// with is what is known after a member's answer. Members may be behind each other; what is newer
// stays.
func (f *followed) with(response *rockwindpb.WatchDirectoryResponse, now time.Time) *followed {
	next := &followed{heard: now, leader: response.GetLeaderAddress()}
	if f != nil {
		next.directory, next.quarantine, next.zoneDrains, next.configuration = f.directory, f.quarantine, f.zoneDrains, f.configuration
	}
	next.directory = directory.Merge(next.directory, response)
	next.configuration = max(next.configuration, response.GetConfigurationNumber())
	if response.GetQuarantineRevision() > next.quarantine.Revision() {
		next.quarantine = quarantine.NewList(response.GetQuarantineRevision(), response.GetSuspects(), now)
	}
	if response.GetZoneDrainsRevision() > next.zoneDrains.Revision() {
		next.zoneDrains = zonedrain.NewList(response.GetZoneDrainsRevision(), response.GetZoneDrains())
	}
	return next
}
