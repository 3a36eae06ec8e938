package upstream

import (
	"context"
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/retry"
)

// pauseTimeout bounds an order to pause or unpause a request.
const pauseTimeout = time.Second

// Pause orders an engine to free the place of a request. A failure is not
// reported: the request then goes on, which costs only what it costs anyway.
func (r *Relay) Pause(ctx context.Context, target Target, id string) {
	r.order(ctx, target, id, "pause")
}

// Unpause orders an engine to put a paused request back. It is tried again,
// for a request that stays paused would never end.
func (r *Relay) Unpause(ctx context.Context, target Target, id string) {
	for try := 0; try < resumeTries; try++ {
		if r.order(ctx, target, id, "unpause") || !retry.Pause(ctx, maximumResumePause) {
			return
		}
	}
}

// order sends an order about a request and tells whether it was answered.
func (r *Relay) order(ctx context.Context, target Target, id, action string) bool {
	bounded, cancel := context.WithTimeout(ctx, pauseTimeout)
	defer cancel()
	request := &Request{
		ID: id, Kind: Engine, Method: http.MethodPost, Path: "/v1/requests/" + id + "/" + action, Repeatable: true,
		Timeouts: Timeouts{Connect: pauseTimeout, FirstByte: pauseTimeout, BetweenBytes: pauseTimeout},
	}
	response, err := r.client.Do(bounded, target.Address, request, 0)
	if err != nil {
		return false
	}
	held := &run{relay: r, request: request}
	held.drain(response)
	return true
}
