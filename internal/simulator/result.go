package simulator

import (
	"slices"
	"time"

	"rockwind.example/rockwind/internal/engine"
)

// onlineRecord follows one online request. Times are the client's.
type onlineRecord struct {
	index    int
	arrival  arrival
	server   int
	attempts int
	firstAt  time.Duration
	doneAt   time.Duration
	refused  bool
}

// batchTotals counts batch work.
type batchTotals struct {
	items  int
	cost   float64
	pauses int
	// series is the cost completed in each second of the run.
	series []float64
}

// completed books an item that is done.
func (f *fleet) completed(entry *item) {
	entry.job.left--
	f.sampleDone(entry)
	if f.onCompleted != nil {
		f.onCompleted(entry)
	}
	now := f.clock.Now()
	second := int(now / time.Second)
	for len(f.totals.series) <= second {
		f.totals.series = append(f.totals.series, 0)
	}
	f.totals.series[second] += entry.cost()
	if now < f.scenario.Warmup || now >= f.scenario.End() {
		return
	}
	f.totals.items++
	f.totals.cost += entry.cost()
}

// Result is what one run measured between warm-up and end.
type Result struct {
	Policy string
	// Seconds is the time measured.
	Seconds float64
	// Requests counts online requests, Refused those refused or lost, and
	// Unfinished those without a whole answer at the end.
	Requests   int
	Refused    int
	Unfinished int
	// TTFT and TPOT hold the sorted times to the first token, and per token
	// after it, of the online requests that finished.
	TTFT []time.Duration
	TPOT []time.Duration
	// BatchItems and BatchCost count the batch work completed.
	BatchItems int
	BatchCost  float64
	// BatchPerSecond is the cost of the batch work completed in each second,
	// warm-up included.
	BatchPerSecond []float64
	// Pauses counts items paused.
	Pauses int
	// Engines sums what all engines did, warm-up included.
	Engines engine.Totals
	// Served lists the batch service over time, for the shares experiment.
	Served []ServiceSample
}

func (f *fleet) result() Result {
	result := Result{
		Policy: f.policy.Name, Seconds: f.scenario.Measured.Seconds(), BatchItems: f.totals.items, BatchCost: f.totals.cost,
		BatchPerSecond: f.totals.series, Pauses: f.totals.pauses,
	}
	if f.sampling != nil {
		result.Served = f.sampling.samples
	}
	for index := range f.online {
		f.measure(&f.online[index], &result)
	}
	slices.Sort(result.TTFT)
	slices.Sort(result.TPOT)
	for index := range f.nodes {
		totals := f.nodes[index].engine.Totals()
		result.Engines.PrefillTokens += totals.PrefillTokens
		result.Engines.PrefixTokens += totals.PrefixTokens
		result.Engines.TokensOnline += totals.TokensOnline
		result.Engines.TokensBatch += totals.TokensBatch
		result.Engines.Preempted += totals.Preempted
		result.Engines.Busy += totals.Busy
	}
	return result
}

func (f *fleet) measure(record *onlineRecord, result *Result) {
	at := record.arrival.at
	if at < f.scenario.Warmup || at >= f.scenario.End() {
		return
	}
	result.Requests++
	switch {
	case record.refused:
		result.Refused++
	case record.doneAt == 0:
		result.Unfinished++
	default:
		result.TTFT = append(result.TTFT, record.firstAt-at)
		tokens := max(1, record.arrival.shape.output-1)
		result.TPOT = append(result.TPOT, (record.doneAt-record.firstAt)/time.Duration(tokens))
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
