// Package rateclient enforces the request rates of tenants at a router. It asks the owner of a
// tenant's rate for each request (package requestrate), and bounds the requests that pass while no
// owner responds.
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
	// noOwnerRetryAfter is the advised retry delay while no owner responds: as long as the stores
	// need to elect another one.
	noOwnerRetryAfter = 400 * time.Millisecond
	// uncheckedWindow is the time in which a router may pass one request of a tenant without an
	// owner's response even if its share of the remaining requests is smaller. uncheckedRouters is
	// how many routers may do so. Together they bound the excess over a tenant's limit while no
	// owner responds: 40 requests within the second of an election are twice the tolerance of a
	// small tenant, and its rate earns the rest meanwhile.
	uncheckedWindow  = 5 * time.Second
	uncheckedRouters = 40
	// refusalCacheTime is the longest time for which a refusal is repeated without asking the owner.
	refusalCacheTime = 100 * time.Millisecond
	// minRetryAfter is the least retry delay that is advised.
	minRetryAfter = 50 * time.Millisecond
	// maxWithheld bounds the unanswered requests that were withheld and are still to be reported.
	// Older ones are dropped, to their tenant's disadvantage.
	maxWithheld = 32
)

// Owners sends requests to the owners of tenants' rates. A jobclient.Client implements it.
type Owners interface {
	// TakeRequest asks the owner of a tenant's rate for a request.
	TakeRequest(ctx context.Context, request *rockwindpb.TakeRequestsRequest) (*rockwindpb.TakeRequestsResponse, error)
}

// Client enforces tenants' request rates at one router. It is safe for concurrent use.
type Client struct {
	owners Owners
	// router is the name of this process, started its start time, and routers returns the number
	// of routers of the site.
	router  string
	started time.Time
	routers func() int

	mutex sync.Mutex
	// tenants holds all tenants seen so far, some hundred bytes each.
	tenants map[string]*tenantRate
}

// tenantRate is this router's state of one tenant's rate.
type tenantRate struct {
	// returned counts granted requests that did not run and were not yet reported to the owner.
	returned uint32
	// sequence numbers the requests to the owner. Of those that had no response in time, passed
	// are the ones whose requests were let through and withheld the others. They are reported
	// until an owner responds.
	sequence    uint64
	passed      []uint64
	withheld    []uint64
	uncheckedAt time.Time
	// remaining is how many requests the owner last reported as remaining at remainingAt, and
	// hasRemaining whether it ever did.
	remaining    uint32
	hasRemaining bool
	remainingAt  time.Time
	// refusal is the owner's last refusal of a timely request, and lateRefusal that of a late one.
	refusal     refusal
	lateRefusal refusal
	// refused counts the requests that were refused from the cache and not yet reported.
	refused uint32
}

// refusal is a cached refusal by the owner: how long it is valid, when the owner expected to grant
// a request, and how long the refused one could wait.
type refusal struct {
	until      time.Time
	retryAfter time.Time
	waitMs     uint32
}

// appliesTo reports whether the refusal is repeated for a request with the given maximum wait. A
// request that can wait longer might be granted.
func (r refusal) appliesTo(waitMs uint32, now time.Time) bool {
	return now.Before(r.until) && waitMs <= r.waitMs
}

// Options says how a request competes with others of its tenant. The zero value is a timely
// request that can't wait.
type Options struct {
	// Late is set if the request can no longer meet its objective.
	Late bool
	// Wait is how long it may wait after it is granted.
	Wait time.Duration
}

// New returns the client of the named router, with a function that returns the number of routers.
func New(owners Owners, router string, routers func() int) *Client {
	return &Client{owners: owners, router: router, started: time.Now(), routers: routers, tenants: make(map[string]*tenantRate)}
}

// limited reports whether a tenant has a request rate limit. The tenant may be nil.
func limited(tenant *rockwindpb.Tenant) bool {
	return tenant.GetLimits().GetRequestsPerSecond() > 0
}

// Take takes a request out of the tenant's rate, under the configuration with the given number. It
// blocks until the request may be sent to a server. It fails with fault.LimitReached if the rate is
// exhausted, and with fault.Unavailable if no owner responds within the timeout and the request
// may not pass unchecked.
func (c *Client) Take(ctx context.Context, tenant *rockwindpb.Tenant, configuration uint64, timeout time.Duration, options Options) error {
	if !limited(tenant) {
		return nil
	}
	request := &rockwindpb.TakeRequestsRequest{
		Tenant: tenant.GetName(), Configuration: configuration,
		RequestsPerSecond: tenant.GetLimits().GetRequestsPerSecond(), RequestBurst: tenant.GetLimits().GetRequestBurst(),
		Late: options.Late, WaitMs: uint32(options.Wait.Milliseconds()),
	}
	if retryAfter := c.begin(request); retryAfter > 0 {
		return rateExceeded(tenant, retryAfter)
	}
	asking, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.owners.TakeRequest(asking, request)
	if err != nil {
		log.WithError(err).WithField("tenant", tenant.GetName()).Debug("no response from the owner of the tenant's request rate")
		return c.unanswered(request)
	}
	wait := time.Duration(response.GetWaitMs()) * time.Millisecond
	c.answered(request, response.GetRemaining(), wait)
	if response.GetGranted() {
		return c.awaitGrant(ctx, tenant, wait)
	}
	retryAfter := time.Duration(response.GetRetryAfterMs()) * time.Millisecond
	c.cacheRefusal(request, retryAfter)
	return rateExceeded(tenant, retryAfter)
}

// awaitGrant waits until a granted request is within the rate.
func (c *Client) awaitGrant(ctx context.Context, tenant *rockwindpb.Tenant, wait time.Duration) error {
	if wait == 0 || retry.Pause(ctx, wait) {
		return nil
	}
	c.Refund(tenant)
	return fault.New(fault.Unavailable, "come back later", "the request ended while it waited for its tenant's rate limit").
		WithRan(fault.NotRun).WithRetryAfter(minRetryAfter)
}

func rateExceeded(tenant *rockwindpb.Tenant, retryAfter time.Duration) error {
	return fault.Newf(fault.LimitReached, "send the request again after the time in Retry-After, or ask for a higher limit",
		"tenant %s has exceeded its limit of %v requests per second", tenant.GetName(), tenant.GetLimits().GetRequestsPerSecond()).
		WithRan(fault.NotRun).WithRetryAfter(retryAfter)
}

// rateOf returns the state of a tenant. The mutex must be held.
func (c *Client) rateOf(tenant string) *tenantRate {
	found, known := c.tenants[tenant]
	if !known {
		found = &tenantRate{}
		c.tenants[tenant] = found
	}
	return found
}

// begin adds to a request what this router has to report. If a cached refusal applies, it
// returns the retry delay instead.
func (c *Client) begin(request *rockwindpb.TakeRequestsRequest) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, now := c.rateOf(request.GetTenant()), time.Now()
	if cachedRefusal := known.cachedRefusal(request, now); cachedRefusal.appliesTo(request.GetWaitMs(), now) {
		known.refused++
		return max(minRetryAfter, cachedRefusal.retryAfter.Sub(now))
	}
	known.sequence++
	request.Router, request.RouterStartedUnixMs, request.Question = c.router, c.started.UnixMilli(), known.sequence
	request.Returned, request.Passed, request.Withheld = known.returned, slices.Clone(known.passed), slices.Clone(known.withheld)
	if known.hasRemaining {
		remaining := known.remaining
		request.Remaining = &remaining
		request.RemainingAgeMs = uint32(max(0, now.Sub(known.remainingAt)).Milliseconds())
	}
	request.Refused = known.refused
	known.returned, known.refused = 0, 0
	return 0
}

// cachedRefusal returns the refusal that may apply to a request. Refusals of timely requests also
// apply to late ones, but not the reverse.
func (r *tenantRate) cachedRefusal(request *rockwindpb.TakeRequestsRequest, now time.Time) refusal {
	if request.GetLate() && !r.refusal.appliesTo(request.GetWaitMs(), now) {
		return r.lateRefusal
	}
	return r.refusal
}

// answered records the remaining requests that the owner reported, as of the end of the wait, and
// drops what was reported to it.
func (c *Client) answered(request *rockwindpb.TakeRequestsRequest, remaining uint32, wait time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.rateOf(request.GetTenant())
	known.remaining, known.hasRemaining, known.remainingAt = remaining, true, time.Now().Add(wait)
	known.passed = exclude(known.passed, request.GetPassed())
	known.withheld = exclude(known.withheld, request.GetWithheld())
}

// exclude returns the numbers that were not reported.
func exclude(numbers, reported []uint64) []uint64 {
	return slices.DeleteFunc(numbers, func(number uint64) bool { return slices.Contains(reported, number) })
}

func (c *Client) cacheRefusal(request *rockwindpb.TakeRequestsRequest, retryAfter time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, now := c.rateOf(request.GetTenant()), time.Now()
	cachedRefusal := refusal{until: now.Add(min(retryAfter, refusalCacheTime)), retryAfter: now.Add(retryAfter), waitMs: request.GetWaitMs()}
	if request.GetLate() {
		known.lateRefusal = cachedRefusal
		return
	}
	known.refusal = cachedRefusal
}

// unanswered lets a request pass for which no owner responded, if that stays within the bounds. The
// owner may have charged it or not, so its sequence number is reported later. Returned and refused
// counts that it carried are lost.
func (c *Client) unanswered(request *rockwindpb.TakeRequestsRequest) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known, now := c.rateOf(request.GetTenant()), time.Now()
	one := now.Sub(known.uncheckedAt) >= uncheckedWindow && c.mayPassUnchecked(request.GetTenant())
	if one || float64(len(known.passed)+1) <= c.share(known, request, now) {
		known.uncheckedAt = now
		known.passed = append(known.passed, request.GetQuestion())
		return nil
	}
	known.withheld = append(known.withheld, request.GetQuestion())
	if surplus := len(known.withheld) - maxWithheld; surplus > 0 {
		known.withheld = slices.Delete(known.withheld, 0, surplus)
	}
	return fault.Newf(fault.Unavailable, "send the request again after the time in Retry-After", "the owner of tenant %s's request rate is not responding", request.GetTenant()).
		WithRan(fault.NotRun).WithRetryAfter(noOwnerRetryAfter)
}

// share returns this router's share of the tenant's remaining requests, from the owner's last
// report and what the rate has earned since. The mutex must be held.
func (c *Client) share(known *tenantRate, request *rockwindpb.TakeRequestsRequest, now time.Time) float64 {
	if !known.hasRemaining {
		return 0
	}
	earned := request.GetRequestsPerSecond() * now.Sub(known.remainingAt).Seconds()
	left := min(float64(request.GetRequestBurst()), float64(known.remaining)+earned)
	return left / float64(max(1, c.routers()))
}

// mayPassUnchecked reports whether this router may pass requests of a tenant unchecked. On a small
// site all routers may, on a large one only some.
func (c *Client) mayPassUnchecked(tenant string) bool {
	routers := uint64(max(1, c.routers()))
	return xxhash.Sum64String(tenant+" at "+c.router)%routers < uncheckedRouters
}

// Refund returns a request that was taken but has not run.
func (c *Client) Refund(tenant *rockwindpb.Tenant) {
	if !limited(tenant) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.rateOf(tenant.GetName()).returned++
}
