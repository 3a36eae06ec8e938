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
	// tick is how often budgets are looked at.
	tick = 20 * time.Millisecond
	// drainGrace is how long running items may go on while the executor stops.
	drainGrace = 3 * time.Second
	// drainLimit bounds the whole stop.
	drainLimit = 15 * time.Second
	// defaultConcurrency bounds items in flight where the settings give nothing.
	defaultConcurrency = 256
)

// Options of an executor.
type Options struct {
	// Holder is the name under which leases are held; a restarted gateway takes
	// another one.
	Holder string
	// Jobs and Bodies are the control machines' services.
	Jobs   rockwindpb.JobService
	Bodies rockwindpb.BodyService
	// Relay sends items to engines, View knows which may take them.
	Relay *upstream.Relay
	View  *serverview.View
	// Current is the configuration in force.
	Current func() *configuration.Index
	// Concurrency bounds the items in flight.
	Concurrency int
	// OnServed is told what an item of a group and model received, in cost units.
	OnServed func(group, model string, cost float64)
	// OnItemEnd is told how each item ended.
	OnItemEnd func(outcome rockwindpb.ItemOutcome)
	// Log takes what operators should know.
	Log log.Interface
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
	reported  chan []acknowledged
	allowance chan []sharing.GroupAllowance

	// The fields below belong to the owner goroutine.
	leases    map[leaseKey]*lease
	running   map[*run]struct{}
	picker    *sharing.Picker
	acquiring bool
	// acquireAfter is the end of the pause after a failed call.
	acquireAfter time.Time
	heartbeating bool
	lastBeat     time.Time
	// paused lists the items that gave way, in the order in which they did.
	paused []*run
	// lostAt is when a server last lost an item, by its name.
	lostAt   map[string]time.Time
	rate     rateMeter
	epoch    time.Time
	draining bool

	mutex sync.Mutex
	// demand is the cost of waiting work by group, guarded by mutex.
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
		reported:  make(chan []acknowledged),
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

// Run executes batch work until the context ends. Then it takes no new work,
// lets running items end for a short while, cancels the rest, reports and
// releases everything, and returns.
func (e *Executor) Run(ctx context.Context) {
	// The work itself outlives ctx for the drain.
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
			e.dropPending()
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
			e.granted(working, result)
		case input := <-e.loaded:
			e.inputLoaded(input)
		case verdicts := <-e.verdicts:
			e.heartbeating = false
			e.judge(verdicts)
		case acks := <-e.reported:
			e.acknowledge(acks)
		case allowances := <-e.allowance:
			e.picker.SetAllowances(allowances)
		case <-e.options.View.OnlineChanged():
			e.yield(working)
		case <-ticker.C:
			e.yield(working)
			e.reclaim(working)
			e.confirmPutBack(working, time.Now())
			e.heartbeat(working)
			e.publishDemand()
		}
		e.dispatch(working)
		e.acquire(ctx)
	}
	stop()
	reporting.Wait()
}

// idle tells whether nothing is left to run or to report.
func (e *Executor) idle() bool {
	return len(e.running) == 0 && len(e.leases) == 0 && !e.acquiring
}

// SetAllowances puts the groups' parts of the batch capacity in force.
func (e *Executor) SetAllowances(groups []*rockwindpb.GroupAllowance) {
	allowances := make([]sharing.GroupAllowance, 0, len(groups))
	for _, group := range groups {
		allowances = append(allowances, sharing.GroupAllowance{Group: group.GetGroup(), BatchFraction: group.GetBatchPart()})
	}
	select {
	case e.allowance <- allowances:
	default:
		// The owner has not taken the last ones yet; the next exchange brings newer.
	}
}

// Demand returns the cost of the work that waits or runs here, by group.
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

// now is the time since the executor's epoch, for the pure packages.
func (e *Executor) now() time.Duration {
	return time.Since(e.epoch)
}
