// Package requestrate counts the requests of tenants against their limits, summed over
// all routers of a site. One store counts for a tenant: the leader of the shard that
// OwnerOf names. A router asks it for each request before it offers the request to a
// server.
//
// A tenant's requests are a token bucket: it fills at the tenant's rate and holds its
// burst. What is counted is state of one leadership and is not written to disk; a new
// owner begins with what the one before told the router that asks first, where that is not
// old, or with nearly empty buckets, and goes by the newest such word that routers bring in
// its first second. So both together stay within the limit and its tolerance but for what
// was granted between that word and the change of owners.
//
// Of a tenant that asks for more than its limit, some are refused in any case; the requests
// that can still be answered in time are granted first. One of them may be granted a few
// tens of milliseconds ahead, and goes to a server when the rate has earned it. Those whose
// clients have come back too late get what the others leave.
//
// The package is pure: time is an argument, as a duration since an origin of the
// caller's choice.
package requestrate

import (
	"math"
	"time"

	"rockwind.example/rockwind/internal/quota"
)

const (
	// freshLevel is how many requests a new owner that was told nothing grants a tenant at
	// once before any time has passed: enough for a small tenant not to notice the change of
	// owners. Where a tolerance is set, a new owner grants freshPart of it; the rest is left
	// for requests that reach servers later than others, and for those let through unasked.
	freshLevel = 5.0
	freshPart  = 0.6
	// wordFor is how old the word of the owner before may be to be believed, and for how long
	// newer ones are heard: about as long as the stores need to elect another owner. Others
	// may have used up since what an older word left.
	wordFor = time.Second
	// smallestBurst is the burst of a tenant whose limit has none, as part of a second's
	// requests, and smallestBurstMost bounds it: requests do not come evenly spaced.
	smallestBurst     = 0.5
	smallestBurstMost = 8.0
	// refusedMemory is the time constant of the estimate of what is asked beyond the limit.
	refusedMemory = time.Second
	// shortestReturn and longestReturn bound the time to come back that is told.
	shortestReturn = 200 * time.Millisecond
	longestReturn  = 10 * time.Second
	// reserveFor is for how long ahead the requests that can be in time keep what they are
	// expected to ask for from those that cannot: a third of the shortest objectives. What
	// comes later finds what the rate has earned by then.
	reserveFor = 100 * time.Millisecond
	// timelyMemory is the time constant of the estimate of what they ask for.
	timelyMemory = time.Second
	// idleFor is after how long without requests a tenant is forgotten. Its bucket is full
	// by then at any rate of a request in ten seconds or more.
	idleFor = time.Minute
	// sweepInterval is the time between looks for tenants to forget.
	sweepInterval = 10 * time.Second
)

// OwnerOf names the shard whose leader counts for a tenant.
func OwnerOf(tenant string, shards int) uint32 { return quota.OwnerOf("tenant "+tenant, shards) }

// Limit is how many requests a tenant may make.
type Limit struct {
	perSecond float64
	burst     float64
}

// NewLimit returns a limit of so many requests a second and so many at once beyond them.
func NewLimit(perSecond float64, burst uint32) Limit {
	least := max(1, min(smallestBurst*perSecond, smallestBurstMost))
	return Limit{perSecond: perSecond, burst: max(float64(burst), least)}
}

// Tolerance says by how much a tenant's requests in a window may exceed its limit; the zero
// value is none.
type Tolerance struct {
	window   time.Duration
	part     float64
	requests float64
}

// NewTolerance returns the tolerance of a part of what the limit lets through in the window,
// and of so many requests beside it.
func NewTolerance(window time.Duration, part, requests float64) Tolerance {
	return Tolerance{window: window, part: part, requests: requests}
}

// of is how many requests beyond a limit are tolerated in the window.
func (t Tolerance) of(limit Limit) float64 {
	return t.part*(limit.perSecond*t.window.Seconds()+limit.burst) + t.requests
}

// Request is what a router asks for.
type Request struct {
	tenant   string
	limit    Limit
	number   uint64
	returned uint32
	// router asks in the given life of its process; question numbers what it asked, zero for
	// one that needs no number.
	router   string
	life     int64
	question uint64
	// passed and withheld are earlier questions that had no answer.
	passed   []uint64
	withheld []uint64
	// remaining is what an owner said last that the tenant had left, so long ago; negative
	// where none has.
	remaining float64
	age       time.Duration
	// refused is how many requests the router refused itself since it last asked.
	refused uint32
	// late tells that the answer cannot be in time any more, and wait is how long the request
	// may wait for its turn.
	late bool
	wait time.Duration
}

// NewRequest asks for one request of a tenant, under the limit of the configuration with
// the given number.
func NewRequest(tenant string, limit Limit, number uint64) Request {
	return Request{tenant: tenant, limit: limit, number: number, remaining: -1}
}

// FromRouter adds which router asks, in which life of its process, and the number of its question:
// one that is asked again under the same number counts once.
func (r Request) FromRouter(router string, life int64, question uint64) Request {
	r.router, r.life, r.question = router, life, question
	return r
}

// WithReturned adds how many requests that the router was granted have not run after all.
func (r Request) WithReturned(returned uint32) Request {
	r.returned = returned
	return r
}

// WithUnanswered adds the numbers of the router's questions that had no answer in time: those
// whose requests it let through, and those whose requests it did not. They may be told again.
func (r Request) WithUnanswered(passed, withheld []uint64) Request {
	r.passed, r.withheld = passed, withheld
	return r
}

// WithRemaining adds what an owner said last to the router that the tenant had left.
func (r Request) WithRemaining(remaining uint32, age time.Duration) Request {
	r.remaining, r.age = float64(remaining), age
	return r
}

// WithRefused adds how many requests the router refused itself, by what the owner had
// answered.
func (r Request) WithRefused(refused uint32) Request {
	r.refused = refused
	return r
}

// Late marks a request whose answer cannot be in time any more.
func (r Request) Late() Request {
	r.late = true
	return r
}

// WithMaxWait adds how long the request may wait for its turn once it is granted.
func (r Request) WithMaxWait(wait time.Duration) Request {
	r.wait = wait
	return r
}

// Decision is the answer to a request.
type Decision struct {
	granted   bool
	wait      time.Duration
	comeBack  time.Duration
	remaining uint32
}

// Granted tells whether the request is within the limit.
func (d Decision) Granted() bool { return d.granted }

// Wait is after how long a granted request is within the limit.
func (d Decision) Wait() time.Duration { return d.wait }

// RetryAfter is when the tenant is expected to have room, where the request is not granted.
func (d Decision) RetryAfter() time.Duration { return d.comeBack }

// Remaining is how many more requests the tenant could make at once.
func (d Decision) Remaining() uint32 { return d.remaining }

// bucket is the count of one tenant.
type bucket struct {
	limit  Limit
	number uint64
	// level is how many requests may be granted at once, below zero where more came
	// unasked than there was room for; it is that of the time at.
	level float64
	at    time.Duration
	// refused is how many requests were refused, each weighted by its age.
	refused float64
	// timely is how many asked lately that could be in time, each weighted by its age.
	timely float64
	// began is when this owner first heard of the tenant, and first the level that it had
	// then, by what the owner before had told at wordAt.
	began  time.Duration
	first  float64
	wordAt time.Duration
	// asked holds which questions of each router were counted.
	asked map[string]*questions
}

// Limiter is what the owner of tenants counts in one term. It belongs to one goroutine at a
// time.
type Limiter struct {
	tolerance Tolerance
	began     time.Duration
	swept     time.Duration
	buckets   map[string]*bucket
}

// NewLimiter returns the counts of an owner whose term began at a time.
func NewLimiter(tolerance Tolerance, began time.Duration) *Limiter {
	return &Limiter{tolerance: tolerance, began: began, swept: began, buckets: make(map[string]*bucket)}
}

// Take decides on a request, and counts it where it is granted.
func (c *Limiter) Take(request Request, now time.Duration) Decision {
	c.sweep(now)
	held := c.bucket(request, now)
	held.advance(now)
	held.settle(request)
	if held.counted(request) {
		return held.grant(request)
	}
	if !request.late {
		held.timely++
	}
	if held.room(request) {
		held.count(request)
		return held.grant(request)
	}
	held.refused++
	return Decision{comeBack: held.comeBack()}
}

// bucket returns the tenant's bucket, under the newest limit that a router has told.
func (c *Limiter) bucket(request Request, now time.Duration) *bucket {
	held, known := c.buckets[request.tenant]
	if !known {
		first := c.firstLevel(request, now)
		held = &bucket{
			limit: request.limit, number: request.number, level: first, at: now,
			began: now, first: first, wordAt: now - request.age, asked: make(map[string]*questions),
		}
		if request.remaining < 0 {
			held.wordAt = now - wordFor
		}
		c.buckets[request.tenant] = held
	} else {
		c.lower(held, request, now)
	}
	if request.number > held.number {
		held.limit, held.number = request.limit, request.number
	}
	return held
}

// room tells whether there is room for a request: for one that can be in time, also if the
// rate earns it while it waits; for one that cannot, beyond what those will ask for.
func (b *bucket) room(request Request) bool {
	if request.late {
		reserve := min(b.timely*reserveFor.Seconds()/timelyMemory.Seconds(), (b.limit.burst-1)/2)
		return b.level >= 1+reserve
	}
	return b.level+b.limit.perSecond*request.wait.Seconds() >= 1
}

// grant is the answer to a request that was counted. What the tenant owes then is the time
// until the request is within the limit.
func (b *bucket) grant(request Request) Decision {
	decided := Decision{granted: true, remaining: uint32(max(0, b.level))}
	if b.level < 0 && b.limit.perSecond > 0 {
		owed := time.Duration(-b.level / b.limit.perSecond * float64(time.Second))
		decided.wait = min(owed, request.wait)
	}
	return decided
}

// firstLevel is what a tenant has left that this owner has not counted yet.
func (c *Limiter) firstLevel(request Request, now time.Duration) float64 {
	level := max(freshLevel, freshPart*c.tolerance.of(request.limit)) + request.limit.perSecond*(now-c.began).Seconds()
	if request.remaining >= 0 && request.age <= wordFor {
		level = max(level, request.remaining+request.limit.perSecond*request.age.Seconds())
	}
	return min(request.limit.burst, level)
}

// lower takes a newer word of the owner before than the one that the bucket began with. What
// this owner said itself is newer than the bucket.
func (c *Limiter) lower(held *bucket, request Request, now time.Duration) {
	wordAt := now - request.age
	if request.remaining < 0 || now-held.began > wordFor || wordAt <= held.wordAt || wordAt >= held.began {
		return
	}
	request.age = held.began - wordAt
	if first := c.firstLevel(request, held.began); first < held.first {
		held.level -= held.first - first
		held.first = first
	}
	held.wordAt = wordAt
}

// advance adds what the time since the last request has earned.
func (b *bucket) advance(now time.Duration) {
	elapsed := max(0, now-b.at)
	b.level = min(b.limit.burst, b.level+b.limit.perSecond*elapsed.Seconds())
	b.refused *= math.Exp(-elapsed.Seconds() / refusedMemory.Seconds())
	b.timely *= math.Exp(-elapsed.Seconds() / timelyMemory.Seconds())
	b.at = now
}

// comeBack estimates when all that were refused lately would have had room.
func (b *bucket) comeBack() time.Duration {
	if b.limit.perSecond <= 0 {
		return longestReturn
	}
	seconds := (max(1, b.refused) - b.level) / b.limit.perSecond
	wait := time.Duration(min(seconds, longestReturn.Seconds()) * float64(time.Second))
	return max(shortestReturn, wait)
}

// sweep forgets tenants that have not asked for long.
func (c *Limiter) sweep(now time.Duration) {
	if now-c.swept < sweepInterval {
		return
	}
	c.swept = now
	for tenant, held := range c.buckets {
		if now-held.at > idleFor {
			delete(c.buckets, tenant)
		}
	}
}
