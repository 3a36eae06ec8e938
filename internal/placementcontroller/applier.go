// Package placementcontroller carries out the placement of models on engines. The leader of the
// root group surveys the fleet, makes a plan and sends orders with fencing tokens to engines. A new
// leader first claims every engine with an order of its own term that changes nothing, so that engines
// refuse the orders of former leaders from then on.
package placementcontroller

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/placement"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Options configure an Applier.
type Options struct {
	// Leading returns whether this process leads the root group under a valid lease, and the term.
	Leading func() (term uint64, leading bool)
	// Survey returns the state of the fleet.
	Survey func(context.Context) (Survey, error)
	// Client is used for calls to engines.
	Client *http.Client
	Policy placement.Policy
	// VersionsPerEngine is the number of versions that fit into an engine; zero means one.
	VersionsPerEngine int
	// Interval is the time between two plans, and WarmUp the time from the beginning of a term to
	// its first plan.
	Interval time.Duration
	WarmUp   time.Duration
	// Now returns the time since an arbitrary origin.
	Now func() time.Duration
	Log log.Interface
}

// Controller makes plans and sends orders. It is not safe for concurrent use.
type Controller struct {
	options Options
	client  engineClient
	planner *placement.Planner

	// The fields below, except totals, are reset when the term changes.
	term          uint64
	deposed       bool
	termStartedAt time.Duration
	sequence      uint32
	engines       map[string]*engineState
	rotation      int
	totals        Totals
}

// Totals counts the changes and orders of an applier since it was created.
type Totals struct {
	// Changes counts the changes whose orders were all accepted, by reason.
	Changes map[placement.Reason]int
	// Orders counts the accepted orders, including claims; Refused those refused because of their
	// fences, and Failed those that failed otherwise.
	Orders, Refused, Failed int
}

func New(options Options) *Controller {
	return &Controller{
		options: options,
		client:  engineClient{client: options.Client},
		totals:  Totals{Changes: make(map[placement.Reason]int)},
	}
}

// Totals returns the totals. It must not be called concurrently with Round.
func (a *Controller) Totals() Totals { return a.totals }

// Deposed reports whether an engine answered with the fence of a later leader in this term.
func (a *Controller) Deposed() bool { return a.deposed }

// Run calls Round at each interval until the context ends.
func (a *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(a.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.Round(ctx)
		}
	}
}

// Round surveys the fleet, claims new engines, makes a plan and carries it out, if this process
// leads.
func (a *Controller) Round(ctx context.Context) {
	if !a.checkLeadership() {
		return
	}
	survey, err := a.options.Survey(ctx)
	if err != nil {
		a.options.Log.WithError(err).Warn("failed to survey the fleet; skipping this placement round")
		return
	}
	digests := make(map[string]*rockwindpb.ServerDigest)
	for _, digest := range MergeDigests(survey.Digests) {
		digests[digest.GetName()] = digest
	}
	a.updateEngines(survey.engines())
	a.refreshReports(ctx, digests)
	a.claim(ctx)
	if a.options.Now()-a.termStartedAt < a.options.WarmUp {
		return
	}
	for _, change := range a.planner.Plan(a.view(&survey, digests)) {
		a.applyChange(ctx, change)
	}
}

// checkLeadership reports whether this process may send orders now. It resets the state when the
// term changes; within a term no other process sends orders.
func (a *Controller) checkLeadership() bool {
	term, leading := a.options.Leading()
	if leading && (a.engines == nil || term != a.term) {
		a.term, a.sequence, a.deposed = term, 0, false
		a.termStartedAt = a.options.Now()
		a.engines = make(map[string]*engineState)
		a.planner = placement.NewPlanner(a.options.Policy)
	}
	return leading && !a.deposed
}

// updateEngines adds the engines of the configuration and drops those that it no longer has.
func (a *Controller) updateEngines(declared []*rockwindpb.BackEnd) {
	engines := make(map[string]*engineState, len(declared))
	for _, backEnd := range declared {
		engine := a.engines[backEnd.GetName()]
		if engine == nil || engine.address != backEnd.GetAddress() {
			engine = &engineState{name: backEnd.GetName(), address: backEnd.GetAddress(), changedAt: a.termStartedAt}
		}
		engines[backEnd.GetName()] = engine
	}
	a.engines = engines
}

// Limits on the calls of one round.
const (
	// callsAtOnce bounds the concurrent calls to engines.
	callsAtOnce = 16
	// rotationSize is how many engines are read in each round although no change is expected.
	rotationSize = 8
)

// refreshReports reads the reports of the engines whose state may have changed.
func (a *Controller) refreshReports(ctx context.Context, digests map[string]*rockwindpb.ServerDigest) {
	var due []*engineState
	position := 0
	for _, engine := range a.sortedEngines() {
		inTurn := position/rotationSize == a.rotation
		position++
		digest := digests[engine.name]
		changed := digest != nil && engine.differsFrom(digest)
		if !engine.known || engine.pending != nil || changed || inTurn {
			due = append(due, engine)
		}
	}
	a.rotation++
	if a.rotation*rotationSize >= position {
		a.rotation = 0
	}
	reports := make([]engineReport, len(due))
	failures := make([]error, len(due))
	var calls errgroup.Group
	calls.SetLimit(callsAtOnce)
	for index, engine := range due {
		calls.Go(func() error {
			reports[index], failures[index] = a.client.load(ctx, engine.address)
			return nil
		})
	}
	_ = calls.Wait()
	for index, engine := range due {
		if failures[index] != nil {
			engine.known = false
			continue
		}
		engine.observe(reports[index], a.options.Now())
	}
}

// claim orders each engine into the role that it already has. From then on the engine refuses
// orders of earlier terms.
func (a *Controller) claim(ctx context.Context) {
	for _, engine := range a.sortedEngines() {
		if engine.claimed || !engine.known {
			continue
		}
		unchanged := placement.Order{Action: placement.ActionSetRole, Role: engine.report.Role}
		if unchanged.Role == "" {
			unchanged.Role = placement.RoleMixed
		}
		if a.send(ctx, engine, unchanged) == nil {
			engine.claimed = true
		}
		if !a.stillLeads() {
			return
		}
	}
}

// stillLeads reports whether this process still leads in its term.
func (a *Controller) stillLeads() bool {
	term, leading := a.options.Leading()
	return leading && term == a.term && !a.deposed
}

// applyChange sends the orders of a change.
func (a *Controller) applyChange(ctx context.Context, change placement.Change) {
	engine := a.engines[change.Server]
	now := a.options.Now()
	for index, order := range change.Orders {
		if !a.stillLeads() {
			engine.known = false
			return
		}
		if err := a.send(ctx, engine, order); err != nil {
			a.recordFailure(engine, change, index, err)
			return
		}
	}
	engine.pending, engine.changedAt = newPending(change.Orders, now), now
	a.totals.Changes[change.Reason]++
	a.options.Log.WithFields(log.Fields{
		"engine": change.Server, "reason": string(change.Reason), "orders": len(change.Orders),
	}).Info("changed the placement of an engine")
}

// recordFailure records that the order at an index of a change failed. If the outcome is unknown,
// the change counts as in progress until the engine reports what it holds.
func (a *Controller) recordFailure(engine *engineState, change placement.Change, index int, err error) {
	now := a.options.Now()
	engine.known = false
	engine.changedAt = now
	var stale *staleFence
	if !errors.As(err, &stale) {
		engine.pending = newPending(change.Orders[:index+1], now)
	} else if index > 0 {
		engine.pending = newPending(change.Orders[:index], now)
	}
	a.options.Log.WithError(err).WithField("engine", change.Server).Warn("failed to change the placement of an engine")
}

// send sends one order with the next fence.
func (a *Controller) send(ctx context.Context, engine *engineState, order placement.Order) error {
	a.sequence++
	err := a.client.send(ctx, engine.address, encode(order, placement.Fence(a.term, a.sequence)))
	var stale *staleFence
	switch {
	case err == nil:
		a.totals.Orders++
	case errors.As(err, &stale):
		a.totals.Refused++
		a.observeFence(stale.last)
	default:
		a.totals.Failed++
	}
	return err
}

// observeFence records the fence of a refused order. A later term ends this applier's term; in its
// own term the sequence number continues after the fence.
func (a *Controller) observeFence(last uint64) {
	switch term := placement.FenceTerm(last); {
	case term > a.term:
		a.deposed = true
		a.options.Log.WithField("term", term).Warn("an engine has orders of a later leader; placement stops until the next term")
	case term == a.term:
		a.sequence = max(a.sequence, placement.FenceSequence(last))
	}
}
