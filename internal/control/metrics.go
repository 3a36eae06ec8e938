package control

import (
	"context"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/twitchtv/twirp"

	"rockwind.example/rockwind/internal/ledger"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/secure"
	"rockwind.example/rockwind/internal/segment"
)

// metrics holds the metrics of a control daemon.
type metrics struct {
	registry      *prometheus.Registry
	calls         *prometheus.CounterVec
	jobs          *prometheus.CounterVec
	items         *prometheus.GaugeVec
	leading       *prometheus.GaugeVec
	changes       prometheus.Counter
	configuration prometheus.Gauge
}

func newMetrics(bodies *segment.Node) *metrics {
	created := &metrics{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rockwind_control_calls_total", Help: "Calls of internal services by method and result.",
		}, []string{"method", "result"}),
		jobs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "rockwind_control_job_events_total", Help: "Submissions and cancellations by the state of the job after them.",
		}, []string{"state"}),
		items: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "rockwind_control_items", Help: "Items of batch jobs by shard and state, on the leader.",
		}, []string{"shard", "state"}),
		leading: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "rockwind_control_leading", Help: "One where this machine leads the group.",
		}, []string{"group"}),
		changes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "rockwind_control_leadership_changes_total", Help: "Changes of leadership that this machine saw.",
		}),
		configuration: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "rockwind_control_configuration_number", Help: "Number of the newest configuration known here.",
		}),
	}
	created.registry.MustRegister(created.calls, created.jobs, created.items, created.leading,
		created.changes, created.configuration, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	created.registerBodies(bodies)
	return created
}

// DescribeMetrics sends the descriptions of all metrics of a control machine. It is
// used to check their documentation.
func DescribeMetrics(descriptions chan<- *prometheus.Desc) {
	newMetrics(nil).registry.Describe(descriptions)
	secure.Metrics(nil).Describe(descriptions)
	replica.Metrics{}.Describe(descriptions)
}

func (m *metrics) registerBodies(bodies *segment.Node) {
	register := func(name, help string, value func(segment.Statistics) float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
			func() float64 { return value(bodies.Statistics()) }))
	}
	register("rockwind_segment_bytes", "Bytes of all segments on this disk.",
		func(s segment.Statistics) float64 { return float64(s.BytesOnDisk) })
	register("rockwind_segment_files", "Segments on this disk.",
		func(s segment.Statistics) float64 { return float64(s.Segments) })
	register("rockwind_segment_stored_bodies", "Bodies acknowledged since the start.",
		func(s segment.Statistics) float64 { return float64(s.StoredBodies) })
	register("rockwind_segment_repaired_bytes", "Bytes copied from other machines since the start.",
		func(s segment.Statistics) float64 { return float64(s.RepairedBytes) })
	register("rockwind_segment_damaged_bytes", "Damaged bytes found since the start.",
		func(s segment.Statistics) float64 { return float64(s.DamagedBytes) })
}

// hooks returns Twirp hooks that count calls.
func (m *metrics) hooks() *twirp.ServerHooks {
	return &twirp.ServerHooks{
		ResponseSent: func(ctx context.Context) {
			method, _ := twirp.MethodName(ctx)
			status, _ := twirp.StatusCode(ctx)
			m.calls.WithLabelValues(method, status).Inc()
		},
	}
}

func (m *metrics) observeShard(number uint32, stats ledger.Stats) {
	label := strconv.FormatUint(uint64(number), 10)
	m.items.WithLabelValues(label, "waiting").Set(float64(stats.ItemsWaiting))
	m.items.WithLabelValues(label, "leased").Set(float64(stats.ItemsLeased))
	m.items.WithLabelValues(label, "recorded").Set(float64(stats.ItemsRecorded))
}

func (m *metrics) observeLeadership(changed *rockwindpb.LeadershipChanged) {
	value := 0.0
	if changed.GetLeading() {
		value = 1
	}
	m.leading.WithLabelValues(strconv.FormatUint(uint64(changed.GetGroup()), 10)).Set(value)
	m.changes.Inc()
}
