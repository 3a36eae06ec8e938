// Package requestrate limits the request rates of tenants, summed over all routers of a site. One
// store is the owner of a tenant's rate: the leader of the shard that OwnerOf returns. A router
// asks it before it sends a request to a server.
//
// Each tenant has a token bucket with the tenant's rate and burst. Buckets belong to one
// leadership and are not written to disk. A new owner starts a bucket with what the former owner
// last reported to the first router that asks, unless that is too old; otherwise it starts with a
// nearly empty one. During its first second it lowers the bucket if a router has a newer report.
// So both owners together stay within the limit and its tolerance, except for what was granted
// between that report and the change of owners.
//
// When a tenant exceeds its limit, requests that can still meet their latency objective are
// granted first. One of them may be granted a few tens of milliseconds ahead of the rate, and is
// then sent to a server after that wait. Late requests get what the others leave.
//
// The package has no clock: times are durations since an origin of the caller's choice.
package requestrate

import (
	"math"
	"time"

	"rockwind.example/rockwind/internal/quota"
)

const (
	// freshTokens is how many requests a new owner without any report grants a tenant at once: enough
	// for small tenants not to notice the change of owners. If a tolerance is set, a new owner may
	// use freshFraction of it; the rest is for requests that reach servers late and for those that
	// routers passed unchecked.
	freshTokens   = 5.0
	freshFraction = 0.6
	// ownerChangeWindow is the maximum age of a former owner's report, and how long newer reports are
	// accepted: about as long as an election of the stores. Other routers may have used up what an
	// older report shows as remaining.
	ownerChangeWindow = time.Second
	// impliedBurst is the burst of a tenant whose limit has none, in seconds of its rate, at most
	// maxImpliedBurst: requests are not evenly spaced.
	impliedBurst    = 0.5
	maxImpliedBurst = 8.0
	// refusedDecay is the time constant of the estimate of refused requests.
	refusedDecay = time.Second
	// minRetryAfter and maxRetryAfter bound the advised retry delay.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// reserveWindow is the time for which timely requests reserve tokens against late ones: a third
	// of the shortest objectives. Requests after that use what the rate has earned by then.
	reserveWindow = 100 * time.Millisecond
	// timelyDecay is the time constant of the estimate of timely requests.
	timelyDecay = time.Second
	// idleTimeout is the time without requests after which a tenant is forgotten. By then its
	// bucket is full at any rate of at least one request in ten seconds.
	idleTimeout = time.Minute
	// sweepInterval is the time between sweeps of idle tenants.
	sweepInterval = 10 * time.Second
)

// OwnerOf returns the shard whose leader owns a tenant's rate.
func OwnerOf(tenant string, shards int) uint32 { return quota.OwnerOf("tenant "+tenant, shards) }

// Limit is a rate with a burst.
type Limit struct {
	perSecond float64
	burst     float64
}

// NewLimit returns a limit of requests per second and of requests at once. The burst has a minimum
// that depends on the rate.
func NewLimit(perSecond float64, burst uint32) Limit {
	minBurst := max(1, min(impliedBurst*perSecond, maxImpliedBurst))
	return Limit{perSecond: perSecond, burst: max(float64(burst), minBurst)}
}

// Tolerance is how far a tenant may exceed its limit within a window. The zero value is none.
type Tolerance struct {
	window   time.Duration
	fraction float64
	requests float64
}

// NewTolerance returns a tolerance of a fraction of what the limit admits in the window, plus a number
// of requests.
func NewTolerance(window time.Duration, fraction, requests float64) Tolerance {
	return Tolerance{window: window, fraction: fraction, requests: requests}
}

// excess returns how many requests beyond a limit are tolerated in the window.
func (t Tolerance) excess(limit Limit) float64 {
	return t.fraction*(limit.perSecond*t.window.Seconds()+limit.burst) + t.requests
}

// Request is a router's request for a token.
type Request struct {
	tenant        string
	limit         Limit
	configuration uint64
	returned      uint32
	// router is the sender, routerStarted the start of its process, and sequence the number of
	// the request; zero means that it has none.
	router        string
	routerStarted int64
	sequence      uint64
	// passed and withheld are earlier sequence numbers without a response.
	passed   []uint64
	withheld []uint64
	// remaining is how many requests an owner last reported as remaining, and age how old that
	// report is. It is negative if there is none.
	remaining float64
	age       time.Duration
	// refused is how many requests the router has refused itself since it last asked.
	refused uint32
	// late is set if the request can no longer meet its objective. maxWait is how long it may wait
	// after it is granted.
	late    bool
	maxWait time.Duration
}

// NewRequest returns a request for one token, under the limit of the configuration with the given
// number.
func NewRequest(tenant string, limit Limit, configuration uint64) Request {
	return Request{tenant: tenant, limit: limit, configuration: configuration, remaining: -1}
}

// FromRouter sets the sender, the start of its process and the sequence number. A request that is
// repeated with the same number is charged once.
func (r Request) FromRouter(router string, routerStarted int64, sequence uint64) Request {
	r.router, r.routerStarted, r.sequence = router, routerStarted, sequence
	return r
}

// WithReturned sets how many granted requests of the router have not run.
func (r Request) WithReturned(returned uint32) Request {
	r.returned = returned
	return r
}

// WithUnanswered sets the sequence numbers that had no response in time: those whose requests the
// router passed, and those whose requests it withheld. They may be repeated.
func (r Request) WithUnanswered(passed, withheld []uint64) Request {
	r.passed, r.withheld = passed, withheld
	return r
}

// WithRemaining sets what an owner last reported to the router as the tenant's remaining requests.
func (r Request) WithRemaining(remaining uint32, age time.Duration) Request {
	r.remaining, r.age = float64(remaining), age
	return r
}

// WithRefused sets how many requests the router refused itself, from a cached refusal.
func (r Request) WithRefused(refused uint32) Request {
	r.refused = refused
	return r
}

// Late marks a request that can no longer meet its objective.
func (r Request) Late() Request {
	r.late = true
	return r
}

// WithMaxWait sets how long the request may wait after it is granted.
func (r Request) WithMaxWait(maxWait time.Duration) Request {
	r.maxWait = maxWait
	return r
}

// Decision is the response to a request.
type Decision struct {
	granted    bool
	wait       time.Duration
	retryAfter time.Duration
	remaining  uint32
}

// Granted reports whether the request is within the limit.
func (d Decision) Granted() bool { return d.granted }

// Wait returns how long a granted request must wait to be within the limit.
func (d Decision) Wait() time.Duration { return d.wait }

// RetryAfter returns when a refused request is expected to be granted.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Remaining returns how many more requests the tenant could make at once.
func (d Decision) Remaining() uint32 { return d.remaining }

// bucket is the token bucket of one tenant.
type bucket struct {
	limit         Limit
	configuration uint64
	// level is how many requests may be granted at once, as of at. It is negative if more requests
	// passed unchecked than there were tokens.
	level float64
	at    time.Duration
	// refused is the decayed number of refused requests.
	refused float64
	// timely is the decayed number of timely requests.
	timely float64
	// began is when this owner first heard of the tenant, initial the level that it started with,
	// and reportedAt the time of the former owner's report for it.
	began      time.Duration
	initial    float64
	reportedAt time.Duration
	// sequences holds the sequence numbers by router.
	sequences map[string]*sequences
}

// Limiter holds the buckets of an owner during one term. It is not safe for concurrent use.
type Limiter struct {
	tolerance Tolerance
	began     time.Duration
	swept     time.Duration
	buckets   map[string]*bucket
}

// NewLimiter returns the limiter of an owner whose term began at a time.
func NewLimiter(tolerance Tolerance, began time.Duration) *Limiter {
	return &Limiter{tolerance: tolerance, began: began, swept: began, buckets: make(map[string]*bucket)}
}

// Take decides on a request and charges it if granted.
func (l *Limiter) Take(request Request, now time.Duration) Decision {
	l.sweep(now)
	found := l.bucket(request, now)
	found.advance(now)
	found.reconcile(request)
	if found.isCharged(request) {
		return found.grant(request)
	}
	if !request.late {
		found.timely++
	}
	if found.hasRoom(request) {
		found.charge(request)
		return found.grant(request)
	}
	found.refused++
	return Decision{retryAfter: found.retryAfter()}
}

// bucket returns the tenant's bucket, updated to the newest limit that a router has sent.
func (l *Limiter) bucket(request Request, now time.Duration) *bucket {
	found, known := l.buckets[request.tenant]
	if !known {
		initial := l.initialLevel(request, now)
		found = &bucket{
			limit: request.limit, configuration: request.configuration, level: initial, at: now,
			began: now, initial: initial, reportedAt: now - request.age, sequences: make(map[string]*sequences),
		}
		if request.remaining < 0 {
			found.reportedAt = now - ownerChangeWindow
		}
		l.buckets[request.tenant] = found
	} else {
		l.lowerInitial(found, request, now)
	}
	if request.configuration > found.configuration {
		found.limit, found.configuration = request.limit, request.configuration
	}
	return found
}

// hasRoom reports whether a request fits. A timely one also fits if the rate earns its token within
// its maximum wait; a late one must leave the tokens that timely ones are expected to use.
func (b *bucket) hasRoom(request Request) bool {
	if request.late {
		reserve := min(b.timely*reserveWindow.Seconds()/timelyDecay.Seconds(), (b.limit.burst-1)/2)
		return b.level >= 1+reserve
	}
	return b.level+b.limit.perSecond*request.maxWait.Seconds() >= 1
}

// grant returns the response to a charged request. If the level is negative, the request waits
// until the rate has made up for it.
func (b *bucket) grant(request Request) Decision {
	decided := Decision{granted: true, remaining: uint32(max(0, b.level))}
	if b.level < 0 && b.limit.perSecond > 0 {
		owed := time.Duration(-b.level / b.limit.perSecond * float64(time.Second))
		decided.wait = min(owed, request.maxWait)
	}
	return decided
}

// initialLevel returns the level at which a tenant's bucket starts.
func (l *Limiter) initialLevel(request Request, now time.Duration) float64 {
	level := max(freshTokens, freshFraction*l.tolerance.excess(request.limit)) + request.limit.perSecond*(now-l.began).Seconds()
	if request.remaining >= 0 && request.age <= ownerChangeWindow {
		level = max(level, request.remaining+request.limit.perSecond*request.age.Seconds())
	}
	return min(request.limit.burst, level)
}

// lowerInitial applies a former owner's report that is newer than the one that the bucket started
// with. Reports after the bucket was created are this owner's own.
func (l *Limiter) lowerInitial(found *bucket, request Request, now time.Duration) {
	reportedAt := now - request.age
	if request.remaining < 0 || now-found.began > ownerChangeWindow || reportedAt <= found.reportedAt || reportedAt >= found.began {
		return
	}
	request.age = found.began - reportedAt
	if initial := l.initialLevel(request, found.began); initial < found.initial {
		found.level -= found.initial - initial
		found.initial = initial
	}
	found.reportedAt = reportedAt
}

// advance adds the tokens earned since the last request.
func (b *bucket) advance(now time.Duration) {
	elapsed := max(0, now-b.at)
	b.level = min(b.limit.burst, b.level+b.limit.perSecond*elapsed.Seconds())
	b.refused *= math.Exp(-elapsed.Seconds() / refusedDecay.Seconds())
	b.timely *= math.Exp(-elapsed.Seconds() / timelyDecay.Seconds())
	b.at = now
}

// retryAfter estimates when all recently refused requests would have been granted.
func (b *bucket) retryAfter() time.Duration {
	if b.limit.perSecond <= 0 {
		return maxRetryAfter
	}
	seconds := (max(1, b.refused) - b.level) / b.limit.perSecond
	wait := time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	return max(minRetryAfter, wait)
}

// sweep removes idle tenants.
func (l *Limiter) sweep(now time.Duration) {
	if now-l.swept < sweepInterval {
		return
	}
	l.swept = now
	for tenant, found := range l.buckets {
		if now-found.at > idleTimeout {
			delete(l.buckets, tenant)
		}
	}
}
