package router

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// endedLook is how long a server may take to show, by refusing connections, that it has
	// ended: it shows at once, or its machine is gone.
	endedLook = 100 * time.Millisecond
	// secondLook is the time from the beginning of a look that got no answer to the next one.
	// A connection whose first packet was lost is only tried again by the kernel after a
	// second, so that a new one is needed; and a reset that broke the run off and the loss of
	// that packet are over by then where they had one short cause.
	secondLook = 200 * time.Millisecond
)

// ServerStopped tells whether a server whose connection broke off works on nothing any more that it
// was sent, or is out of reach. Nobody listens at its address, or another incarnation has it;
// or it answers nothing, and the directory says that it is gone or silent, or it answers
// nothing a second time. A silent server that takes connections may still work.
func ServerStopped(ctx context.Context, client *upstream.Client, view func() *directory.View, id, address string) bool {
	began := time.Now()
	reach := client.Reach(ctx, address, endedLook)
	if reach == upstream.ReachSilent && !view().Absent(id) {
		if !retry.Pause(ctx, secondLook-time.Since(began)) {
			return false
		}
		reach = client.Reach(ctx, address, endedLook)
	}
	switch reach {
	case upstream.ReachRefused, upstream.ReachSilent:
		return true
	case upstream.ReachListens:
		return view().Replaced(id)
	}
	return false
}
