package batch

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/sharing"
)

// reclaimLimit bounds the items that change places on a server at a time.
const reclaimLimit = 16

// reclaim gives groups that came back their part of the running items: items of
// groups that run more than their allowance are paused for them.
func (e *Executor) reclaim(ctx context.Context) {
	if e.draining {
		return
	}
	for _, server := range e.busyServers() {
		for range reclaimLimit {
			groups := e.groupsOn(server)
			from, to, found := e.picker.Reclaim(groups)
			if !found || !e.exchange(ctx, server, groups[from].Group, groups[to].Group) {
				break
			}
		}
	}
}

// busyServers lists the servers with running items.
func (e *Executor) busyServers() []string {
	seen := make(map[string]bool)
	var servers []string
	for current := range e.running {
		if !current.paused && !seen[current.target.Name] {
			seen[current.target.Name] = true
			servers = append(servers, current.target.Name)
		}
	}
	return servers
}

// groupsOn counts what each group has on a server and could start there.
func (e *Executor) groupsOn(server string) []sharing.GroupRunning {
	var groups []sharing.GroupRunning
	places := make(map[string]int)
	of := func(name string) *sharing.GroupRunning {
		place, known := places[name]
		if !known {
			place = len(groups)
			places[name] = place
			groups = append(groups, sharing.GroupRunning{Group: name})
		}
		return &groups[place]
	}
	now := time.Now()
	for current := range e.running {
		if current.target.Name != server || current.abandoned {
			continue
		}
		group := of(current.lease.job.GetGroup())
		if current.paused {
			group.Waiting++
			continue
		}
		group.Running += sharing.EquivalentItems(current.prompt, now.Sub(current.started))
	}
	for _, held := range e.leases {
		if held.ready(now) && e.options.View.CanRunBatch(server, held.wanted) {
			of(held.job.GetGroup()).Waiting += len(held.pending)
		}
	}
	return groups
}

// exchange pauses the newest item of one group on a server and starts one of
// another; false means that the other could not start.
func (e *Executor) exchange(ctx context.Context, server, from, to string) bool {
	var newest *run
	for current := range e.running {
		on := current.target.Name == server && !current.paused && !current.abandoned
		if on && current.lease.job.GetGroup() == from && (newest == nil || current.started.After(newest.started)) {
			newest = current
		}
	}
	if newest == nil {
		return false
	}
	e.pause(ctx, newest)
	return e.startOf(ctx, to)
}

// startOf starts an item of a group.
func (e *Executor) startOf(ctx context.Context, group string) bool {
	if e.resumePaused(ctx, group) {
		return true
	}
	now := time.Now()
	for _, held := range e.leases {
		if held.job.GetGroup() != group || !held.ready(now) {
			continue
		}
		candidate := e.candidate(held, now)
		if e.startPending(ctx, held, &candidate) {
			return true
		}
	}
	return false
}

// ready tells whether the lease has items that may start now.
func (l *lease) ready(now time.Time) bool {
	return len(l.pending) > 0 && l.lines != nil && !now.Before(l.notBefore)
}
