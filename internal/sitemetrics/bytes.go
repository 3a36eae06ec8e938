package sitemetrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"rockwind.example/rockwind/internal/traffic"
)

// Traffic registers counters of the bytes that the process has exchanged with other processes and servers.
func (s *Set) Traffic(counter *traffic.Counter) {
	labels := []string{"distance", "call"}
	s.registry.MustRegister(trafficCollector{
		counter: counter,
		sent: prometheus.NewDesc("rockwind_traffic_sent_bytes_total",
			"Bytes sent to processes of the site and to servers.", labels, nil),
		received: prometheus.NewDesc("rockwind_traffic_received_bytes_total",
			"Bytes received from processes of the site and from servers.", labels, nil),
	})
}

// trafficCollector collects the counts of a counter.
type trafficCollector struct {
	counter        *traffic.Counter
	sent, received *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (t trafficCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- t.sent
	descriptions <- t.received
}

// Collect implements prometheus.Collector.
func (t trafficCollector) Collect(metrics chan<- prometheus.Metric) {
	t.counter.Visit(func(direction traffic.Direction, distance, call string, bytes uint64) {
		description := t.sent
		if direction == traffic.Received {
			description = t.received
		}
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(bytes), distance, call)
	})
}
