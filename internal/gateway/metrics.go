package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/secure"
	"rockwind.example/rockwind/internal/upstream"
)

// metrics holds the gateway's metrics, which docs/operations/metrics.md documents.
type metrics struct {
	registry   *prometheus.Registry
	requests   *prometheus.CounterVec
	refused    *prometheus.CounterVec
	attempts   prometheus.Counter
	resumes    prometheus.Counter
	hedges     prometheus.Counter
	tokens     prometheus.Counter
	firstByte  *prometheus.HistogramVec
	duration   *prometheus.HistogramVec
	inProgress prometheus.Gauge
	items      *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rockwind_gateway_requests_total", Help: "Online requests by kind and result.",
		}, []string{"kind", "result"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rockwind_gateway_refused_total", Help: "Online requests, uploads and new batches refused as not run, by reason.",
		}, []string{"reason"}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rockwind_gateway_attempts_total", Help: "Attempts at back ends for online requests.",
		}),
		hedges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rockwind_gateway_hedges_total", Help: "Attempts that ran beside another whose answer was overdue.",
		}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rockwind_gateway_resumes_total", Help: "Broken streams that were taken up again.",
		}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rockwind_gateway_tokens_total", Help: "Tokens relayed to callers.",
		}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rockwind_gateway_first_byte_seconds", Help: "Time to the first byte of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"kind"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "rockwind_gateway_request_seconds", Help: "Time to the end of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 20),
		}, []string{"kind"}),
		inProgress: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "rockwind_gateway_requests_in_progress", Help: "Callers' requests in progress.",
		}),
	}
	m.items = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "rockwind_gateway_batch_items_total", Help: "Batch items that ended here, by outcome.",
	}, []string{"outcome"})
	m.registry.MustRegister(m.items, m.requests, m.refused, m.attempts, m.resumes, m.hedges, m.tokens, m.firstByte, m.duration,
		m.inProgress, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// registerState registers the metrics that are computed when they are collected.
func (m *metrics) registerState(configurationNumber func() uint64, drain *drainState) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rockwind_gateway_configuration_number", Help: "Number of the configuration in force here.",
		}, func() float64 { return float64(configurationNumber()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rockwind_gateway_draining", Help: "One while the gateway finishes its requests and takes no new ones.",
		}, func() float64 {
			if draining, _ := drain.state(); draining {
				return 1
			}
			return 0
		}),
	)
}

// DescribeMetrics sends the descriptions of all metrics of a gateway. It is used to
// verify their documentation.
func DescribeMetrics(descriptions chan<- *prometheus.Desc) {
	m := newMetrics()
	m.registerState(nil, nil)
	m.registry.MustRegister(serverStates{})
	m.registry.Describe(descriptions)
	secure.Metrics(nil).Describe(descriptions)
}

// itemEnded counts a batch item that ended with the given outcome.
func (m *metrics) itemEnded(outcome rockwindpb.ItemOutcome) {
	m.items.WithLabelValues(outcomeLabels[outcome]).Inc()
}

// outcomeLabels maps the outcomes of items to label values.
var outcomeLabels = map[rockwindpb.ItemOutcome]string{
	rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED: "completed",
	rockwindpb.ItemOutcome_ITEM_OUTCOME_FAILED:    "failed",
	rockwindpb.ItemOutcome_ITEM_OUTCOME_RETRY:     "retry",
	rockwindpb.ItemOutcome_ITEM_OUTCOME_RETURNED:  "returned",
}

// observe records the metrics of a request that ended.
func (g *Gateway) observe(request *upstream.Request, result upstream.Result, started time.Time) {
	kind := "engine"
	if request.Kind == upstream.Service {
		kind = "service"
	}
	outcome := "whole"
	switch {
	case result.Canceled:
		outcome = "caller_left"
	case result.Fault != nil:
		outcome = string(result.Fault.Kind)
	case !result.Complete:
		outcome = "refused"
	}
	if result.Fault != nil && result.Fault.Ran == fault.RanUnknown {
		g.log.WithField("request", request.ID).WithField("attempts", result.Attempts).WithError(result.Fault).
			Warn("the outcome of a request is unknown")
	}
	m := g.metrics
	m.requests.WithLabelValues(kind, outcome).Inc()
	m.attempts.Add(float64(result.Attempts))
	m.resumes.Add(float64(result.Resumes))
	m.hedges.Add(float64(result.Hedges))
	m.tokens.Add(float64(result.Tokens))
	if result.Begun {
		m.firstByte.WithLabelValues(kind).Observe(result.FirstByte.Seconds())
		m.duration.WithLabelValues(kind).Observe(time.Since(started).Seconds())
	}
}
