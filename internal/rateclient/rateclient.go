// Package rateclient holds the requests of tenants to their limits at a router: it asks
// the owner of a tenant's rate for each request (package requestrate), and bounds what is
// let through while no owner answers.
package rateclient

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// ownerReturn is the time to come back that is told where no owner answers: as long as
	// the stores need to elect another one.
	ownerReturn = 400 * time.Millisecond
	// unaskedWindow is the time in which a router lets one request of a tenant through
	// without asking although its part of what the tenant has left is smaller, and
	// unaskedRouters how many routers may do so: both together bound what a tenant gets
	// beyond its limit while no owner answers. A flood that meets 40 routers by chance within
	// the second that an election takes is twice the tolerance of a small tenant, of which the
	// rate earns the rest meanwhile.
	unaskedWindow  = 5 * time.Second
	unaskedRouters = 40
	// refusalFor is the longest time for which a refusal is given again without asking.
	refusalFor = 100 * time.Millisecond
	// shortestReturn is the shortest time to come back that is told.
	shortestReturn = 50 * time.Millisecond
	// mostWithheld bounds the unanswered questions that are told of requests which were not
	// let through; older ones are forgotten, against their tenant.
	mostWithheld = 32
)

// Owners asks the owners of the tenants' rates. A jobclient.Client is one.
type Owners interface {
	// TakeRequest asks the owner of a tenant's rate for a request.
	TakeRequest(ctx context.Context, request *rockwindpb.TakeRequestsRequest) (*rockwindpb.TakeRequestsResponse, error)
}

// Client holds the requests that come to one router to the limits of their tenants. It is
// safe for concurrent use.
type Client struct {
	owners Owners
	// router is the name of this process, started when its life began, and routers how many
	// the site has.
	router  string
	started time.Time
	routers func() int

	mutex sync.Mutex
	// tenants holds those of the configurations so far: some hundred bytes each.
	tenants map[string]*tenantRate
}

// tenantRate is what this router knows of one tenant's rate.
type tenantRate struct {
	// returned counts granted requests that have not run, which the owner does not know of yet.
	returned uint32
	// question numbers what was asked. Passed are the questions that no owner answered in
	// time and whose requests were let through, and withheld those whose requests were not;
	// they are told until an owner answers.
	question  uint64
	passed    []uint64
	withheld  []uint64
	unaskedAt time.Time
	// remaining is what the owner said at toldAt that the tenant had left, and told that it
	// ever did.
	remaining uint32
	told      bool
	toldAt    time.Time
	// refusal is the owner's last one, and lateRefusal its last one of a request that could
	// not be in time.
	refusal     refusal
	lateRefusal refusal
	// refused counts the requests that were refused by it, which the owner does not know of.
	refused uint32
}

// refusal is an answer of the owner that holds until a time, and when it expected room, for a
// request that could wait for so long.
type refusal struct {
	until    time.Time
	comeBack time.Time
	waitMs   uint32
}

// holds tells whether the refusal is given again without asking to a request that can wait for
// so long: one that can wait for longer might be granted.
func (r refusal) holds(waitMs uint32, now time.Time) bool {
	return now.Before(r.until) && waitMs <= r.waitMs
}

// Options is how a request goes before others of its tenant. The zero value has it go by its
// arrival.
type Options struct {
	// Late tells that its answer cannot be in time any more.
	Late bool
	// Wait is how long it may wait for its turn once it is granted.
	Wait time.Duration
}

// New returns the client of the named router, given how many routers the site has.
func New(owners Owners, router string, routers func() int) *Client {
	return &Client{owners: owners, router: router, started: time.Now(), routers: routers, tenants: make(map[string]*tenantRate)}
}

// limited tells whether a tenant has a limit on its requests; nil is none.
func limited(tenant *rockwindpb.Tenant) bool {
	return tenant.GetLimits().GetRequestsPerSecond() > 0
}

// Take takes a request out of the tenant's rate, under the configuration of the given
// number. It fails with fault.LimitReached where the tenant has used it up, and with
// fault.Unavailable where no owner answers within the patience and the request may not be
// let through unasked. It returns when the request may go to a server.
func (c *Client) Take(ctx context.Context, tenant *rockwindpb.Tenant, number uint64, patience time.Duration, turn Options) error {
	if !limited(tenant) {
		return nil
	}
	request := &rockwindpb.TakeRequestsRequest{
		Tenant: tenant.GetName(), Configuration: number,
		RequestsPerSecond: tenant.GetLimits().GetRequestsPerSecond(), RequestBurst: tenant.GetLimits().GetRequestBurst(),
		Late: turn.Late, WaitMs: uint32(turn.Wait.Milliseconds()),
	}
	if comeBack := c.begin(request); comeBack > 0 {
		return rateExceeded(tenant, comeBack)
	}
	asking, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	response, err := c.owners.TakeRequest(asking, request)
	if err != nil {
		log.WithError(err).WithField("tenant", tenant.GetName()).Debug("no owner answered for the tenant's rate")
		return c.unanswered(request)
	}
	wait := time.Duration(response.GetWaitMs()) * time.Millisecond
	c.answered(request, response.GetRemaining(), wait)
	if response.GetGranted() {
		return c.awaitTurn(ctx, tenant, wait)
	}
	comeBack := time.Duration(response.GetRetryAfterMs()) * time.Millisecond
	c.refused(request, comeBack)
	return rateExceeded(tenant, comeBack)
}

// awaitTurn waits until a granted request is within the rate.
func (c *Client) awaitTurn(ctx context.Context, tenant *rockwindpb.Tenant, wait time.Duration) error {
	if wait == 0 || retry.Pause(ctx, wait) {
		return nil
	}
	c.Refund(tenant)
	return fault.New(fault.Unavailable, "come back later", "the request's time ended before its turn").
		WithRan(fault.NotRun).WithRetryAfter(shortestReturn)
}

func rateExceeded(tenant *rockwindpb.Tenant, comeBack time.Duration) error {
	return fault.Newf(fault.LimitReached, "come back after the time given, or ask for a higher limit",
		"tenant %s has used up its %v requests a second", tenant.GetName(), tenant.GetLimits().GetRequestsPerSecond()).
		WithRan(fault.NotRun).WithRetryAfter(comeBack)
}

// of returns what is known of a tenant. The mutex is held.
func (c *Client) of(tenant string) *tenantRate {
	found, known := c.tenants[tenant]
	if !known {
		found = &tenantRate{}
		c.tenants[tenant] = found
	}
	return found
}

// begin has a request carry what this router has to settle. While a refusal holds it
// returns the time to come back instead.
func (c *Client) begin(request *rockwindpb.TakeRequestsRequest) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, now := c.of(request.GetTenant()), time.Now()
	if held := known.held(request, now); held.holds(request.GetWaitMs(), now) {
		known.refused++
		return max(shortestReturn, held.comeBack.Sub(now))
	}
	known.question++
	request.Router, request.RouterStartedUnixMs, request.Question = c.router, c.started.UnixMilli(), known.question
	request.Returned, request.Passed, request.Withheld = known.returned, slices.Clone(known.passed), slices.Clone(known.withheld)
	if known.told {
		remaining := known.remaining
		request.Remaining = &remaining
		request.RemainingAgeMs = uint32(max(0, now.Sub(known.toldAt)).Milliseconds())
	}
	request.Refused = known.refused
	known.returned, known.refused = 0, 0
	return 0
}

// held is the refusal that a request may be given again: what is refused to one that can be
// in time is to one that cannot, but not the other way.
func (r *tenantRate) held(request *rockwindpb.TakeRequestsRequest, now time.Time) refusal {
	if request.GetLate() && !r.refusal.holds(request.GetWaitMs(), now) {
		return r.lateRefusal
	}
	return r.refusal
}

// answered keeps what the owner said that the tenant has left after a wait, and forgets what
// it was told.
func (c *Client) answered(request *rockwindpb.TakeRequestsRequest, remaining uint32, wait time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.of(request.GetTenant())
	known.remaining, known.told, known.toldAt = remaining, true, time.Now().Add(wait)
	known.passed = without(known.passed, request.GetPassed())
	known.withheld = without(known.withheld, request.GetWithheld())
}

// without returns the numbers that are not among those told.
func without(numbers, told []uint64) []uint64 {
	return slices.DeleteFunc(numbers, func(number uint64) bool { return slices.Contains(told, number) })
}

func (c *Client) refused(request *rockwindpb.TakeRequestsRequest, comeBack time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, now := c.of(request.GetTenant()), time.Now()
	held := refusal{until: now.Add(min(comeBack, refusalFor)), comeBack: now.Add(comeBack), waitMs: request.GetWaitMs()}
	if request.GetLate() {
		known.lateRefusal = held
		return
	}
	known.refusal = held
}

// unanswered lets a request through that no owner answered for, where that stays within
// the bound. An owner may have counted it or not: what became of it is told by its number.
// What the tenant was owed is dropped.
func (c *Client) unanswered(request *rockwindpb.TakeRequestsRequest) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, now := c.of(request.GetTenant()), time.Now()
	one := now.Sub(known.unaskedAt) >= unaskedWindow && c.mayPassUnasked(request.GetTenant())
	if one || float64(len(known.passed)+1) <= c.part(known, request, now) {
		known.unaskedAt = now
		known.passed = append(known.passed, request.GetQuestion())
		return nil
	}
	known.withheld = append(known.withheld, request.GetQuestion())
	if surplus := len(known.withheld) - mostWithheld; surplus > 0 {
		known.withheld = slices.Delete(known.withheld, 0, surplus)
	}
	return fault.Newf(fault.Unavailable, "come back after the time given", "the count of tenant %s's requests is not known now", request.GetTenant()).
		WithRan(fault.NotRun).WithRetryAfter(ownerReturn)
}

// part is this router's part of what the tenant has left by what its owner said last and by
// what it has earned since. The mutex is held.
func (c *Client) part(known *tenantRate, request *rockwindpb.TakeRequestsRequest, now time.Time) float64 {
	if !known.told {
		return 0
	}
	earned := request.GetRequestsPerSecond() * now.Sub(known.toldAt).Seconds()
	left := min(float64(request.GetRequestBurst()), float64(known.remaining)+earned)
	return left / float64(max(1, c.routers()))
}

// mayPassUnasked tells whether this router is one of those that may let requests of a
// tenant through unasked: all on a small site, a part of them on a large one.
func (c *Client) mayPassUnasked(tenant string) bool {
	routers := uint64(max(1, c.routers()))
	return xxhash.Sum64String(tenant+" at "+c.router)%routers < unaskedRouters
}

// Refund returns a request that was taken and has not run.
func (c *Client) Refund(tenant *rockwindpb.Tenant) {
	if !limited(tenant) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.of(tenant.GetName()).returned++
}
