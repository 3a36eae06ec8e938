package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Timing of the exchange with control machines.
const (
	// defaultExchangeInterval applies if the settings have none.
	defaultExchangeInterval = time.Second
	// minimumExchangeInterval and maximumExchangeInterval bound the interval that
	// control machines may request.
	minimumExchangeInterval = 100 * time.Millisecond
	maximumExchangeInterval = 10 * time.Second
	exchangeTimeout         = 2 * time.Second
	// exchangeJitter is the relative deviation of each interval, so that gateways do
	// not call in step.
	exchangeJitter = 0.1
)

// exchangeLoop calls exchange at intervals, and soon after the view has news, until
// ctx is done.
func (g *Gateway) exchangeLoop(ctx context.Context) {
	interval := g.settings.GetExchangeInterval().AsDuration()
	if interval <= 0 {
		interval = defaultExchangeInterval
	}
	var version uint64
	for {
		pause := interval
		if response := g.exchange(ctx, version); response != nil {
			version = response.GetVersion()
			if requested := time.Duration(response.GetNextExchangeMs()) * time.Millisecond; requested > 0 {
				pause = min(max(requested, minimumExchangeInterval), maximumExchangeInterval)
			}
		}
		pause = time.Duration(float64(pause) * (1 + exchangeJitter*(2*rand.Float64()-1)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		case <-g.view.ExchangeRequested():
			if !retry.Pause(ctx, minimumExchangeInterval) {
				return
			}
		}
	}
}

// exchange sends server digests and usage to a control machine and applies its
// response. It returns nil if the call failed; the usage is then sent with the next
// one.
func (g *Gateway) exchange(ctx context.Context, version uint64) *rockwindpb.ExchangeResponse {
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	draining, _ := g.drain.state()
	groups, tenants, models := g.groupUsage.take(g.batch.Demand()), g.limiter.Usage(time.Now()), g.modelUsage.take()
	response, err := g.control.Fleet().Exchange(bounded, &rockwindpb.ExchangeRequest{
		Gateway: g.settings.GetName(), Address: g.settings.GetInternalListen(), Zone: g.settings.GetZone(),
		ConfigurationNumber: g.follower.Current().Number(), Owned: g.view.Digests(),
		Groups: groups, Tenants: tenants, Models: models, Draining: draining,
		Leaving:      g.view.LeavingServers(),
		SinceVersion: version, StartedUnixMs: g.started.UnixMilli(),
	})
	if err != nil {
		g.groupUsage.restore(groups)
		g.modelUsage.restore(models)
		g.limiter.Restore(tenants)
		return nil
	}
	g.view.ApplyExchange(response)
	if peers := len(response.GetPeers()); peers > 0 {
		g.limiter.SetGateways(peers)
	}
	g.limiter.SetAllowances(response.GetTenants(), time.Now())
	g.batch.SetAllowances(response.GetGroups())
	g.follower.Hint(response.GetLatestConfiguration())
	return response
}
