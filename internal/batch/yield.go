package batch

import (
	"context"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/serverview"
)

// unpauseAfter is how long a server must have had room before paused items
// come back, so that items do not flap.
const unpauseAfter = 250 * time.Millisecond

// yieldState is what is known of giving way on one server.
type yieldState struct {
	// roomSince is when the server began to have room; zero while it has none.
	roomSince time.Time
}

// yield makes running items give way where they harm online requests, and lets
// paused ones go on where there is room.
func (e *Executor) yield(ctx context.Context) {
	seen := make(map[string]bool)
	for _, found := range e.options.View.BatchYields() {
		if found.Lost {
			e.cancelLost(found.Target.Name)
			continue
		}
		seen[found.Target.Name] = true
		state := e.yields[found.Target.Name]
		if state == nil {
			state = &yieldState{}
			e.yields[found.Target.Name] = state
		}
		if found.Count > 0 {
			state.roomSince = time.Time{}
			e.pause(ctx, found)
			continue
		}
		if state.roomSince.IsZero() {
			state.roomSince = time.Now()
		}
		if time.Since(state.roomSince) >= unpauseAfter {
			e.unpause(ctx, found)
		}
	}
	for name := range e.yields {
		if !seen[name] {
			delete(e.yields, name)
		}
	}
}

// on lists the items at a server, youngest first.
func (e *Executor) on(server string, paused bool) []*run {
	var found []*run
	for current := range e.running {
		if current.target.Name == server && current.paused == paused && !current.abandoned {
			found = append(found, current)
		}
	}
	slices.SortFunc(found, func(left, right *run) int { return right.started.Compare(left.started) })
	return found
}

// pause frees the places of the youngest items of a server.
func (e *Executor) pause(ctx context.Context, asked serverview.BatchYield) {
	candidates := e.on(asked.Target.Name, false)
	for _, current := range candidates[:min(asked.Count, len(candidates))] {
		current.paused = true
		e.options.View.BatchPaused(asked.Target.Name, true)
		go current.order(func() { e.options.Relay.Pause(ctx, current.target, current.id) })
	}
}

// unpause puts the oldest paused items of a server back.
func (e *Executor) unpause(ctx context.Context, asked serverview.BatchYield) {
	candidates := e.on(asked.Target.Name, true)
	slices.Reverse(candidates)
	for _, current := range candidates[:min(-asked.Count, len(candidates))] {
		current.paused = false
		e.options.View.BatchPaused(asked.Target.Name, false)
		go current.order(func() { e.options.Relay.Unpause(ctx, current.target, current.id) })
	}
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

// order sends one order about the item at a time, so that a later one does not
// overtake an earlier one.
func (c *run) order(send func()) {
	c.orders.Lock()
	defer c.orders.Unlock()
	send()
}
