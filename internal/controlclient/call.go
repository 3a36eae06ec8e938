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

// callKind tells reads from writes. An unanswered write may have been executed,
// and its error says so.
type callKind int

const (
	readCall callKind = iota
	writeCall
)

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxCheapBackoff applies after attempts that put no load on the machine, such
	// as those during a leader election.
	maxCheapBackoff = 100 * time.Millisecond
	// maxRedirects is the number of successive redirects followed without backoff.
	maxRedirects = 4
)

// route selects the machine for each attempt of a call. It serves one call only.
type route struct {
	// group is the group whose leader is called, unless anyMachine is set.
	group      uint32
	anyMachine bool
	candidates []*machine
	next       int
	// redirect is the leader that the last answer named. It is tried next.
	redirect *machine
	// extraTimeout is added to the call and attempt timeouts, for long polls and
	// large messages.
	extraTimeout time.Duration
}

// attemptFunc sends the request to one machine.
type attemptFunc[Request, Response any] func(ctx context.Context, target *machine, request Request) (Response, error)

// toAny returns a route to any machine, responsive ones and those of the client's
// zone first.
func (c *Client) toAny() *route {
	return &route{anyMachine: true, candidates: c.orderMachines(nil)}
}

// toReplicas returns a route that prefers the machines that replicate a group.
func (c *Client) toReplicas(ctx context.Context, group uint32) *route {
	// Loads the members of the group. If that fails, all machines are candidates
	// and those that don't replicate the group redirect the call.
	_, _ = c.Shards(ctx)
	return &route{anyMachine: true, candidates: c.orderMachines(c.membersOf(group))}
}

// toZoneMachine returns a route that orders the machines by rendezvous hashing of
// the client's zone, so that all gateways of a zone call the same machine.
// Unresponsive machines come last.
func (c *Client) toZoneMachine() *route {
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
		return boolToInt(left.unresponsive()) - boolToInt(right.unresponsive())
	})
	return &route{anyMachine: true, candidates: order}
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// toLeader returns a route to the leader of a group.
func (c *Client) toLeader(group uint32) *route {
	return &route{group: group, candidates: c.orderMachines(c.membersOf(group))}
}

// withExtraTimeout extends the timeouts of the call and of each attempt.
func (r *route) withExtraTimeout(extra time.Duration) *route {
	r.extraTimeout = extra
	return r
}

func (c *Client) membersOf(group uint32) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.members[group]
}

// orderMachines sorts the machines by penalty. Machines with the same penalty are
// rotated from call to call to distribute the load.
func (c *Client) orderMachines(preferred []string) []*machine {
	c.mutex.Lock()
	c.rotation++
	start := c.rotation
	c.mutex.Unlock()
	order := make([]*machine, 0, len(c.machines))
	for offset := range c.machines {
		order = append(order, c.machines[(start+offset)%len(c.machines)])
	}
	slices.SortStableFunc(order, func(left, right *machine) int {
		return c.penalty(left, preferred) - c.penalty(right, preferred)
	})
	return order
}

// Penalties in the order of machines. Each exceeds the sum of the smaller ones.
const (
	notPreferredPenalty = 4
	unresponsivePenalty = 2
	otherZonePenalty    = 1
)

func (c *Client) penalty(candidate *machine, preferred []string) int {
	penalty := 0
	if len(preferred) > 0 && !slices.Contains(preferred, candidate.name) {
		penalty += notPreferredPenalty
	}
	if candidate.unresponsive() {
		penalty += unresponsivePenalty
	}
	if candidate.zone != c.options.Zone {
		penalty += otherZonePenalty
	}
	return penalty
}

// pick returns the machine for the next attempt: the target of a redirect, the
// known leader or the next candidate.
func (c *Client) pick(r *route) *machine {
	if r.redirect != nil {
		redirected := r.redirect
		r.redirect = nil
		return redirected
	}
	if !r.anyMachine {
		if leader := c.leaderOf(r.group); leader != nil {
			return leader
		}
	}
	chosen := r.candidates[r.next%len(r.candidates)]
	r.next++
	return chosen
}

func (c *Client) leaderOf(group uint32) *machine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leaders[group]
}

func (c *Client) forgetLeader(group uint32, leader *machine) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leaders[group] == leader {
		delete(c.leaders, group)
	}
}

func (c *Client) rememberLeader(group uint32, leader *machine) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaders[group] = leader
}

// call sends a request along a route and retries until it gets a final answer, the
// timeout expires or the retry budget is exhausted.
func call[Request, Response any](ctx context.Context, c *Client, r *route, kind callKind, attempt attemptFunc[Request, Response], request Request) (Response, error) {
	var none Response
	if len(c.machines) == 0 {
		return none, fault.New(fault.Unavailable, "no control machine is configured",
			"list the control machines in the settings").WithRan(fault.NotRun)
	}
	ctx, cancel := c.withTimeout(ctx, r)
	defer cancel()
	c.budget.Deposit(retryRatio)
	backoff := minBackoff
	redirects := 0
	executed := false
	for {
		target := c.pick(r)
		response, err := attemptOnce(ctx, c, target, r, attempt, request)
		if err == nil {
			if !r.anyMachine {
				c.rememberLeader(r.group, target)
			}
			return response, nil
		}
		if errors.Is(ctx.Err(), context.Canceled) {
			cause := fault.New(fault.Unavailable, "the caller canceled the call", "retry the call if its result is still needed")
			return none, unansweredFault(cause, kind, executed || !isDialError(err))
		}
		failed := c.classify(r, target, err)
		executed = executed || failed.mayHaveRun
		if failed.final {
			return none, failed.cause
		}
		if failed.redirected && redirects < maxRedirects {
			redirects++
			continue
		}
		redirects = 0
		if !failed.cheap && !c.budget.Withdraw() || !c.wait(ctx, backoff) {
			return none, unansweredFault(failed.cause, kind, executed)
		}
		backoff = nextBackoff(backoff, failed)
	}
}

// nextBackoff doubles the backoff up to the limit for the kind of failure.
func nextBackoff(backoff time.Duration, failed attemptError) time.Duration {
	if failed.cheap {
		return min(2*backoff, maxCheapBackoff)
	}
	return min(2*backoff, maxBackoff)
}

// withTimeout applies the call timeout unless ctx already has a deadline.
func (c *Client) withTimeout(ctx context.Context, r *route) (context.Context, context.CancelFunc) {
	if _, has := ctx.Deadline(); has {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, c.options.CallTimeout+r.extraTimeout)
}

func attemptOnce[Request, Response any](ctx context.Context, c *Client, target *machine, r *route, attempt attemptFunc[Request, Response], request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout+r.extraTimeout)
	defer cancel()
	return attempt(ctx, target, request)
}

// attemptError is a failed attempt and what it means for the call.
type attemptError struct {
	cause *fault.Fault
	// final is set if another attempt would get the same answer.
	final bool
	// redirected is set if the answer named another machine as the leader.
	redirected bool
	// mayHaveRun is set if the request may have been executed.
	mayHaveRun bool
	// cheap is set if the attempt put no load on the machine: it could not be
	// reached or is not the leader. Such attempts are limited by backoff alone and
	// don't use the retry budget.
	cheap bool
}

// classify decides how the call continues after a failed attempt. It also forgets
// the leader and marks unresponsive machines.
func (c *Client) classify(r *route, target *machine, err error) attemptError {
	cause := fault.From(err)
	if isTransportError(err) {
		target.markUnresponsive()
		c.forgetLeader(r.group, target)
		cause = fault.Newf(fault.Unavailable, "check that the process at the other end is running",
			"call to control machine %s at %s failed: %v", target.name, target.address, err)
		return attemptError{cause: cause, mayHaveRun: !isDialError(err), cheap: isDialError(err)}
	}
	switch cause.Kind {
	case fault.NotLeader:
		c.forgetLeader(r.group, target)
		r.redirect = c.machineByAddress(cause.Leader)
		return attemptError{cause: cause, cheap: true, redirected: r.redirect != nil && r.redirect != target}
	case fault.Unavailable, fault.Overloaded:
		c.forgetLeader(r.group, target)
		return attemptError{cause: cause, mayHaveRun: cause.Ran != fault.NotRun}
	case fault.OutcomeUnknown:
		c.forgetLeader(r.group, target)
		return attemptError{cause: cause, mayHaveRun: true}
	default:
		return attemptError{cause: cause, final: true}
	}
}

// wait pauses for the backoff with ±50% jitter. It returns false if ctx ends first.
func (c *Client) wait(ctx context.Context, about time.Duration) bool {
	jittered := time.Duration((0.5 + c.options.Random()) * float64(about))
	return retry.Pause(ctx, jittered)
}

// unansweredFault converts the last failure into the result of the call:
// OutcomeUnknown if a write may have been executed, Unavailable otherwise.
func unansweredFault(cause *fault.Fault, kind callKind, executed bool) *fault.Fault {
	if kind == readCall || !executed {
		result := *cause
		result.Kind = fault.Unavailable
		return result.WithRan(fault.NotRun)
	}
	return fault.New(fault.OutcomeUnknown, "no control machine answered in time: "+cause.Message,
		"repeat the call with the same key; it is executed once").WithRan(fault.RanUnknown)
}

// isTransportError reports whether an attempt failed without an answer.
func isTransportError(err error) bool {
	var network net.Error
	var operation *net.OpError
	return errors.As(err, &network) || errors.As(err, &operation) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// isDialError reports whether no connection was established, so that the request
// was never sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
