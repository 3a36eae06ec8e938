package batch

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/sharing"
)

// maximumSwaps bounds the items that are swapped on one server per call of reclaim.
const maximumSwaps = 16

// reclaim pauses items of groups that run more than their allowance to start items
// of groups that run less and have items waiting.
func (e *Executor) reclaim(ctx context.Context) {
	if e.draining {
		return
	}
	for _, server := range e.busyServers() {
		for range maximumSwaps {
			groups := e.groupsOn(server)
			from, to, found := e.picker.Reclaim(groups)
			if !found || !e.swap(ctx, server, groups[from].Group, groups[to].Group) {
				break
			}
		}
	}
}

// busyServers lists the servers with items that run and are not paused.
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

// groupsOn counts the items that each group runs on a server and could start there.
func (e *Executor) groupsOn(server string) []sharing.GroupRunning {
	var groups []sharing.GroupRunning
	positions := make(map[string]int)
	groupNamed := func(name string) *sharing.GroupRunning {
		position, known := positions[name]
		if !known {
			position = len(groups)
			positions[name] = position
			groups = append(groups, sharing.GroupRunning{Group: name})
		}
		return &groups[position]
	}
	now := time.Now()
	for current := range e.running {
		if current.target.Name != server || current.abandoned {
			continue
		}
		group := groupNamed(current.lease.job.GetGroup())
		if current.paused {
			group.Waiting++
			continue
		}
		group.Running += sharing.EquivalentItems(current.prompt, now.Sub(current.started))
	}
	for _, held := range e.leases {
		if held.ready(now) && e.options.View.CanRunBatch(server, held.wanted) {
			groupNamed(held.job.GetGroup()).Waiting += len(held.pending)
		}
	}
	return groups
}

// swap pauses the newest item of one group on a server and starts an item of
// another group. It reports whether that item started.
func (e *Executor) swap(ctx context.Context, server, from, to string) bool {
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
	return e.startFromGroup(ctx, to)
}

// startFromGroup resumes or starts an item of a group and reports whether it did.
func (e *Executor) startFromGroup(ctx context.Context, group string) bool {
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

// ready reports whether the lease has items that may start now.
func (l *lease) ready(now time.Time) bool {
	return len(l.pending) > 0 && l.lines != nil && !now.Before(l.notBefore)
}
