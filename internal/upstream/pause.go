package upstream

import (
	"context"
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/retry"
)

// pauseTimeout bounds a call that pauses or unpauses a request.
const pauseTimeout = time.Second

// Pause asks an engine to release the slot of a request. Failures are ignored,
// because the request then continues to run as before.
func (r *Relay) Pause(ctx context.Context, target Target, id string) {
	r.command(ctx, target, id, "pause")
}

// Unpause asks an engine to continue a paused request. It retries on failure,
// because a request that stays paused would never finish.
func (r *Relay) Unpause(ctx context.Context, target Target, id string) {
	for try := 0; try < maximumResumeAttempts; try++ {
		if r.command(ctx, target, id, "unpause") || !retry.Pause(ctx, maximumResumeDelay) {
			return
		}
	}
}

// command sends a command for a request and reports whether it got a response.
func (r *Relay) command(ctx context.Context, target Target, id, action string) bool {
	callCtx, cancel := context.WithTimeout(ctx, pauseTimeout)
	defer cancel()
	request := &Request{
		ID: id, Kind: Engine, Method: http.MethodPost, Path: "/v1/requests/" + id + "/" + action, Repeatable: true,
		Timeouts: Timeouts{Connect: pauseTimeout, FirstByte: pauseTimeout, BetweenBytes: pauseTimeout},
	}
	response, err := r.client.Do(callCtx, target.Address, request, 0)
	if err != nil {
		return false
	}
	call := &exchange{relay: r, request: request}
	call.drain(response)
	return true
}
