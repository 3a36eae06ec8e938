package router

import (
	"context"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// probeTimeout bounds a probe: a server that has ended refuses connections at once, unless
	// its machine is gone.
	probeTimeout = 100 * time.Millisecond
	// secondProbeDelay is the time between the starts of two probes if the first got no answer.
	// The kernel resends a lost SYN only after a second, so a new connection is needed; a short
	// network fault that broke the stream and lost the SYN is over by then.
	secondProbeDelay = 200 * time.Millisecond
)

// ServerStopped reports whether a server whose connection broke can no longer work on the request
// or is unreachable: it refuses connections, another incarnation has its address, or it does not
// answer and either the directory lists it as gone or silent or a second probe gets no answer. A
// silent server that accepts connections may still be working.
func ServerStopped(ctx context.Context, client *upstream.Client, view func() *directory.View, id, address string) bool {
	began := time.Now()
	reach := client.Probe(ctx, address, probeTimeout)
	if reach == upstream.ProbeTimedOut && !view().Absent(id) {
		if !retry.Pause(ctx, secondProbeDelay-time.Since(began)) {
			return false
		}
		reach = client.Probe(ctx, address, probeTimeout)
	}
	switch reach {
	case upstream.ProbeRefused, upstream.ProbeTimedOut:
		return true
	case upstream.ProbeConnected:
		return view().Replaced(id)
	}
	return false
}
