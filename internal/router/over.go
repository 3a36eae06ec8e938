package router

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// endedLook is how long a server may take to show, by refusing connections, that it has
	// ended: it shows at once, or its machine is gone.
	endedLook = 100 * time.Millisecond
)

// Over tells whether a server whose connection broke off works on nothing any more that it
// was sent, or is out of reach: nobody listens or answers at its address, or another
// incarnation has it. A silent server that takes connections may still work.
func Over(ctx context.Context, client *upstream.Client, view func() *directory.View, id, address string) bool {
	reach := client.Reach(ctx, address, endedLook)
	switch reach {
	case upstream.ReachRefused, upstream.ReachSilent:
		return true
	case upstream.ReachListens:
		return view().Replaced(id)
	}
	return false
}
