package tenantlimits_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/tenantlimits"
)

const tenantName = "clinic"

// gateways is a model of gateways that share one tenant's limits.
type gateways struct {
	limits   *rockwindpb.Limits
	limiters []*tenantlimits.Limiter
	running  [][]*tenantlimits.Grant
	now      time.Time
	started  time.Time
	admitted int
}

func newGateways(t *rapid.T) *gateways {
	g := &gateways{
		limits: &rockwindpb.Limits{
			RequestsPerSecond: rapid.SampledFrom([]float64{0, 0.5, 20, 500}).Draw(t, "requests"),
			Concurrency:       rapid.SampledFrom([]uint32{0, 4, 9}).Draw(t, "concurrency"),
			TokensPerSecond:   rapid.SampledFrom([]float64{0, 100, 5000}).Draw(t, "tokens"),
		},
		now: time.Unix(1_000_000, 0),
	}
	g.started = g.now
	for range rapid.IntRange(1, 4).Draw(t, "gateways") {
		g.limiters = append(g.limiters, tenantlimits.New())
	}
	for _, limiter := range g.limiters {
		limiter.SetGateways(len(g.limiters))
	}
	g.running = make([][]*tenantlimits.Grant, len(g.limiters))
	return g
}

// admit tries a request at a gateway.
func (g *gateways) admit(t *rapid.T, at int) {
	grant, err := g.limiters[at].Admit(tenantName, g.limits, g.now)
	if err == nil {
		g.admitted++
		g.running[at] = append(g.running[at], grant)
		return
	}
	refusal := fault.From(err)
	if refusal.Kind != fault.LimitReached || refusal.Ran != fault.NotRun || refusal.RetryAfter < tenantlimits.MinimumRetryAfter {
		t.Fatalf("refused with %+v", refusal)
	}
	if tenantlimits.Unlimited(g.limits) {
		t.Fatal("refused without limits")
	}
}

// end ends the oldest request of a gateway.
func (g *gateways) end(at int, tokens float64) {
	if len(g.running[at]) == 0 {
		return
	}
	g.running[at][0].Done(tokens)
	g.running[at] = g.running[at][1:]
}

func (g *gateways) check(t *rapid.T) {
	elapsed := g.now.Sub(g.started).Seconds()
	parts := float64(len(g.limiters))
	if rate := g.limits.GetRequestsPerSecond(); rate > 0 {
		// Each gateway may use a second's part, or one request, at once.
		if most := rate*elapsed + max(rate, parts) + parts; float64(g.admitted) > most {
			t.Fatalf("%d requests admitted in %v s, limit %v a second", g.admitted, elapsed, rate)
		}
	}
	running := 0
	for at := range g.running {
		running += len(g.running[at])
	}
	if limit := g.limits.GetConcurrency(); limit > 0 && running > max(int(limit), len(g.limiters)) {
		t.Fatalf("%d requests run, limit %d", running, limit)
	}
}

func TestLimitsHoldOverAllGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGateways(t)
		at := rapid.IntRange(0, len(g.limiters)-1)
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) { g.admit(t, at.Draw(t, "gateway")) },
			"end":   func(t *rapid.T) { g.end(at.Draw(t, "gateway"), rapid.Float64Range(0, 500).Draw(t, "tokens")) },
			"pass": func(t *rapid.T) {
				g.now = g.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": g.check,
		})
	})
}

// TestRetryAfterIsEnough checks that a request that waits as advised is admitted, if nothing else
// used the limit in between.
func TestRetryAfterIsEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		given := &rockwindpb.Limits{
			RequestsPerSecond: rapid.Float64Range(0.1, 100).Draw(t, "requests"),
			TokensPerSecond:   rapid.Float64Range(10, 1000).Draw(t, "tokens"),
		}
		limiter, now := tenantlimits.New(), time.Unix(1_000_000, 0)
		for range rapid.IntRange(1, 300).Draw(t, "tries") {
			grant, err := limiter.Admit(tenantName, given, now)
			if err == nil {
				grant.Done(rapid.Float64Range(0, 50).Draw(t, "charged"))
				continue
			}
			// One limit may hide the other, so there are two waits at most.
			for range 2 {
				now = now.Add(fault.From(err).RetryAfter)
				if grant, err = limiter.Admit(tenantName, given, now); err == nil {
					grant.Done(0)
					return
				}
			}
			t.Fatalf("refused after both waits: %v", err)
		}
	})
}

// TestRetryAfterAllowsForRounding uses a level that rounds to just below one.
func TestRetryAfterAllowsForRounding(t *testing.T) {
	given := &rockwindpb.Limits{RequestsPerSecond: 0.1, TokensPerSecond: 16.921875}
	limiter, now := tenantlimits.New(), time.Unix(1_000_000, 0)
	grant, err := limiter.Admit(tenantName, given, now)
	if err != nil {
		t.Fatal(err)
	}
	grant.Done(23.640625)
	for range 2 {
		if _, err = limiter.Admit(tenantName, given, now); err == nil {
			t.Fatal("admitted above the limits")
		}
		now = now.Add(fault.From(err).RetryAfter)
	}
	if _, err := limiter.Admit(tenantName, given, now); err != nil {
		t.Fatalf("refused after both waits: %v", err)
	}
}

func TestAllowancesMoveLimitsToTheTraffic(t *testing.T) {
	given := &rockwindpb.Limits{RequestsPerSecond: 10, Concurrency: 10}
	limiter, now := tenantlimits.New(), time.Unix(1_000_000, 0)
	limiter.SetGateways(10)
	admit := func(count int) (admitted int) {
		for range count {
			if _, err := limiter.Admit(tenantName, given, now); err == nil {
				admitted++
			}
		}
		return admitted
	}
	if admitted := admit(5); admitted != 1 {
		t.Fatalf("a tenth of the limits admitted %d at once", admitted)
	}
	usage := limiter.Usage(now)
	if len(usage) != 1 || usage[0].GetRequests() != 5 || usage[0].GetConcurrency() != 2 {
		t.Fatalf("demand is reported as %v", usage)
	}
	limiter.Restore(usage)
	if again := limiter.Usage(now); again[0].GetRequests() != 5 {
		t.Fatalf("an undelivered report became %v", again)
	}
	limiter.SetAllowances([]*rockwindpb.TenantAllowance{{Tenant: tenantName, RequestsPerSecond: 10, Concurrency: 10}}, now)
	now = now.Add(time.Second)
	if admitted := admit(20); admitted != 9 {
		t.Fatalf("the whole limits admitted %d beside one running", admitted)
	}
	now = now.Add(tenantlimits.AllowanceLifetime)
	if admitted := admit(5); admitted != 0 {
		t.Fatalf("an allowance that is too old admitted %d", admitted)
	}
}
