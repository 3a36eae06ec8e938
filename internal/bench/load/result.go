package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of histograms, in microseconds.
const (
	lowestMicroseconds  = 1
	highestMicroseconds = int64(time.Hour / time.Microsecond)
	significantDigits   = 3
)

// Histogram records durations. It is safe for concurrent use.
type Histogram struct {
	lock      sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram for durations from 1 µs to 1 h.
func NewHistogram() *Histogram {
	return &Histogram{histogram: hdrhistogram.New(lowestMicroseconds, highestMicroseconds, significantDigits)}
}

// Record adds durations; those out of range count as the nearest bound.
func (h *Histogram) Record(durations ...time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	for _, duration := range durations {
		value := min(max(duration.Microseconds(), lowestMicroseconds), highestMicroseconds)
		_ = h.histogram.RecordValue(value)
	}
}

// Quantile returns a quantile, from 0 to 1, in milliseconds.
func (h *Histogram) Quantile(quantile float64) float64 {
	h.lock.Lock()
	defer h.lock.Unlock()
	return milliseconds(h.histogram.ValueAtQuantile(quantile * 100))
}

// Summary returns the mean, the maximum and the usual quantiles.
func (h *Histogram) Summary() Summary {
	h.lock.Lock()
	defer h.lock.Unlock()
	return Summary{
		Count:  h.histogram.TotalCount(),
		MeanMs: h.histogram.Mean() / 1000,
		P50Ms:  milliseconds(h.histogram.ValueAtQuantile(50)),
		P90Ms:  milliseconds(h.histogram.ValueAtQuantile(90)),
		P99Ms:  milliseconds(h.histogram.ValueAtQuantile(99)),
		P999Ms: milliseconds(h.histogram.ValueAtQuantile(99.9)),
		MaxMs:  milliseconds(h.histogram.Max()),
	}
}

// CumulativePoint is a point of a cumulative distribution: Fraction of the durations are at
// most Milliseconds.
type CumulativePoint struct {
	Milliseconds float64 `json:"ms"`
	Fraction     float64 `json:"fraction"`
}

// Cumulative returns the cumulative distribution for a plot.
func (h *Histogram) Cumulative() []CumulativePoint {
	h.lock.Lock()
	defer h.lock.Unlock()
	var points []CumulativePoint
	for _, bracket := range h.histogram.CumulativeDistribution() {
		points = append(points, CumulativePoint{
			Milliseconds: milliseconds(bracket.ValueAt),
			Fraction:     bracket.Quantile / 100,
		})
	}
	return points
}

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / 1000
}

// Summary summarizes a distribution in milliseconds.
type Summary struct {
	Count  int64   `json:"count"`
	MeanMs float64 `json:"mean_ms"`
	P50Ms  float64 `json:"p50_ms"`
	P90Ms  float64 `json:"p90_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
	MaxMs  float64 `json:"max_ms"`
}

// OutcomeCount is the number of calls with an outcome.
type OutcomeCount struct {
	Outcome Outcome `json:"outcome"`
	Count   int     `json:"count"`
	// Example is the error message of the first such call.
	Example string `json:"example,omitempty"`
}

// ClassResult holds the measurements of one class of calls.
type ClassResult struct {
	// Latency, FirstToken and Gaps cover calls with OutcomeOK only. Latency and FirstToken
	// count from the intended start.
	Latency, FirstToken, Gaps *Histogram
	// Lateness is how late the load generator itself started calls.
	Lateness *Histogram

	lock     sync.Mutex
	sent     int
	notSent  int
	tokens   int64
	outcomes []OutcomeCount
}

// Result holds the measurements of a run. It is safe for concurrent use.
type Result struct {
	Elapsed time.Duration

	lock    sync.Mutex
	classes map[string]*ClassResult
}

// NewResult returns an empty result.
func NewResult() *Result {
	return &Result{classes: map[string]*ClassResult{}}
}

// Class returns the measurements of a class, which it adds if needed.
func (r *Result) Class(name string) *ClassResult {
	r.lock.Lock()
	defer r.lock.Unlock()
	class := r.classes[name]
	if class == nil {
		class = &ClassResult{
			Latency:    NewHistogram(),
			FirstToken: NewHistogram(),
			Gaps:       NewHistogram(),
			Lateness:   NewHistogram(),
		}
		r.classes[name] = class
	}
	return class
}

// NotSent counts a call that wasn't sent because of MaxInFlight.
func (r *Result) NotSent(class string) {
	entry := r.Class(class)
	entry.lock.Lock()
	entry.notSent++
	entry.lock.Unlock()
}

// Started counts a call that was sent, with its delay after the intended start.
func (r *Result) Started(class string, lateness time.Duration) {
	entry := r.Class(class)
	entry.Lateness.Record(lateness)
	entry.lock.Lock()
	entry.sent++
	entry.lock.Unlock()
}

// Add records a finished call.
func (r *Result) Add(class string, measured Measurement) {
	entry := r.Class(class)
	if measured.Outcome == OutcomeOK {
		entry.Latency.Record(measured.Latency)
		if measured.FirstToken > 0 {
			entry.FirstToken.Record(measured.FirstToken)
		}
		entry.Gaps.Record(measured.Gaps...)
	}
	entry.lock.Lock()
	defer entry.lock.Unlock()
	entry.tokens += int64(measured.Tokens)
	for index := range entry.outcomes {
		if entry.outcomes[index].Outcome == measured.Outcome {
			entry.outcomes[index].Count++
			return
		}
	}
	entry.outcomes = append(entry.outcomes, OutcomeCount{Outcome: measured.Outcome, Count: 1, Example: measured.Detail})
}

// Count returns the number of calls of the class with an outcome.
func (c *ClassResult) Count(outcome Outcome) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, entry := range c.outcomes {
		if entry.Outcome == outcome {
			return entry.Count
		}
	}
	return 0
}

// ClassReport is the report on one class of calls.
type ClassReport struct {
	Class string `json:"class"`
	Sent  int    `json:"sent"`
	// NotSent counts the calls that weren't sent because of MaxInFlight.
	NotSent  int            `json:"not_sent"`
	Outcomes []OutcomeCount `json:"outcomes"`
	Tokens   int64          `json:"tokens"`
	// RequestsPerSecond (OutcomeOK only) and TokensPerSecond are averages over the run.
	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	Latency           Summary `json:"latency"`
	FirstToken        Summary `json:"first_token"`
	BetweenTokens     Summary `json:"between_tokens"`
	Lateness          Summary `json:"generator_lateness"`
}

// Report is the report on a run.
type Report struct {
	ElapsedSeconds float64       `json:"elapsed_seconds"`
	Classes        []ClassReport `json:"classes"`
}

// Report returns the report, with the classes sorted by name.
func (r *Result) Report() Report {
	r.lock.Lock()
	defer r.lock.Unlock()
	report := Report{ElapsedSeconds: r.Elapsed.Seconds(), Classes: []ClassReport{}}
	for name, class := range r.classes {
		report.Classes = append(report.Classes, class.report(name, r.Elapsed))
	}
	slices.SortFunc(report.Classes, func(a, b ClassReport) int { return cmp.Compare(a.Class, b.Class) })
	return report
}

func (c *ClassResult) report(name string, elapsed time.Duration) ClassReport {
	c.lock.Lock()
	defer c.lock.Unlock()
	seconds := max(elapsed.Seconds(), 1e-9)
	answered := 0
	for _, entry := range c.outcomes {
		if entry.Outcome == OutcomeOK {
			answered = entry.Count
		}
	}
	return ClassReport{
		Class:             name,
		Sent:              c.sent,
		NotSent:           c.notSent,
		Outcomes:          slices.Clone(c.outcomes),
		Tokens:            c.tokens,
		RequestsPerSecond: float64(answered) / seconds,
		TokensPerSecond:   float64(c.tokens) / seconds,
		Latency:           c.Latency.Summary(),
		FirstToken:        c.FirstToken.Summary(),
		BetweenTokens:     c.Gaps.Summary(),
		Lateness:          c.Lateness.Summary(),
	}
}
