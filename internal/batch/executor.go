package batch

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/serverview"
	"rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/upstream"
)

// Timing of the owner goroutine.
const (
	// tick is the interval of periodic work such as pausing items and heartbeats.
	tick = 20 * time.Millisecond
	// drainGrace is how long running items may continue after the executor is stopped.
	drainGrace = 3 * time.Second
	// drainLimit bounds the whole shutdown.
	drainLimit = 15 * time.Second
	// defaultConcurrency bounds the items in flight if the settings don't.
	defaultConcurrency = 256
)

// Options configure an executor.
type Options struct {
	// Holder identifies the gateway as the holder of leases. It must change with
	// each restart.
	Holder string
	// Jobs and Bodies are the control machines' services.
	Jobs   rockwindpb.JobService
	Bodies rockwindpb.BodyService
	// Relay sends items to engines, View tells which servers accept them.
	Relay *upstream.Relay
	View  *serverview.View
	// Current returns the configuration in force.
	Current func() *configuration.Index
	// Concurrency bounds the items in flight.
	Concurrency int
	// OnServed is called when an item of a group and model ends, with its cost.
	OnServed func(group, model string, cost float64)
	// OnItemEnd is called with the outcome of each item.
	OnItemEnd func(outcome rockwindpb.ItemOutcome)
	Log       log.Interface
}

// Executor runs leased items.
type Executor struct {
	options  Options
	reporter *reporter
	input    *inputReader

	finished  chan *run
	grants    chan grantResult
	loaded    chan loadedInput
	verdicts  chan []*rockwindpb.LeaseVerdict
	reported  chan []acknowledgement
	allowance chan []sharing.GroupAllowance

	// The fields below belong to the owner goroutine.
	leases    map[leaseKey]*lease
	running   map[*run]struct{}
	picker    *sharing.Picker
	acquiring bool
	// acquireAfter is the earliest time of the next request for leases.
	acquireAfter  time.Time
	heartbeating  bool
	lastHeartbeat time.Time
	// paused lists the paused items, oldest pause first.
	paused []*run
	// lostAt is when each server last lost an item, by server name.
	lostAt   map[string]time.Time
	rate     rateMeter
	epoch    time.Time
	draining bool

	mutex sync.Mutex
	// demand is the cost of pending and running items by group, guarded by mutex.
	demand map[string]float64
	costs  *costMeter
}

// New returns an executor; Run starts it.
func New(options Options) *Executor {
	if options.Concurrency <= 0 {
		options.Concurrency = defaultConcurrency
	}
	e := &Executor{
		options:   options,
		input:     newInputReader(options.Bodies),
		finished:  make(chan *run, options.Concurrency),
		grants:    make(chan grantResult, 1),
		loaded:    make(chan loadedInput),
		verdicts:  make(chan []*rockwindpb.LeaseVerdict, 1),
		reported:  make(chan []acknowledgement),
		allowance: make(chan []sharing.GroupAllowance, 1),
		leases:    make(map[leaseKey]*lease),
		running:   make(map[*run]struct{}),
		picker:    sharing.NewPicker(),
		lostAt:    make(map[string]time.Time),
		epoch:     time.Now(),
		demand:    make(map[string]float64),
		costs:     newCostMeter(),
	}
	e.reporter = newReporter(options, e.reported)
	return e
}

// Run executes batch work until the context ends. Then it stops taking work, gives
// running items drainGrace to end, cancels the rest, reports the outcomes, releases
// the leases and returns, at the latest after drainLimit.
func (e *Executor) Run(ctx context.Context) {
	// The work continues after ctx ends, until the drain is complete.
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var reporting sync.WaitGroup
	reporting.Go(func() { e.reporter.run(working) })
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	stopping := ctx.Done()
	var cancelAt, endAt <-chan time.Time
	for !e.draining || !e.idle() {
		select {
		case <-stopping:
			stopping = nil
			e.draining = true
			e.releasePending()
			cancelAt, endAt = time.After(drainGrace), time.After(drainLimit)
		case <-cancelAt:
			e.cancelAll()
		case <-endAt:
			e.leases = make(map[leaseKey]*lease)
			clear(e.running)
			e.paused = nil
		case done := <-e.finished:
			e.itemEnded(done)
		case result := <-e.grants:
			e.addLeases(working, result)
		case input := <-e.loaded:
			e.inputLoaded(input)
		case verdicts := <-e.verdicts:
			e.heartbeating = false
			e.applyVerdicts(verdicts)
		case acks := <-e.reported:
			e.acknowledge(acks)
		case allowances := <-e.allowance:
			e.picker.SetAllowances(allowances)
		case <-e.options.View.OnlineChanged():
			e.yield(working)
		case <-ticker.C:
			e.yield(working)
			e.reclaim(working)
			e.resendResumes(working, time.Now())
			e.heartbeat(working)
			e.publishDemand()
		}
		e.dispatch(working)
		e.acquire(ctx)
	}
	stop()
	reporting.Wait()
}

// idle reports whether nothing is left to run or to report.
func (e *Executor) idle() bool {
	return len(e.running) == 0 && len(e.leases) == 0 && !e.acquiring
}

// SetAllowances sets the groups' fractions of the batch capacity.
func (e *Executor) SetAllowances(groups []*rockwindpb.GroupAllowance) {
	allowances := make([]sharing.GroupAllowance, 0, len(groups))
	for _, group := range groups {
		allowances = append(allowances, sharing.GroupAllowance{Group: group.GetGroup(), BatchFraction: group.GetBatchPart()})
	}
	select {
	case e.allowance <- allowances:
	default:
		// The owner has not read the previous ones yet; the next exchange sends newer
		// ones.
	}
}

// Demand returns the estimated cost of the pending and running items by group.
func (e *Executor) Demand() map[string]float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	demand := make(map[string]float64, len(e.demand))
	for group, cost := range e.demand {
		demand[group] = cost
	}
	return demand
}

func (e *Executor) publishDemand() {
	demand := make(map[string]float64)
	for _, held := range e.leases {
		group := held.job.GetGroup()
		demand[group] += float64(len(held.pending)+len(held.running)) * e.costs.mean(group)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.demand = demand
}

// now returns the time since the executor's epoch, the clock of the picker.
func (e *Executor) now() time.Duration {
	return time.Since(e.epoch)
}
