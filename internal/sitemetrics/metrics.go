// Package sitemetrics serves the counters and latency histograms of a site's process in the
// Prometheus text format, on the metrics address of its settings.
package sitemetrics

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// Path is the URL path of the metrics.
const Path = "/metrics"

// shutdownTimeout bounds the scrapes in progress at a shutdown.
const shutdownTimeout = 200 * time.Millisecond

// latencyBuckets range from one millisecond to the longest time that a request is held, in
// seconds.
var latencyBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 4, 6, 10}

// Set holds the metrics of one process.
type Set struct {
	registry   *prometheus.Registry
	timeToHead *prometheus.HistogramVec
	duration   *prometheus.HistogramVec
	restricted *prometheus.CounterVec
	resumed    *prometheus.CounterVec
}

// New returns the metrics of a process with the given role. The decision counters are read from
// the recorder.
func New(role string, recorder *decision.Recorder) *Set {
	labels := prometheus.Labels{"role": role}
	set := &Set{
		registry: prometheus.NewRegistry(),
		timeToHead: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rockwind_first_byte_seconds", Help: "Time from the receipt of a request to the head of its answer.",
			ConstLabels: labels, Buckets: latencyBuckets,
		}, []string{"route_kind"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rockwind_held_seconds", Help: "Time from the receipt of a request to the end of its answer.",
			ConstLabels: labels, Buckets: latencyBuckets,
		}, []string{"route_kind", "outcome"}),
		restricted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rockwind_restricted_requests_total", Help: "Ended requests that may be served in some regions only, by outcome.",
			ConstLabels: labels,
		}, []string{"outcome"}),
		resumed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rockwind_resumed_streams_total", Help: "Streams that clients resumed, by the servers that may take them and by whether the search for their beginning was answered.",
			ConstLabels: labels,
		}, []string{"verdict", "search"}),
	}
	set.registry.MustRegister(set.timeToHead, set.duration, set.restricted, set.resumed, decisionCollector{recorder: recorder, labels: labels},
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return set
}

// Groups registers gauges of the members that the groups of a host lack.
func (s *Set) Groups(host *replica.Host) {
	s.registry.MustRegister(replica.Metrics{Host: host})
}

// ObserveRequest records a finished request. The time to the response headers is zero if there was
// no response.
func (s *Set) ObserveRequest(routeKind string, outcome decision.Kind, timeToHead, duration time.Duration) {
	if timeToHead > 0 {
		s.timeToHead.WithLabelValues(routeKind).Observe(timeToHead.Seconds())
	}
	s.duration.WithLabelValues(routeKind, string(outcome)).Observe(duration.Seconds())
}

// CountRestricted counts the end of a request that may be served in some regions only.
func (s *Set) CountRestricted(outcome decision.Kind) {
	s.restricted.WithLabelValues(string(outcome)).Inc()
}

// CountResumed counts a stream that a client resumed. The search says whether the processes that were asked for its
// beginning answered.
func (s *Set) CountResumed(verdict, search string) {
	s.resumed.WithLabelValues(verdict, search).Inc()
}

// Handler returns the handler of scrapes.
func (s *Set) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+Path, promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	return mux
}

// Serve serves the metrics until the context ends. It only waits if the settings have no metrics
// address.
func (s *Set) Serve(ctx context.Context, settings *rockwindpb.SiteSettings) error {
	if settings.GetMetricsListen() == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := site.Listen("metrics_listen", settings.GetMetricsListen())
	if err != nil {
		return err
	}
	return site.Serve(ctx, site.NewServer(s.Handler()), listener, shutdownTimeout)
}

// decisionCollector collects the counters of a recorder.
type decisionCollector struct {
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
func (d decisionCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- prometheus.NewDesc(decidedName, decidedHelp, decisionLabels, d.labels)
	descriptions <- prometheus.NewDesc(unwrittenName, unwrittenHelp, decisionLabels, d.labels)
}

// Collect implements prometheus.Collector.
func (d decisionCollector) Collect(metrics chan<- prometheus.Metric) {
	total := prometheus.NewDesc(decidedName, decidedHelp, decisionLabels, d.labels)
	unwritten := prometheus.NewDesc(unwrittenName, unwrittenHelp, decisionLabels, d.labels)
	for kind, count := range d.recorder.Counts() {
		metrics <- prometheus.MustNewConstMetric(total, prometheus.CounterValue, float64(count.Decided), string(kind))
		metrics <- prometheus.MustNewConstMetric(unwritten, prometheus.CounterValue, float64(count.Unwritten), string(kind))
	}
}
