// Package tenantlimits enforces the limits of tenants on requests per second, concurrency and tokens
// per second without a round trip: each gateway spends its own allowance of every limit. The
// control machines set the allowances at each exchange, from the use that all gateways report. A
// gateway always lets one request of a tenant run, so a concurrency limit below the number of
// gateways that the tenant uses is exceeded by at most that number. The package has no clock:
// times are arguments.
package tenantlimits

import (
	"math"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Constants of the limiter.
const (
	// burst is the capacity of a token bucket, in seconds of its rate.
	burst = 1.0
	// minimumRetryAfter is the least retry delay that is advised.
	minimumRetryAfter = 50 * time.Millisecond
	// maximumRetryAfter is the greatest retry delay that is advised.
	maximumRetryAfter = 30 * time.Second
	// concurrencyRetryAfter is the advised delay while a tenant's concurrency is exhausted.
	concurrencyRetryAfter = 250 * time.Millisecond
	// allowanceLifetime is how long an allowance is valid. Without a newer one, the gateway then
	// uses its equal part of the limit.
	allowanceLifetime = 30 * time.Second
	// idleTimeout is the time without requests after which a tenant is forgotten.
	idleTimeout = time.Minute
	// maximumGateways bounds the number of gateways by which a limit is divided.
	maximumGateways = 4096
)

// Limiter enforces the tenants' allowances at one gateway. It is safe for concurrent use.
type Limiter struct {
	mutex    sync.Mutex
	gateways int
	tenants  map[string]*tenant
}

// tenant is the state of one tenant with limits.
type tenant struct {
	limits      *rockwindpb.Limits
	allowance   *rockwindpb.TenantAllowance
	allowedAt   time.Time
	requests    bucket
	tokens      bucket
	running     uint32
	lastRequest time.Time
	used        usageCounts
}

// usageCounts counts what was used since the last report.
type usageCounts struct {
	requests float64
	tokens   float64
	peak     uint32
}

// bucket is a token bucket. Its level may be negative, because the cost of a request in tokens is
// known only when it ends.
type bucket struct {
	level  float64
	filled time.Time
}

// refill adds the tokens earned since the last call.
func (b *bucket) refill(rate float64, now time.Time) {
	capacity := max(rate*burst, 1)
	if b.filled.IsZero() {
		b.level = capacity
	} else if elapsed := now.Sub(b.filled).Seconds(); elapsed > 0 {
		b.level = min(b.level+rate*elapsed, capacity)
	}
	b.filled = now
}

// wait returns the time until the level reaches need, plus a millisecond for rounding.
func (b *bucket) wait(rate, need float64) time.Duration {
	if rate <= 0 {
		return maximumRetryAfter
	}
	seconds := (need - b.level) / rate
	return time.Duration(math.Ceil(seconds*1000)+1) * time.Millisecond
}

// New returns a limiter without tenants.
func New() *Limiter {
	return &Limiter{gateways: 1, tenants: make(map[string]*tenant)}
}

// SetGateways sets the number of gateways among which a tenant's limits are divided while it has
// no allowance.
func (l *Limiter) SetGateways(count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.gateways = min(max(count, 1), maximumGateways)
}

// Grant is the admission of one request. Done must be called once.
type Grant struct {
	limiter *Limiter
	tenant  *tenant
}

// unlimited reports whether no limit is set.
func unlimited(limits *rockwindpb.Limits) bool {
	return limits.GetRequestsPerSecond() <= 0 && limits.GetConcurrency() == 0 && limits.GetTokensPerSecond() <= 0
}

// Admit takes one request out of the tenant's allowance. If the allowance is exhausted, it returns
// fault.LimitReached as not run, with a retry delay.
func (l *Limiter) Admit(name string, limits *rockwindpb.Limits, now time.Time) (*Grant, error) {
	if unlimited(limits) {
		return &Grant{}, nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := l.tenants[name]
	if found == nil {
		found = &tenant{}
		l.tenants[name] = found
	}
	found.limits = limits
	found.lastRequest = now
	// Refused requests count as demand too, so that the control machines can move allowances to
	// where the requests are.
	found.used.requests++
	found.used.peak = max(found.used.peak, found.running+1)
	if err := found.admit(l.gateways, now); err != nil {
		return nil, err
	}
	found.running++
	return &Grant{limiter: l, tenant: found}, nil
}

func (t *tenant) admit(gateways int, now time.Time) error {
	allowed := t.allowed(gateways, now)
	if t.limits.GetConcurrency() > 0 && t.running >= allowed.concurrency {
		return limitReached("concurrency", concurrencyRetryAfter)
	}
	if t.limits.GetTokensPerSecond() > 0 {
		t.tokens.refill(allowed.tokens, now)
		if t.tokens.level <= 0 {
			return limitReached("tokens_per_second", t.tokens.wait(allowed.tokens, 1))
		}
	}
	if t.limits.GetRequestsPerSecond() > 0 {
		t.requests.refill(allowed.requests, now)
		if t.requests.level < 1 {
			return limitReached("requests_per_second", t.requests.wait(allowed.requests, 1))
		}
		t.requests.level--
	}
	return nil
}

func limitReached(limit string, after time.Duration) error {
	after = min(max(after, minimumRetryAfter), maximumRetryAfter)
	return fault.Newf(fault.LimitReached, "send the request again after the time in Retry-After, or ask for a higher limit",
		"the tenant's limit %s is used up", limit).WithRan(fault.NotRun).WithRetryAfter(after)
}

// allowed is the part of the limits that this gateway may use.
type allowed struct {
	requests    float64
	tokens      float64
	concurrency uint32
}

func (t *tenant) allowed(gateways int, now time.Time) allowed {
	if t.allowance != nil && now.Sub(t.allowedAt) < allowanceLifetime {
		return allowed{
			requests:    min(t.allowance.GetRequestsPerSecond(), t.limits.GetRequestsPerSecond()),
			tokens:      min(t.allowance.GetTokensPerSecond(), t.limits.GetTokensPerSecond()),
			concurrency: max(1, min(t.allowance.GetConcurrency(), t.limits.GetConcurrency())),
		}
	}
	return allowed{
		requests:    t.limits.GetRequestsPerSecond() / float64(gateways),
		tokens:      t.limits.GetTokensPerSecond() / float64(gateways),
		concurrency: max(1, t.limits.GetConcurrency()/uint32(gateways)),
	}
}

// Done ends the request and charges the tokens that it used.
func (g *Grant) Done(tokens float64) {
	if g.tenant == nil {
		return
	}
	g.limiter.mutex.Lock()
	defer g.limiter.mutex.Unlock()
	g.tenant.running--
	g.tenant.tokens.level -= tokens
	g.tenant.used.tokens += tokens
}

// SetAllowances replaces the allowances of known tenants.
func (l *Limiter) SetAllowances(allowances []*rockwindpb.TenantAllowance, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, allowance := range allowances {
		if found := l.tenants[allowance.GetTenant()]; found != nil {
			found.allowance = allowance
			found.allowedAt = now
		}
	}
}

// Usage returns and resets what the tenants have used since the last call, and forgets tenants that
// have been idle for long.
func (l *Limiter) Usage(now time.Time) []*rockwindpb.TenantUsage {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var usage []*rockwindpb.TenantUsage
	for name, found := range l.tenants {
		if found.used != (usageCounts{}) || found.running > 0 {
			usage = append(usage, &rockwindpb.TenantUsage{
				Tenant: name, Requests: found.used.requests, Tokens: found.used.tokens,
				Concurrency: max(found.used.peak, found.running),
			})
		}
		found.used = usageCounts{}
		if found.running == 0 && now.Sub(found.lastRequest) > idleTimeout {
			delete(l.tenants, name)
		}
	}
	return usage
}

// Restore adds back the usage of a report that was not delivered.
func (l *Limiter) Restore(usage []*rockwindpb.TenantUsage) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, report := range usage {
		if found := l.tenants[report.GetTenant()]; found != nil {
			found.used.requests += report.GetRequests()
			found.used.tokens += report.GetTokens()
			found.used.peak = max(found.used.peak, report.GetConcurrency())
		}
	}
}
