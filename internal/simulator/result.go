package simulator

import (
	"slices"
	"time"

	"rockwind.example/rockwind/internal/engine"
)

// onlineRecord tracks one online request. Times are measured at the client.
type onlineRecord struct {
	index    int
	arrival  arrival
	server   int
	attempts int
	firstAt  time.Duration
	doneAt   time.Duration
	refused  bool
	// sentAt is when the last attempt was sent, and held is set if the request was refused as quarantined.
	sentAt time.Duration
	held   bool
	// produced is the number of tokens received of earlier attempts, and begunAt the software version that sent the
	// first one.
	produced int
	begunAt  int
	resumed  bool
	mixed    bool
}

// batchTotals holds counters of the batch work.
type batchTotals struct {
	items  int
	cost   float64
	pauses int
	// series is the completed cost in each second of the run.
	series []float64
}

// recordCompleted records a completed item.
func (f *fleet) recordCompleted(entry *item) {
	entry.job.left--
	f.sampleCompleted(entry)
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

// Result holds the measurements of one run, without the warm-up unless noted.
type Result struct {
	Policy string
	// Seconds is the length of the measured period.
	Seconds float64
	// Requests is the number of online requests, Refused those that were refused
	// or lost, and Unfinished those incomplete at the end of the run.
	Requests   int
	Refused    int
	Unfinished int
	// Resumed is the number of online requests whose stream was resumed at another engine, and Mixed that of those with
	// tokens of several software versions.
	Resumed int
	Mixed   int
	// TTFT and TPOT are the sorted times to first token and times per output token
	// of the completed online requests.
	TTFT []time.Duration
	TPOT []time.Duration
	// BatchItems and BatchCost are the number and the cost of completed batch items.
	BatchItems int
	BatchCost  float64
	// BatchPerSecond is the completed batch cost in each second, including the
	// warm-up.
	BatchPerSecond []float64
	// Pauses is the number of times an item was paused, including the warm-up.
	Pauses int
	// Engines is the sum of some counters of all engines, including the warm-up.
	Engines engine.Totals
	// Served holds samples of the batch service, if Scenario.SampleEvery is set.
	// Crashes is how many engines crashed under the crashing prefix, and SoundHeld how many requests without it were
	// refused as quarantined.
	Crashes, SoundHeld int
	Served             []ServiceSample
}

func (f *fleet) result() Result {
	result := Result{
		Policy: f.policy.Name, Seconds: f.scenario.Measured.Seconds(), BatchItems: f.totals.items, BatchCost: f.totals.cost,
		BatchPerSecond: f.totals.series, Pauses: f.totals.pauses,
	}
	result.Crashes = f.quarantine.totalCrashes()
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
	if record.resumed {
		result.Resumed++
	}
	if record.mixed {
		result.Mixed++
	}
	if record.held && record.arrival.shape.prefix != f.scenario.CrashingPrefix {
		result.SoundHeld++
	}
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

// Quantile returns a quantile of a sorted list without interpolation.
func Quantile(sorted []time.Duration, quantile float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(quantile * float64(len(sorted)))
	return sorted[min(rank, len(sorted)-1)]
}
