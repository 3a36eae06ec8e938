package batch

import (
	"context"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/serverview"
	"rockwind.example/rockwind/internal/sharing"
)

// confirmAfter is how long after an item was put back, and still runs, it is put
// back again.
const confirmAfter = 5 * time.Second

// yield makes running items give way where they harm online requests.
func (e *Executor) yield(ctx context.Context) {
	for _, found := range e.options.View.BatchYields(e.yieldObjective()) {
		if found.Lost {
			e.cancelLost(found.Target.Name)
			continue
		}
		e.pauseNewest(ctx, found)
	}
}

// yieldObjective is the objective by which running items give way: latency where
// all their groups favour it.
func (e *Executor) yieldObjective() sharing.Objective {
	for current := range e.running {
		if e.objective(current.lease.job.GetGroup()) == sharing.Throughput {
			return sharing.Throughput
		}
	}
	return sharing.Latency
}

// pauseNewest frees the places of the youngest items of a server.
func (e *Executor) pauseNewest(ctx context.Context, asked serverview.BatchYield) {
	var candidates []*run
	for current := range e.running {
		if current.target.Name == asked.Target.Name && !current.paused && !current.abandoned {
			candidates = append(candidates, current)
		}
	}
	slices.SortFunc(candidates, func(left, right *run) int { return right.started.Compare(left.started) })
	for _, current := range candidates[:min(asked.Count, len(candidates))] {
		e.pause(ctx, current)
	}
}

func (e *Executor) pause(ctx context.Context, current *run) {
	current.paused = true
	e.paused = append(e.paused, current)
	e.options.View.PauseBatch(current.target.Name)
	e.order(ctx, current)
}

// resumePaused lets the item of a group that was paused last go on whose server
// has room; false means that there is none.
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
		e.order(ctx, current)
		return true
	}
	return false
}

// forgetPaused takes an item that ended off the paused ones.
func (e *Executor) forgetPaused(current *run) {
	if index := slices.Index(e.paused, current); index >= 0 {
		e.paused = slices.Delete(e.paused, index, index+1)
	}
}

// hasPaused tells whether items of a lease are paused.
func (e *Executor) hasPaused(held *lease) bool {
	return slices.ContainsFunc(e.paused, func(current *run) bool { return current.lease == held && !current.abandoned })
}

// cancelLost cancels the items at a server that was ejected: their answers are
// not waited for.
func (e *Executor) cancelLost(server string) {
	for current := range e.running {
		if current.target.Name == server {
			current.cancel()
		}
	}
}

// order tells the item's engine whether the item is paused.
func (e *Executor) order(ctx context.Context, current *run) {
	if !current.paused {
		current.putBack = time.Now()
	}
	current.place.want(current.paused, e.sender(ctx, current))
}

// sender sends the orders of an item to its engine.
func (e *Executor) sender(ctx context.Context, current *run) func(paused bool) {
	target, id := current.target, current.id
	return func(paused bool) {
		if paused {
			e.options.Relay.Pause(ctx, target, id)
			return
		}
		e.options.Relay.Unpause(ctx, target, id)
	}
}

// confirmPutBack puts items back again that were put back a while ago and still
// run: an item that its engine holds as paused would never end.
func (e *Executor) confirmPutBack(ctx context.Context, now time.Time) {
	for current := range e.running {
		if current.paused || current.abandoned || current.putBack.IsZero() || now.Sub(current.putBack) < confirmAfter {
			continue
		}
		current.putBack = now
		current.place.confirm(e.sender(ctx, current))
	}
}
