package batch

import (
	"context"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/serverview"
	"rockwind.example/rockwind/internal/sharing"
)

// resumeResendInterval is the time between repeated resume commands for an item
// that still runs.
const resumeResendInterval = 5 * time.Second

// yield pauses running items on servers where they slow down online requests, and
// cancels those on ejected servers.
func (e *Executor) yield(ctx context.Context) {
	for _, found := range e.options.View.BatchPreemptions(e.yieldObjective()) {
		if found.Lost {
			e.cancelItemsOn(found.Target.Name)
			continue
		}
		e.pauseNewest(ctx, found)
	}
}

// yieldObjective returns the objective that decides when running items are paused:
// latency if all their groups have that objective, otherwise throughput.
func (e *Executor) yieldObjective() sharing.Objective {
	for current := range e.running {
		if e.objective(current.lease.job.GetGroup()) == sharing.Throughput {
			return sharing.Throughput
		}
	}
	return sharing.Latency
}

// pauseNewest pauses the newest items of a server, as many as requested.
func (e *Executor) pauseNewest(ctx context.Context, requested serverview.BatchPreemption) {
	var candidates []*run
	for current := range e.running {
		if current.target.Name == requested.Target.Name && !current.paused && !current.abandoned {
			candidates = append(candidates, current)
		}
	}
	slices.SortFunc(candidates, func(left, right *run) int { return right.started.Compare(left.started) })
	for _, current := range candidates[:min(requested.Count, len(candidates))] {
		e.pause(ctx, current)
	}
}

func (e *Executor) pause(ctx context.Context, current *run) {
	current.paused = true
	e.paused = append(e.paused, current)
	e.options.View.PauseBatch(current.target.Name)
	e.sendPauseState(ctx, current)
}

// resumePaused resumes the most recently paused item of a group whose server has
// capacity. It returns false if there is none.
func (e *Executor) resumePaused(ctx context.Context, group string) bool {
	for index := len(e.paused) - 1; index >= 0; index-- {
		current := e.paused[index]
		if current.lease.job.GetGroup() != group || current.abandoned {
			continue
		}
		if !e.options.View.ResumeBatch(current.target.Name, e.objective(group)) {
			continue
		}
		e.paused = slices.Delete(e.paused, index, index+1)
		current.paused = false
		e.sendPauseState(ctx, current)
		return true
	}
	return false
}

// removePaused removes an ended item from the paused items.
func (e *Executor) removePaused(current *run) {
	if index := slices.Index(e.paused, current); index >= 0 {
		e.paused = slices.Delete(e.paused, index, index+1)
	}
}

// hasPaused reports whether items of a lease are paused.
func (e *Executor) hasPaused(held *lease) bool {
	return slices.ContainsFunc(e.paused, func(current *run) bool { return current.lease == held && !current.abandoned })
}

// cancelItemsOn cancels all items on an ejected server.
func (e *Executor) cancelItemsOn(server string) {
	for current := range e.running {
		if current.target.Name == server {
			current.cancel()
		}
	}
}

// sendPauseState tells the item's engine whether the item is paused.
func (e *Executor) sendPauseState(ctx context.Context, current *run) {
	if !current.paused {
		current.resumedAt = time.Now()
	}
	current.pauseSender.setPaused(current.paused, e.pauseCommand(ctx, current))
}

// pauseCommand returns the function that pauses or resumes an item at its engine.
func (e *Executor) pauseCommand(ctx context.Context, current *run) func(paused bool) {
	target, id := current.target, current.id
	return func(paused bool) {
		if paused {
			e.options.Relay.Pause(ctx, target, id)
			return
		}
		e.options.Relay.Unpause(ctx, target, id)
	}
}

// resendResumes sends the resume command again for items that still run a while
// after they were resumed: an item that its engine still holds paused would never
// end.
func (e *Executor) resendResumes(ctx context.Context, now time.Time) {
	for current := range e.running {
		if current.paused || current.abandoned || current.resumedAt.IsZero() || now.Sub(current.resumedAt) < resumeResendInterval {
			continue
		}
		current.resumedAt = now
		current.pauseSender.resendResume(e.pauseCommand(ctx, current))
	}
}
