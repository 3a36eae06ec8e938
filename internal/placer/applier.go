// Package placer carries out placement: the leader of the root group surveys the
// fleet, plans, and sends fenced orders to engines. A new leader first claims
// every engine with a harmless order of its own term, so that the orders of
// earlier leaders are refused from then on.
package placer

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

// Options of an applier.
type Options struct {
	// Leading tells whether this process leads the root group under a valid lease,
	// and in which term.
	Leading func() (term uint64, leading bool)
	// Survey describes the fleet.
	Survey func(context.Context) (Survey, error)
	// Client calls engines.
	Client *http.Client
	Policy placement.Policy
	// VersionsPerEngine is how many versions fit into an engine; zero means one.
	VersionsPerEngine int
	// Interval is the time between two plans, WarmUp that from the beginning of a
	// term to its first plan.
	Interval time.Duration
	WarmUp   time.Duration
	// Now is the time since an origin.
	Now func() time.Duration
	Log log.Interface
}

// Applier plans and orders. One goroutine owns it.
type Applier struct {
	options Options
	client  engineClient
	planner *placement.Planner

	// The fields below belong to the term in which the applier leads.
	term     uint64
	deposed  bool
	ledSince time.Duration
	sequence uint32
	engines  map[string]*engineState
	rotation int
	totals   Totals
}

// Totals counts what an applier did since it began.
type Totals struct {
	// Changes counts the changes whose orders were all accepted, by reason.
	Changes map[placement.Reason]int
	// Orders counts accepted orders, claims included; Refused those refused for
	// their fences, and Failed all others.
	Orders, Refused, Failed int
}

// New returns an applier.
func New(options Options) *Applier {
	return &Applier{
		options: options,
		client:  engineClient{client: options.Client},
		totals:  Totals{Changes: make(map[placement.Reason]int)},
	}
}

// Totals returns what the applier did. Only its owner may call it.
func (a *Applier) Totals() Totals { return a.totals }

// Deposed tells whether an engine answered with the fence of a later leader.
func (a *Applier) Deposed() bool { return a.deposed }

// Run makes a round each interval until the context ends.
func (a *Applier) Run(ctx context.Context) error {
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

// Round surveys, claims, plans and orders once, where this process leads.
func (a *Applier) Round(ctx context.Context) {
	if !a.lead() {
		return
	}
	survey, err := a.options.Survey(ctx)
	if err != nil {
		a.options.Log.WithError(err).Warn("placement cannot survey the fleet")
		return
	}
	digests := make(map[string]*rockwindpb.ServerDigest)
	for _, digest := range MergeDigests(survey.Digests) {
		digests[digest.GetName()] = digest
	}
	a.know(survey.engines())
	a.read(ctx, digests)
	a.claim(ctx)
	if a.options.Now()-a.ledSince < a.options.WarmUp {
		return
	}
	for _, change := range a.planner.Plan(a.view(&survey, digests)) {
		a.carryOut(ctx, change)
	}
}

// lead tells whether this process may order now. What it knew is forgotten when
// the term changes: within a term nobody else ordered.
func (a *Applier) lead() bool {
	term, leading := a.options.Leading()
	if leading && (a.engines == nil || term != a.term) {
		a.term, a.sequence, a.deposed = term, 0, false
		a.ledSince = a.options.Now()
		a.engines = make(map[string]*engineState)
		a.planner = placement.NewPlanner(a.options.Policy)
	}
	return leading && !a.deposed
}

// know adds engines of the configuration and drops those that left it.
func (a *Applier) know(declared []*rockwindpb.BackEnd) {
	kept := make(map[string]*engineState, len(declared))
	for _, backEnd := range declared {
		held := a.engines[backEnd.GetName()]
		if held == nil || held.address != backEnd.GetAddress() {
			held = &engineState{name: backEnd.GetName(), address: backEnd.GetAddress(), changedAt: a.ledSince}
		}
		kept[backEnd.GetName()] = held
	}
	a.engines = kept
}

// Bounds of calls in one round.
const (
	// callsAtOnce bounds the calls to engines in progress.
	callsAtOnce = 16
	// rotationSize is how many engines are read without cause in each round.
	rotationSize = 8
)

// read asks the engines whose state may have changed what they hold.
func (a *Applier) read(ctx context.Context, digests map[string]*rockwindpb.ServerDigest) {
	var due []*engineState
	position := 0
	for _, held := range a.sorted() {
		inTurn := position/rotationSize == a.rotation
		position++
		digest := digests[held.name]
		changed := digest != nil && held.differs(digest)
		if !held.known || held.pending != nil || changed || inTurn {
			due = append(due, held)
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
	for index, held := range due {
		calls.Go(func() error {
			reports[index], failures[index] = a.client.load(ctx, held.address)
			return nil
		})
	}
	_ = calls.Wait()
	for index, held := range due {
		if failures[index] != nil {
			held.known = false
			continue
		}
		held.observe(reports[index], a.options.Now())
	}
}

// claim gives each engine an order of this term that changes nothing: its own
// role again. From then on it refuses the orders of earlier terms.
func (a *Applier) claim(ctx context.Context) {
	for _, held := range a.sorted() {
		if held.claimed || !held.known {
			continue
		}
		same := placement.Order{Action: placement.ActionSetRole, Role: held.report.Role}
		if same.Role == "" {
			same.Role = placement.RoleMixed
		}
		if a.send(ctx, held, same) == nil {
			held.claimed = true
		}
		if !a.mayOrder() {
			return
		}
	}
}

// mayOrder tells whether this process still leads in its term.
func (a *Applier) mayOrder() bool {
	term, leading := a.options.Leading()
	return leading && term == a.term && !a.deposed
}

// carryOut sends the orders of a change.
func (a *Applier) carryOut(ctx context.Context, change placement.Change) {
	held := a.engines[change.Server]
	now := a.options.Now()
	for index, order := range change.Orders {
		if !a.mayOrder() {
			held.known = false
			return
		}
		if err := a.send(ctx, held, order); err != nil {
			a.failed(held, change, index, err)
			return
		}
	}
	held.pending, held.changedAt = newPending(change.Orders, now), now
	a.totals.Changes[change.Reason]++
	a.options.Log.WithFields(log.Fields{
		"engine": change.Server, "reason": string(change.Reason), "orders": len(change.Orders),
	}).Info("placement changed an engine")
}

// failed notes a change whose order at an index failed. Where the outcome is
// unknown the change counts as under way, until the engine shows what it holds.
func (a *Applier) failed(held *engineState, change placement.Change, index int, err error) {
	now := a.options.Now()
	held.known = false
	held.changedAt = now
	var stale *staleFence
	if !errors.As(err, &stale) {
		held.pending = newPending(change.Orders[:index+1], now)
	} else if index > 0 {
		held.pending = newPending(change.Orders[:index], now)
	}
	a.options.Log.WithError(err).WithField("engine", change.Server).Warn("placement could not change an engine")
}

// send sends one order under the next fence.
func (a *Applier) send(ctx context.Context, held *engineState, order placement.Order) error {
	a.sequence++
	err := a.client.send(ctx, held.address, encode(order, placement.Fence(a.term, a.sequence)))
	var stale *staleFence
	switch {
	case err == nil:
		a.totals.Orders++
	case errors.As(err, &stale):
		a.totals.Refused++
		a.passed(stale.last)
	default:
		a.totals.Failed++
	}
	return err
}

// passed takes the fence of a refusal: a later term ends this applier's, an equal
// one is gone past.
func (a *Applier) passed(last uint64) {
	switch term := placement.FenceTerm(last); {
	case term > a.term:
		a.deposed = true
		a.options.Log.WithField("term", term).Warn("an engine has orders of a later leader; placement stops until the next term")
	case term == a.term:
		a.sequence = max(a.sequence, placement.FenceSequence(last))
	}
}
