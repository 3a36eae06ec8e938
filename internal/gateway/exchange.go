package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Timing of the exchange.
const (
	// defaultExchangeInterval holds where the settings give none.
	defaultExchangeInterval = time.Second
	// minimumExchangeInterval bounds what a control machine may ask for.
	minimumExchangeInterval = 100 * time.Millisecond
	// maximumExchangeInterval bounds what a control machine may ask for.
	maximumExchangeInterval = 10 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 2 * time.Second
	// exchangeJitter is the part of the interval that is drawn at random.
	exchangeJitter = 0.1
)

// exchangeLoop exchanges digests until the context ends.
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
			if asked := time.Duration(response.GetNextExchangeMs()) * time.Millisecond; asked > 0 {
				pause = min(max(asked, minimumExchangeInterval), maximumExchangeInterval)
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

// exchange sends what this gateway knows and merges the answer. It returns nil
// when no control machine answered.
func (g *Gateway) exchange(ctx context.Context, version uint64) *rockwindpb.ExchangeResponse {
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	draining, _ := g.drain.state()
	groups, tenants, models := g.usage.take(g.batch.Demand()), g.limiter.Usage(time.Now()), g.models.take()
	response, err := g.control.Fleet().Exchange(bounded, &rockwindpb.ExchangeRequest{
		Gateway: g.settings.GetName(), Address: g.settings.GetInternalListen(), Zone: g.settings.GetZone(),
		ConfigurationNumber: g.follower.Current().Number(), Owned: g.view.Digests(),
		Groups: groups, Tenants: tenants, Models: models, Draining: draining,
		Leaving:      g.view.LeavingServers(),
		SinceVersion: version, StartedUnixMs: g.started.UnixMilli(),
	})
	if err != nil {
		g.usage.restore(groups)
		g.models.restore(models)
		g.limiter.Restore(tenants)
		return nil
	}
	g.view.ApplyExchange(response)
	if peers := len(response.GetPeers()); peers > 0 {
		g.limiter.SetGateways(peers)
	}
	g.limiter.SetAllowances(response.GetTenants(), time.Now())
	g.batch.Allow(response.GetGroups())
	g.follower.Hint(response.GetLatestConfiguration())
	return response
}
