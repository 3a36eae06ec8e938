package witness

import (
	"fmt"
	"slices"
	"time"
)

// Rules about tenants.
const (
	// RateExceeded: more requests of a tenant ran within RateSpan than its rate limit allows.
	RateExceeded Rule = "rate exceeded"
	// RefusedWithinRate: a request of a tenant within its rate limit was refused by the limit
	// in a fault-free period.
	RefusedWithinRate Rule = "refused within its rate"
	// WrongTenant: a backend got a request for no tenant, for another tenant than that of its
	// API key, or with an unknown API key; or the API key itself was forwarded to it.
	WrongTenant Rule = "wrong tenant"
)

const (
	// Rates are checked over each RateSpan. RateTolerance is the fraction, and RateSlack the
	// number of requests, by which they may be exceeded when the owner of a counter changes.
	RateSpan      = 5 * time.Second
	RateTolerance = 0.1
	RateSlack     = 20
)

// Rate is the rate limit of a tenant.
type Rate struct {
	perSecond float64
	burst     float64
}

// NewRate returns a limit in requests per second with a burst.
func NewRate(perSecond, burst float64) Rate { return Rate{perSecond: perSecond, burst: burst} }

// maximum returns how many requests may run within a span.
func (r Rate) maximum(span time.Duration) int {
	return int((r.perSecond*span.Seconds()+r.burst)*(1+RateTolerance)) + RateSlack
}

// tenantRun records when a request of a tenant was sent and first ran.
type tenantRun struct{ sent, ran time.Duration }

// tenant is what was recorded of the requests of a tenant.
type tenant struct {
	rate Rate
	sent map[string]time.Duration
	runs []tenantRun
}

// SetRateLimit adds a tenant with a rate limit.
func (w *Witness) SetRateLimit(name string, rate Rate) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.tenants[name] = &tenant{rate: rate, sent: make(map[string]time.Duration)}
}

// SentForTenant records that a tenant sends a request.
func (w *Witness) SentForTenant(name, id string, at time.Duration) {
	w.Sent(id, false)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if known := w.tenants[name]; known != nil {
		known.sent[id] = at
	}
}

// RanForTenant records that a backend started a request that was forwarded for a tenant.
func (w *Witness) RanForTenant(name, id, server string, at time.Duration) {
	w.Ran(id, server, at)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.tenants[name]
	if known == nil {
		w.report(WrongTenant, id, fmt.Sprintf("it ran for %q", name), at)
		return
	}
	sent, pending := known.sent[id]
	if !pending {
		if len(w.requests[id].runs) == 1 {
			w.report(WrongTenant, id, fmt.Sprintf("it ran for %q, which did not send it", name), at)
		}
		return
	}
	// A request that runs again counts once.
	delete(known.sent, id)
	known.runs = append(known.runs, tenantRun{sent: sent, ran: at})
}

// checkRates checks each span that ends with a run. It counts only requests sent within the
// span, as a request may run long after the limiter admitted it. w.mutex must be held.
func (w *Witness) checkRates() {
	for name, each := range w.tenants {
		slices.SortFunc(each.runs, func(a, b tenantRun) int { return int(a.ran - b.ran) })
		maximum := each.rate.maximum(RateSpan)
		for last, run := range each.runs {
			if count := each.countInSpan(last); count > maximum {
				w.report(RateExceeded, name, fmt.Sprintf("%d requests ran within %v, %d are allowed", count, RateSpan, maximum), run.ran)
				break
			}
		}
	}
}

// countInSpan counts the requests sent and run within the span that ends with run last.
func (t *tenant) countInSpan(last int) int {
	begin := t.runs[last].ran - RateSpan
	count := 0
	for index := last; index >= 0 && t.runs[index].ran >= begin; index-- {
		if t.runs[index].sent >= begin {
			count++
		}
	}
	return count
}
