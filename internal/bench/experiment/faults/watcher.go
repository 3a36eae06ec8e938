package faults

import (
	"context"
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// watchInterval is the pause between two checks of all gateways.
const watchInterval = 100 * time.Millisecond

// watcher polls the configuration number in force at each gateway and counts
// decreases, also across restarts.
type watcher struct {
	fleet  *fleet.Fleet
	client *http.Client
	record *record
	// highest is the highest number seen in force, by gateway.
	highest map[string]uint64
}

func newWatcher(f *fleet.Fleet, client *http.Client, r *record) *watcher {
	return &watcher{fleet: f, client: client, record: r, highest: map[string]uint64{}}
}

func (w *watcher) run(stop context.Context) {
	for stop.Err() == nil {
		for _, gateway := range w.fleet.Gateways {
			w.checkGateway(stop, gateway)
		}
		sleep(stop, watchInterval)
	}
}

func (w *watcher) checkGateway(ctx context.Context, gateway *fleet.Process) {
	number, ok := w.number(ctx, gateway)
	if !ok || number == 0 {
		return
	}
	if number < w.highest[gateway.Name] {
		w.record.count(func(c *counts) { c.ConfigReverts++ })
	}
	w.highest[gateway.Name] = max(w.highest[gateway.Name], number)
}

// number reads the configuration number in force at a gateway; zero means none yet.
func (w *watcher) number(ctx context.Context, gateway *fleet.Process) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	admin := rockwindpb.NewAdminServiceProtobufClient("http://"+gateway.InternalAddress, w.client)
	state, err := admin.State(ctx, &rockwindpb.DaemonStateRequest{})
	if err != nil {
		return 0, false
	}
	return state.GetConfigurationNumber(), true
}

// awaitInForce waits until every gateway has the number in force and counts the
// gateways that miss the deadline.
func (w *watcher) awaitInForce(ctx context.Context, number uint64, within time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for _, gateway := range w.fleet.Gateways {
		for {
			seen, ok := w.number(ctx, gateway)
			if ok && seen >= number {
				break
			}
			if ctx.Err() != nil {
				w.record.count(func(c *counts) { c.LateConfiguration++ })
				break
			}
			sleep(ctx, pollInterval)
		}
	}
}
