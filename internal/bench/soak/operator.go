package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/bench/soak/backend"
	"rockwind.example/rockwind/internal/bench/soak/witness"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// applyGap is the mean time between two configurations.
	applyGap = 1500 * time.Millisecond
	// markers is how many of the last configurations each one names with a route.
	markers = 40
	// applyTimeout bounds one call to a coordinator.
	applyTimeout = 2 * time.Second
	// inForceWithin is how long after its acknowledgement a configuration must be in
	// force in calm times.
	inForceWithin = 2 * time.Second
	// probeGap is the time between two looks at what is in force at a router.
	probeGap = 250 * time.Millisecond
	// readBackGap is the time between two reads of the newest configuration.
	readBackGap = 400 * time.Millisecond
)

// acknowledged is a configuration that was acknowledged.
type acknowledged struct {
	number uint64
	at     time.Duration
}

// operator applies configurations and remembers the newest acknowledged one.
type operator struct {
	run    *run
	random *rand.Rand

	mutex  sync.Mutex
	newest acknowledged
	// history holds the acknowledged ones in their order.
	history []acknowledged
}

func newOperator(run *run) *operator {
	return &operator{run: run, random: rand.New(rand.NewPCG(run.seed, 777))}
}

// configuration has a route of each kind, and one for each of the last numbers.
func configuration(number uint64) *rockwindpb.Configuration {
	made := &rockwindpb.Configuration{
		Number: number, Services: []*rockwindpb.Service{{Name: service, HealthPath: backend.PathHealth}}, Tenants: tenants(),
	}
	add := func(name, prefix string, kind rockwindpb.RouteKind, change func(*rockwindpb.Route)) {
		route := &rockwindpb.Route{
			Name: name, Host: host, PathPrefix: prefix, Kind: kind, Attempts: 3, TimeoutMs: proto.Uint32(uint32(patience.Milliseconds())),
			GoalMs: 400, PauseGoalMs: 500, Split: []*rockwindpb.ServiceShare{{Service: service, Weight: 1}},
			Public: true,
		}
		if change != nil {
			change(route)
		}
		made.Routes = append(made.Routes, route)
	}
	add("safe", backend.PathSafe, rockwindpb.RouteKind_ROUTE_KIND_SAFE, nil)
	add("once", backend.PathOnce, rockwindpb.RouteKind_ROUTE_KIND_AT_MOST_ONCE, nil)
	add("stream", backend.PathStream, rockwindpb.RouteKind_ROUTE_KIND_STREAM, nil)
	add("resumable", backend.PathResumable, rockwindpb.RouteKind_ROUTE_KIND_STREAM, func(r *rockwindpb.Route) { r.Resumable = true })
	add("tenant", backend.PathTenant, rockwindpb.RouteKind_ROUTE_KIND_SAFE, func(r *rockwindpb.Route) { r.Public = false })
	add("large", backend.PathLarge, rockwindpb.RouteKind_ROUTE_KIND_SAFE, nil)
	add("batch", backend.PathBatch, rockwindpb.RouteKind_ROUTE_KIND_BATCH, func(r *rockwindpb.Route) {
		r.DueMs, r.MaximumWaitMs, r.Priority, r.Attempts = 20_000, 600_000, 2, 30
		r.MaximumWaitingTokens = mostWaiting * itemTokens
	})
	for marked := number; marked > 0 && marked+markers > number; marked-- {
		add(fmt.Sprintf("marker-%d", marked), marker(marked), rockwindpb.RouteKind_ROUTE_KIND_SAFE, nil)
	}
	return made
}

// marker is the path prefix that exists from a configuration on.
func marker(number uint64) string { return fmt.Sprintf("/marker-%d/", number) }

func (o *operator) coordinator() *member {
	all := o.run.site.coordinators()
	return all[o.random.IntN(len(all))]
}

func (o *operator) service(at *member) rockwindpb.ConfigurationService {
	return rockwindpb.NewConfigurationServiceProtobufClient("http://"+at.settings.GetAdvertise(), twirphttp.Client{HTTPClient: newClient(applyTimeout)})
}

// apply sends one configuration to coordinators in turn until it is acknowledged.
func (o *operator) apply(ctx context.Context, number uint64) error {
	var last error
	for {
		calling, cancel := context.WithTimeout(ctx, applyTimeout)
		_, err := o.service(o.coordinator()).Apply(calling, &rockwindpb.ApplyConfigurationRequest{Configuration: configuration(number), Operator: "soak"})
		cancel()
		if err == nil {
			o.acknowledge(number)
			return nil
		}
		last = err
		if !retry.Pause(ctx, probeGap) {
			return last
		}
	}
}

func (o *operator) acknowledge(number uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.newest = acknowledged{number: number, at: o.run.since()}
	o.history = append(o.history, o.newest)
	o.run.witness.Count("configurations acknowledged")
}

// before is the newest configuration that was acknowledged before a moment.
func (o *operator) before(moment time.Duration) (found acknowledged) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, each := range o.history {
		if each.at <= moment {
			found = each
		}
	}
	return found
}

// operate applies configurations with rising numbers until the context ends.
func (o *operator) operate(ctx context.Context) {
	number := o.newest.number
	for retry.Pause(ctx, time.Duration(o.random.Int64N(2*int64(applyGap)))) {
		number += 1 + o.random.Uint64N(3)
		_ = o.apply(ctx, number)
	}
}

// readBack reads the newest configuration at random coordinators: one that answers
// must not show an older one than was acknowledged before.
func (o *operator) readBack(ctx context.Context) {
	random := rand.New(rand.NewPCG(o.run.seed, 778))
	all := o.run.site.coordinators()
	for retry.Pause(ctx, readBackGap) {
		at := all[random.IntN(len(all))]
		known := o.before(o.run.since())
		calling, cancel := context.WithTimeout(ctx, applyTimeout)
		response, err := o.service(at).Get(calling, &rockwindpb.GetConfigurationRequest{Newest: true})
		cancel()
		if err != nil {
			continue
		}
		o.run.witness.Count("configurations read back")
		if got := response.GetConfiguration().GetNumber(); got < known.number {
			o.run.witness.Report(witness.ConfigurationOld, at.Name, fmt.Sprintf("it reads %d after %d was acknowledged", got, known.number), o.run.since())
		}
	}
}

// watchRouter looks which configuration is in force at one router: it must not go
// back within one life of the process, and must follow in calm times.
func (o *operator) watchRouter(ctx context.Context, at *member) {
	client := newClient(applyTimeout)
	var life int64
	var seen uint64
	for retry.Pause(ctx, probeGap) {
		asked := o.run.since()
		due := o.before(asked - inForceWithin)
		newest := o.before(asked)
		began := at.life.Load()
		if began != life {
			life, seen = began, 0
		}
		for _, number := range []uint64{seen, due.number, newest.number} {
			known, clear := o.knows(ctx, client, at, number)
			if !clear || at.life.Load() != life || number == 0 || number+markers <= newest.number {
				continue
			}
			switch {
			case known:
				seen = max(seen, number)
			case number <= seen:
				o.run.witness.Report(witness.ConfigurationReverted, at.Name, fmt.Sprintf("%d was in force and is not", number), asked)
			case number <= due.number && o.run.calm.since(due.at):
				o.run.witness.Report(witness.ConfigurationLate, at.Name, fmt.Sprintf("%d is not in force %s after its acknowledgement", number, asked-due.at), asked)
			}
		}
	}
}

// knows tells whether the configuration of a number, or a later one, is in force at a
// router; clear is false where its answer does not say.
func (o *operator) knows(ctx context.Context, client *http.Client, at *member, number uint64) (known, clear bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.settings.GetListen()+marker(number), nil)
	if err != nil {
		return false, false
	}
	request.Host = host
	request.Header.Set(upstream.HeaderRequestID, fmt.Sprintf("marker-%s-%d-%d", at.Name, number, o.run.since()))
	response, err := client.Do(request)
	if err != nil {
		return false, false
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusNotFound:
		return false, true
	case response.StatusCode == http.StatusServiceUnavailable:
		return false, false
	}
	return true, true
}
