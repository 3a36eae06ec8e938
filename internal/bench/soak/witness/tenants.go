package witness

import (
	"fmt"
	"slices"
	"time"
)

// Rules about tenants.
const (
	// RateExceeded: more requests of a tenant ran within a span than its rate allows.
	RateExceeded Rule = "rate exceeded"
	// RefusedWithinRate: a request of a tenant within its rate was refused for the rate in calm
	// times.
	RefusedWithinRate Rule = "refused within its rate"
	// WrongTenant: a back end got a request under another tenant than its key's, or without a
	// tenant; or one whose key no configuration holds; or it was told a key.
	WrongTenant Rule = "wrong tenant"
)

const (
	// RateSpan is the span over which a rate is judged, RateTolerance the part beyond it that
	// owners of a count may grant as they change, and RateSlack the requests.
	RateSpan      = 5 * time.Second
	RateTolerance = 0.1
	RateSlack     = 20
)

// Rate is the limit of a tenant's requests.
type Rate struct {
	perSecond float64
	burst     float64
}

// NewRate describes a limit of so many requests a second with a burst.
func NewRate(perSecond, burst float64) Rate { return Rate{perSecond: perSecond, burst: burst} }

// most is how many requests may run within a span.
func (r Rate) most(span time.Duration) int {
	return int((r.perSecond*span.Seconds()+r.burst)*(1+RateTolerance)) + RateSlack
}

// tenantRun is a request of a tenant with when it was sent and when it first ran.
type tenantRun struct{ sent, ran time.Duration }

// tenant is what was seen of a tenant's requests.
type tenant struct {
	rate Rate
	sent map[string]time.Duration
	runs []tenantRun
}

// SetRateLimit tells of a tenant with a limit.
func (w *Witness) SetRateLimit(name string, rate Rate) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.tenants[name] = &tenant{rate: rate, sent: make(map[string]time.Duration)}
}

// SentForTenant notes that a tenant sends a request.
func (w *Witness) SentForTenant(name, id string, at time.Duration) {
	w.Sent(id, false)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if known := w.tenants[name]; known != nil {
		known.sent[id] = at
	}
}

// RanForTenant notes that a back end began to work on a request that it was told to be a tenant's.
func (w *Witness) RanForTenant(name, id, server string, at time.Duration) {
	w.Ran(id, server, at)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.tenants[name]
	if known == nil {
		w.report(WrongTenant, id, fmt.Sprintf("it ran for %q", name), at)
		return
	}
	sent, own := known.sent[id]
	if !own {
		if len(w.requests[id].runs) == 1 {
			w.report(WrongTenant, id, fmt.Sprintf("it ran for %q, which did not send it", name), at)
		}
		return
	}
	// A request that runs again counts once.
	delete(known.sent, id)
	known.runs = append(known.runs, tenantRun{sent: sent, ran: at})
}

// judgeRates looks at each span that ends with a run. A request counts that was sent and ran
// within it: one that was granted may be long on its way. The mutex is held.
func (w *Witness) judgeRates() {
	for name, each := range w.tenants {
		slices.SortFunc(each.runs, func(a, b tenantRun) int { return int(a.ran - b.ran) })
		most := each.rate.most(RateSpan)
		for last, run := range each.runs {
			if count := each.within(last); count > most {
				w.report(RateExceeded, name, fmt.Sprintf("%d requests ran within %v, %d are allowed", count, RateSpan, most), run.ran)
				break
			}
		}
	}
}

// within counts the requests that were sent and ran within the span that ends with a run.
func (t *tenant) within(last int) int {
	begin := t.runs[last].ran - RateSpan
	count := 0
	for place := last; place >= 0 && t.runs[place].ran >= begin; place-- {
		if t.runs[place].sent >= begin {
			count++
		}
	}
	return count
}
