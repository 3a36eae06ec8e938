package loadshare

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/retry"
)

const (
	// minTriggerSpacing is the least time before a triggered digest in a mesh.
	minTriggerSpacing = 10 * time.Millisecond
	// minGroupTriggerSpacing is the same in a group, whose relays receive the digests of all members.
	minGroupTriggerSpacing = 50 * time.Millisecond
)

// Schedule determines when a process sends its digests: at the interval of the layout, and soon after
// a trigger. It does no I/O, so simulations run it in virtual time.
type Schedule struct{ triggers chan struct{} }

// NewSchedule returns a schedule without triggers.
func NewSchedule() *Schedule { return &Schedule{triggers: make(chan struct{}, 1)} }

// Trigger has digests sent soon instead of at the next interval. It never blocks.
func (s *Schedule) Trigger() {
	select {
	case s.triggers <- struct{}{}:
	default:
	}
}

// Run calls send whenever digests are due until the context ends. layout returns the current layout.
func (s *Schedule) Run(ctx context.Context, layout func() *Layout, send func()) {
	timer := time.NewTimer(minGroupInterval)
	defer timer.Stop()
	var sent time.Time
	for {
		current := layout()
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.triggers:
			retry.Pause(ctx, current.triggerSpacing()-time.Since(sent))
		}
		timer.Reset(current.Interval())
		sent = time.Now()
		send()
	}
}

// triggerSpacing returns the least time before a triggered digest.
func (l *Layout) triggerSpacing() time.Duration {
	if l.Mesh() {
		return minTriggerSpacing
	}
	return minGroupTriggerSpacing
}
