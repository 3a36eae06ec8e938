package coordinator

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// callerCheckDelay is how long the command of an operator waits for the end of its connection. A sender that has
	// given a command up closes its connection; on a link that was cut and heals, the end arrives a round trip after
	// the command.
	callerCheckDelay = 100 * time.Millisecond
	// unreadTime is how long after a stall a command may be read that has waited for it to end.
	unreadTime = 500 * time.Millisecond
)

// operatorCall is a call that carries the command of an operator. Commands have no number, so one that its sender has
// given up must not take effect after later ones.
type operatorCall struct {
	coordinator *Coordinator
	ctx         context.Context
	received    time.Time
}

// operatorCall returns the call of a context, which has just been received.
func (c *Coordinator) operatorCall(ctx context.Context) *operatorCall {
	return &operatorCall{coordinator: c, ctx: ctx, received: time.Now()}
}

// isForwarded reports whether another coordinator received the call of a context first.
func isForwarded(ctx context.Context) bool { return ctx.Value(forwardedKey{}) != nil }

// checkCaller returns a fault if the sender may have given the command up: its connection has ended, its time is over, or
// the command may have waited unread during a stall of this process.
func (o *operatorCall) checkCaller() error {
	deadline, limited := o.ctx.Deadline()
	switch {
	case o.ctx.Err() != nil, limited && !time.Now().Before(deadline):
		return fault.New(fault.Unavailable, "the command was not committed while its sender waited", "repeat the command").WithRan(fault.NotRun)
	case o.coordinator.stalls.StalledSince(o.received.Add(-unreadTime)):
		return fault.New(fault.Unavailable, "this coordinator stood still and may have received the command long ago",
			"repeat the command, also at another coordinator").WithRan(fault.NotRun)
	}
	return nil
}

// awaitCaller is checkCaller after callerCheckDelay.
func (o *operatorCall) awaitCaller() error {
	retry.Pause(o.ctx, callerCheckDelay)
	return o.checkCaller()
}

// commit has the leader commit the command with a permit, which it requests again while other commands outdate it. The
// sender is checked after each permit: a command that is delayed from there on is refused by the leader.
func (o *operatorCall) commit(propose func(permit *rockwindpb.CommandPermit) error) error {
	if err := o.awaitCaller(); err != nil {
		return err
	}
	for {
		permit, err := o.coordinator.issuePermit(o.ctx)
		if err != nil {
			return err
		}
		if err := o.checkCaller(); err != nil {
			return err
		}
		if err := propose(permit); !fault.Is(err, fault.Stale) {
			return err
		}
	}
}
