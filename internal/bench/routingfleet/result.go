package routingfleet

import (
	"slices"
	"time"
)

// totals holds the counters of a whole run, including warm-up.
type totals struct {
	calls         int
	refusals      int
	attempts      int
	started       int
	retries       int
	hedges        int
	cacheEvents   int
	snapshots     int
	drainedAt     time.Duration
	sentToLeaving int
	lastToLeaving time.Duration
}

// GoodputTTFT is the maximum time to first token of an answer that counts as
// goodput.
const GoodputTTFT = 2 * time.Second

// Result holds the measurements of one run, taken after warm-up unless stated
// otherwise.
type Result struct {
	Policy string
	// Requests counts the distinct requests, Answered those with a complete answer,
	// Refused those whose last call was refused, and Lost those whose outcome is
	// unknown to the client.
	Requests int
	Answered int
	Refused  int
	Lost     int
	// TTFT holds the sorted times from the first call to the first token of the
	// answered requests.
	TTFT []time.Duration
	// Hinted counts the requests whose last attempt went to a server with a
	// prefix-cache hint.
	Hinted int
	// PrefixTokens counts prompt tokens served from prefix caches, PrefillTokens
	// those computed.
	PrefixTokens  uint64
	PrefillTokens uint64
	// Busy is the fraction of time that the engines spent in steps.
	Busy float64
	// Calls counts the requests that reached a gateway, resends included, Attempts
	// those sent to servers, and Retries and Hedges the additional attempts, all
	// over the whole run.
	Calls    int
	Attempts int
	Retries  int
	Hedges   int
	// CacheEvents and Snapshots count what gateways read over the whole run.
	CacheEvents int
	Snapshots   int
	// MeasuredAttempts counts the attempts of the requests in Requests.
	MeasuredAttempts int
	// GoodPerSecond counts the complete answers with a first token within
	// GoodputTTFT, and RequestsPerSecond the requests, by the second of sending.
	GoodPerSecond     []int
	RequestsPerSecond []int
	// LastSentToLeaving is the time from the start of the first drain to the last
	// attempt sent to a leaving server; zero if there was none. SentToLeaving counts
	// these attempts. Both cover the whole run.
	LastSentToLeaving time.Duration
	SentToLeaving     int
}

// HitRate returns the fraction of prompt tokens served from prefix caches.
func (r *Result) HitRate() float64 {
	all := r.PrefixTokens + r.PrefillTokens
	if all == 0 {
		return 0
	}
	return float64(r.PrefixTokens) / float64(all)
}

func (f *fleet) result() Result {
	seconds := int(f.scenario.End()/time.Second) + 1
	result := Result{
		Policy: f.policy.Name, Calls: f.totals.calls, Attempts: f.totals.attempts,
		Retries: f.totals.retries, Hedges: f.totals.hedges,
		CacheEvents: f.totals.cacheEvents, Snapshots: f.totals.snapshots,
		SentToLeaving: f.totals.sentToLeaving,
		GoodPerSecond: make([]int, seconds), RequestsPerSecond: make([]int, seconds),
	}
	if f.totals.lastToLeaving > 0 {
		result.LastSentToLeaving = f.totals.lastToLeaving - f.totals.drainedAt
	}
	for index := range f.requests {
		f.addToResult(index, &result)
	}
	slices.Sort(result.TTFT)
	end := f.engineTotals()
	result.PrefixTokens = end.PrefixTokens - f.warmupTotals.PrefixTokens
	result.PrefillTokens = end.PrefillTokens - f.warmupTotals.PrefillTokens
	length := f.queue.Now() - f.scenario.Warmup
	result.Busy = float64(end.Busy-f.warmupTotals.Busy) / float64(length) / float64(len(f.nodes))
	return result
}

func (f *fleet) addToResult(index int, result *Result) {
	spec := &f.arrivals[index]
	if spec.at < f.scenario.Warmup || spec.at >= f.scenario.End() {
		return
	}
	entry := &f.requests[index]
	second := int(spec.at / time.Second)
	result.Requests++
	result.RequestsPerSecond[second]++
	result.MeasuredAttempts += len(entry.attempts)
	if entry.hinted {
		result.Hinted++
	}
	switch entry.state {
	case stateDone:
		result.Answered++
		result.TTFT = append(result.TTFT, entry.firstAt-spec.at)
		if entry.firstAt-spec.at <= GoodputTTFT {
			result.GoodPerSecond[second]++
		}
	case stateRefused:
		result.Refused++
	default:
		result.Lost++
	}
}

// Quantile returns a quantile of a sorted slice without interpolation.
func Quantile(sorted []time.Duration, quantile float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(quantile * float64(len(sorted)))
	return sorted[min(rank, len(sorted)-1)]
}
