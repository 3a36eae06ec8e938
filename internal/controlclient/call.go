package controlclient

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/ownership"
	"rockwind.example/rockwind/internal/retry"
)

// effect tells whether a call changes state, which decides what an unanswered
// call is reported as.
type effect int

const (
	reading effect = iota
	changing
)

const (
	firstBackOff   = 20 * time.Millisecond
	longestBackOff = 500 * time.Millisecond
	// longestFreeBackOff bounds the pause after attempts that cost the machines
	// next to nothing, such as those made while a leader is elected.
	longestFreeBackOff = 100 * time.Millisecond
	// redirectLimit bounds hints followed without a pause.
	redirectLimit = 4
)

// route chooses the machine for each attempt of one call.
type route struct {
	// group is the group whose leader is meant; leaderless routes take any.
	group      uint32
	leaderless bool
	order      []*machine
	next       int
	hinted     *machine
	// extra is added to the attempt timeout, for calls that wait by design.
	extra time.Duration
}

// method performs one attempt at one machine.
type method[Request, Response any] func(ctx context.Context, at *machine, request Request) (Response, error)

// anywhere returns a route over all machines: those that answer before those
// that did not, those of the client's zone first, spread over callers.
func (c *Client) anywhere() *route {
	return &route{leaderless: true, order: c.spread(nil)}
}

// replicas returns a route over the machines that replicate a group.
func (c *Client) replicas(ctx context.Context, group uint32) *route {
	// Without an answer all machines are tried, which is slower but as good.
	_, _ = c.Shards(ctx)
	return &route{leaderless: true, order: c.spread(c.membersOf(group))}
}

// meeting returns a route in the order of rendezvous with the client's zone, so
// that all gateways of a zone meet at one machine.
func (c *Client) meeting() *route {
	names := make([]string, 0, len(c.machines))
	for _, candidate := range c.machines {
		names = append(names, candidate.name)
	}
	order := make([]*machine, 0, len(names))
	for _, name := range ownership.Order(names, c.options.Zone) {
		index := slices.IndexFunc(c.machines, func(candidate *machine) bool { return candidate.name == name })
		order = append(order, c.machines[index])
	}
	slices.SortStableFunc(order, func(left, right *machine) int {
		return asInt(left.paused()) - asInt(right.paused())
	})
	return &route{leaderless: true, order: order}
}

func asInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// toLeader returns a route to the leader of a group.
func (c *Client) toLeader(group uint32) *route {
	return &route{group: group, order: c.spread(c.membersOf(group))}
}

// waiting lets each attempt take longer by the given time.
func (r *route) waiting(extra time.Duration) *route {
	r.extra = extra
	return r
}

func (c *Client) membersOf(group uint32) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.members[group]
}

// spread orders the machines: the named ones first, then those that answer, then
// those of the client's zone; equals are rotated.
func (c *Client) spread(named []string) []*machine {
	c.mutex.Lock()
	c.rotate++
	start := c.rotate
	c.mutex.Unlock()
	order := make([]*machine, 0, len(c.machines))
	for offset := range c.machines {
		order = append(order, c.machines[(start+offset)%len(c.machines)])
	}
	slices.SortStableFunc(order, func(left, right *machine) int {
		return c.distance(left, named) - c.distance(right, named)
	})
	return order
}

// Weights of what makes a machine a worse choice.
const (
	notNamedWeight  = 4
	pausedWeight    = 2
	otherZoneWeight = 1
)

func (c *Client) distance(candidate *machine, named []string) int {
	distance := 0
	if len(named) > 0 && !slices.Contains(named, candidate.name) {
		distance += notNamedWeight
	}
	if candidate.paused() {
		distance += pausedWeight
	}
	if candidate.zone != c.options.Zone {
		distance += otherZoneWeight
	}
	return distance
}

// pick returns the machine for the next attempt.
func (c *Client) pick(r *route) *machine {
	if r.hinted != nil {
		hinted := r.hinted
		r.hinted = nil
		return hinted
	}
	if !r.leaderless {
		if leader := c.leaderOf(r.group); leader != nil {
			return leader
		}
	}
	chosen := r.order[r.next%len(r.order)]
	r.next++
	return chosen
}

func (c *Client) leaderOf(group uint32) *machine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leaders[group]
}

func (c *Client) forgetLeader(group uint32, was *machine) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leaders[group] == was {
		delete(c.leaders, group)
	}
}

func (c *Client) rememberLeader(group uint32, leader *machine) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaders[group] = leader
}

// call performs a call along a route until it is answered, the context ends or
// the retry budget is used up.
func call[Request, Response any](ctx context.Context, c *Client, r *route, kind effect, attempt method[Request, Response], request Request) (Response, error) {
	var none Response
	if len(c.machines) == 0 {
		return none, fault.New(fault.Unavailable, "no control machine is known",
			"list the control machines in the settings").WithRan(fault.NotRun)
	}
	ctx, cancel := c.bounded(ctx, r)
	defer cancel()
	c.budget.Deposit(retryRatio)
	backOff := firstBackOff
	redirects := 0
	executed := false
	for {
		at := c.pick(r)
		response, err := once(ctx, c, at, r, attempt, request)
		if err == nil {
			if !r.leaderless {
				c.rememberLeader(r.group, at)
			}
			return response, nil
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			cause := fault.New(fault.Unavailable, "the caller gave the call up", "call again when the answer is wanted")
			return none, gaveUp(cause, kind, executed || !neverConnected(err))
		}
		verdict := c.judge(r, at, err)
		executed = executed || verdict.mayHaveRun
		if verdict.final {
			return none, verdict.cause
		}
		if verdict.redirected && redirects < redirectLimit {
			redirects++
			continue
		}
		redirects = 0
		if !verdict.free && !c.budget.Withdraw() || !c.pause(ctx, backOff) {
			return none, gaveUp(verdict.cause, kind, executed)
		}
		backOff = nextBackOff(backOff, verdict)
	}
}

// nextBackOff doubles a pause up to the bound for the kind of failure.
func nextBackOff(backOff time.Duration, failed verdict) time.Duration {
	if failed.free {
		return min(2*backOff, longestFreeBackOff)
	}
	return min(2*backOff, longestBackOff)
}

func (c *Client) bounded(ctx context.Context, r *route) (context.Context, context.CancelFunc) {
	if _, has := ctx.Deadline(); has {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.options.CallTimeout+r.extra)
}

func once[Request, Response any](ctx context.Context, c *Client, at *machine, r *route, attempt method[Request, Response], request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout+r.extra)
	defer cancel()
	return attempt(ctx, at, request)
}

// verdict is what one failed attempt means for the call.
type verdict struct {
	cause *fault.Fault
	// final means that another attempt would get the same answer.
	final bool
	// redirected means that the answer named the machine to ask instead.
	redirected bool
	// mayHaveRun means that the attempt may have been executed.
	mayHaveRun bool
	// free means that the attempt cost the machine next to nothing: it was not
	// reached, or it refused at once. The pause between attempts is bound enough.
	free bool
}

func (c *Client) judge(r *route, at *machine, err error) verdict {
	cause := fault.From(err)
	if isTransport(err) {
		at.pause()
		c.forgetLeader(r.group, at)
		cause = fault.Newf(fault.Unavailable, "check that the process at the other end is running",
			"call to control machine %s at %s failed: %v", at.name, at.address, err)
		return verdict{cause: cause, mayHaveRun: !neverConnected(err), free: neverConnected(err)}
	}
	switch cause.Kind {
	case fault.NotLeader:
		c.forgetLeader(r.group, at)
		r.hinted = c.byAddress(cause.Leader)
		return verdict{cause: cause, free: true, redirected: r.hinted != nil && r.hinted != at}
	case fault.Unavailable, fault.Overloaded:
		c.forgetLeader(r.group, at)
		return verdict{cause: cause, mayHaveRun: cause.Ran != fault.NotRun}
	case fault.OutcomeUnknown:
		c.forgetLeader(r.group, at)
		return verdict{cause: cause, mayHaveRun: true}
	default:
		return verdict{cause: cause, final: true}
	}
}

// pause waits about the given time and tells whether the call may go on.
func (c *Client) pause(ctx context.Context, about time.Duration) bool {
	jittered := time.Duration((0.5 + c.options.Random()) * float64(about))
	return retry.Pause(ctx, jittered)
}

// gaveUp turns the last failure into what the caller needs to know.
func gaveUp(cause *fault.Fault, kind effect, executed bool) *fault.Fault {
	if kind == reading || !executed {
		result := *cause
		result.Kind = fault.Unavailable
		return result.WithRan(fault.NotRun)
	}
	return fault.New(fault.OutcomeUnknown, "no control machine answered in time: "+cause.Message,
		"repeat the call with the same key; it is executed once").WithRan(fault.RanUnknown)
}

// isTransport tells whether the attempt failed without an answer.
func isTransport(err error) bool {
	var network net.Error
	var operation *net.OpError
	return errors.As(err, &network) || errors.As(err, &operation) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// neverConnected tells whether no byte of the call can have left.
func neverConnected(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
