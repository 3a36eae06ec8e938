package routingfleet

import (
	"slices"
	"time"
)

// totals counts over a whole run.
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

// GoodputTTFT is the time to the first token within which an answer is of use to
// its caller.
const GoodputTTFT = 2 * time.Second

// Result is what one run measured between warm-up and end.
type Result struct {
	Policy string
	// Requests counts the distinct requests, Answered those that got a whole
	// answer, Refused those that got "not run" as the last word, and Lost those
	// whose outcome the caller does not know.
	Requests int
	Answered int
	Refused  int
	Lost     int
	// TTFT holds the sorted times from the first call to the first token.
	TTFT []time.Duration
	// Hinted counts the requests that went to a hinted server.
	Hinted int
	// PrefixTokens came from prefix caches, PrefillTokens were computed.
	PrefixTokens  uint64
	PrefillTokens uint64
	// Busy is the part of the engines' time spent in steps.
	Busy float64
	// Calls, Attempts, Retries and Hedges count over the whole run: requests as
	// gateways got them, sendings to engines, and those of them that were not
	// the first.
	Calls    int
	Attempts int
	Retries  int
	Hedges   int
	// CacheEvents and Snapshots count what gateways read.
	CacheEvents int
	Snapshots   int
	// MeasuredAttempts counts the sendings of the requests measured.
	MeasuredAttempts int
	// GoodPerSecond counts whole answers whose first token came within GoodWithin, by
	// the second in which the request was sent, and SentAt the requests.
	GoodPerSecond     []int
	RequestsPerSecond []int
	// LastSentToLeaving is the time from the begin of a drain to the last new
	// request at a leaving server; zero when none was sent.
	LastSentToLeaving time.Duration
	SentToLeaving     int
}

// HitRate is the part of prompt tokens that came from prefix caches.
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
		f.measure(index, &result)
	}
	slices.Sort(result.TTFT)
	end := f.engineTotals()
	result.PrefixTokens = end.PrefixTokens - f.warm.PrefixTokens
	result.PrefillTokens = end.PrefillTokens - f.warm.PrefillTokens
	length := f.queue.Now() - f.scenario.Warmup
	result.Busy = float64(end.Busy-f.warm.Busy) / float64(length) / float64(len(f.nodes))
	return result
}

func (f *fleet) measure(index int, result *Result) {
	drawn := &f.arrivals[index]
	if drawn.at < f.scenario.Warmup || drawn.at >= f.scenario.End() {
		return
	}
	entry := &f.requests[index]
	second := int(drawn.at / time.Second)
	result.Requests++
	result.RequestsPerSecond[second]++
	result.MeasuredAttempts += len(entry.attempts)
	if entry.hinted {
		result.Hinted++
	}
	switch entry.state {
	case stateDone:
		result.Answered++
		result.TTFT = append(result.TTFT, entry.firstAt-drawn.at)
		if entry.firstAt-drawn.at <= GoodputTTFT {
			result.GoodPerSecond[second]++
		}
	case stateRefused:
		result.Refused++
	default:
		result.Lost++
	}
}

// Quantile returns the quantile of a sorted list by the nearest rank.
func Quantile(sorted []time.Duration, quantile float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(quantile * float64(len(sorted)))
	return sorted[min(rank, len(sorted)-1)]
}
