// Package sitemetrics serves the counters and latency histograms of a site's
// process on the metrics address of its settings, in the text form of Prometheus.
package sitemetrics

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// Path is where the metrics are served.
const Path = "/metrics"

// stopTimeout bounds the scrapes in progress at a stop.
const stopTimeout = 200 * time.Millisecond

// latencyBuckets run from a millisecond to the longest that a request is held, in
// seconds.
var latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 4, 6, 10}

// Set is the metrics of one process.
type Set struct {
	registry *prometheus.Registry
	first    *prometheus.HistogramVec
	held     *prometheus.HistogramVec
}

// New returns metrics of the given role. The counters of decisions come from the
// recorder.
func New(role string, recorder *decision.Recorder) *Set {
	labels := prometheus.Labels{"role": role}
	created := &Set{
		registry: prometheus.NewRegistry(),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rockwind_first_byte_seconds", Help: "Time from the receipt of a request to the head of its answer.",
			ConstLabels: labels, Buckets: latencyBuckets,
		}, []string{"route_kind"}),
		held: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rockwind_held_seconds", Help: "Time from the receipt of a request to the end of its answer.",
			ConstLabels: labels, Buckets: latencyBuckets,
		}, []string{"route_kind", "outcome"}),
	}
	created.registry.MustRegister(created.first, created.held, decisions{recorder: recorder, labels: labels},
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return created
}

// ObserveRequest takes the end of a request. The time to the head of its answer is zero
// where there was none.
func (s *Set) ObserveRequest(routeKind string, outcome decision.Kind, first, held time.Duration) {
	if first > 0 {
		s.first.WithLabelValues(routeKind).Observe(first.Seconds())
	}
	s.held.WithLabelValues(routeKind, string(outcome)).Observe(held.Seconds())
}

// Handler answers scrapes.
func (s *Set) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+Path, promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	return mux
}

// Serve answers on the metrics address of the settings until the context ends; it
// only waits where there is none.
func (s *Set) Serve(ctx context.Context, settings *rockwindpb.SiteSettings) error {
	if settings.GetMetricsListen() == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := site.Listen("metrics_listen", settings.GetMetricsListen())
	if err != nil {
		return err
	}
	return site.Serve(ctx, site.NewServer(s.Handler()), listener, stopTimeout)
}

// decisions collects the counters of a recorder.
type decisions struct {
	recorder *decision.Recorder
	labels   prometheus.Labels
}

var (
	decidedName    = "rockwind_decisions_total"
	unwrittenName  = "rockwind_decisions_unwritten_total"
	decidedHelp    = "Decisions by kind, written to the log or not."
	unwrittenHelp  = "Decisions by kind that were not written: sampled out or over the budget."
	decisionLabels = []string{"kind"}
)

// Describe implements prometheus.Collector.
func (d decisions) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- prometheus.NewDesc(decidedName, decidedHelp, decisionLabels, d.labels)
	descriptions <- prometheus.NewDesc(unwrittenName, unwrittenHelp, decisionLabels, d.labels)
}

// Collect implements prometheus.Collector.
func (d decisions) Collect(metrics chan<- prometheus.Metric) {
	decided := prometheus.NewDesc(decidedName, decidedHelp, decisionLabels, d.labels)
	unwritten := prometheus.NewDesc(unwrittenName, unwrittenHelp, decisionLabels, d.labels)
	for kind, count := range d.recorder.Counts() {
		metrics <- prometheus.MustNewConstMetric(decided, prometheus.CounterValue, float64(count.Decided), string(kind))
		metrics <- prometheus.MustNewConstMetric(unwritten, prometheus.CounterValue, float64(count.Unwritten), string(kind))
	}
}
