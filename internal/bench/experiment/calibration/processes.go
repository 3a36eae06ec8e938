package calibration

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/bench/caller"
	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/bench/load"
	"rockwind.example/rockwind/internal/sharing"
)

// plan returns the plan of the real fleet, with one gateway in each zone.
func (o *Options) plan() fleet.Plan {
	plan := fleet.DefaultPlan()
	plan.Controls = 1
	plan.Shards = 1
	plan.Gateways = o.Zones
	plan.Engines = o.Zones * o.EnginesPerZone
	plan.Services = 0
	plan.Zones = nil
	for number := range o.Zones {
		plan.Zones = append(plan.Zones, fmt.Sprintf("zone-%d", number+1))
	}
	return plan
}

// runProcesses starts the fleet, replays the trace and stops the fleet.
func (o *Options) runProcesses(ctx context.Context, records []load.Record, folder string) (*measurement, error) {
	running, err := fleet.Start(ctx, o.plan(), folder, o.Programs)
	if err != nil {
		return nil, err
	}
	result, err := o.replay(ctx, running, records)
	stopped := running.Stop(context.WithoutCancel(ctx))
	return result, errors.CombineErrors(err, stopped)
}

// collector collects the outcomes of online requests sent in the measured window.
type collector struct {
	mutex    sync.Mutex
	from     time.Duration
	gathered measurement
}

func (c *collector) observe(planned load.ScheduledCall, answer load.Measurement) {
	if planned.At < c.from {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if answer.Outcome != load.OutcomeOK {
		c.gathered.failed++
		return
	}
	c.gathered.requests++
	c.gathered.tokens += answer.Tokens
	c.gathered.ttft = append(c.gathered.ttft, answer.FirstToken)
	intervals := time.Duration(max(1, answer.Tokens-1))
	c.gathered.tpot = append(c.gathered.tpot, (answer.Latency-answer.FirstToken)/intervals)
}

// replay sends the online requests of the trace open loop, and its jobs concurrently.
func (o *Options) replay(ctx context.Context, running *fleet.Fleet, records []load.Record) (*measurement, error) {
	if err := matchStepTarget(ctx, running); err != nil {
		return nil, err
	}
	gathered := &collector{from: o.Warmup}
	probing, stopProbing := context.WithTimeout(ctx, o.Duration)
	defer stopProbing()
	var trips []time.Duration
	started := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		trips = probeRoundTrips(probing, running.Gateways[0].InternalAddress)
		return nil
	})
	group.Go(func() error {
		load.Run(ctx, o.schedule(running, records), load.Options{Observe: gathered.observe})
		return ctx.Err()
	})
	jobs := &jobRunner{
		running: running, started: started,
		caller: caller.Caller{Client: &http.Client{}, Key: fleet.APIKey(fleet.TenantName(fleet.GroupScheduling, 0))},
	}
	group.Go(func() error { return jobs.submitAll(ctx, records) })
	group.Go(func() error {
		var err error
		gathered.gathered.items, err = jobs.completedBetween(ctx, o.Warmup, o.Duration)
		return err
	})
	if err := group.Wait(); err != nil {
		return nil, err
	}
	result := &gathered.gathered
	result.window = o.Duration - o.Warmup
	result.maxDelay = jobs.maxDelay
	result.hops = hopTimesOf(trips)
	slices.Sort(result.ttft)
	slices.Sort(result.tpot)
	return result, nil
}

// matchStepTarget sets the fleet's online step target to that of the simulator.
func matchStepTarget(ctx context.Context, running *fleet.Fleet) error {
	configuration := running.Configuration()
	configuration.Policy.OnlineStepTarget = durationpb.New(sharing.DefaultTarget.PerToken)
	return running.Apply(ctx, configuration)
}

func (o *Options) schedule(running *fleet.Fleet, records []load.Record) load.Schedule {
	return load.Replay(records, func(record load.Record, number int) (load.Call, bool) {
		if record.Kind != load.KindOnline {
			return load.Call{}, false
		}
		return load.Call{
			Target: running.Gateways[number%len(running.Gateways)].Address,
			APIKey: fleet.APIKey(fleet.TenantName(fleet.GroupScheduling, 0)),
			Model:  record.Model, Content: content(record, number, 0),
			MaxTokens: record.MaxTokens, Stream: true,
		}, true
	})
}
