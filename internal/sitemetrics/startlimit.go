package sitemetrics

import "github.com/prometheus/client_golang/prometheus"

// StartLimit is the limit of the online requests that a process may have at the servers of a service
// while the loads of other processes are unknown.
type StartLimit struct {
	Service string
	// Requests is the limit, and Inflight the number of requests at servers.
	Requests int
	Inflight int
}

// startLimitCollector collects the limits of all limited services.
type startLimitCollector struct {
	source   func() []StartLimit
	limit    *prometheus.Desc
	inflight *prometheus.Desc
}

// StartLimits registers gauges of the limits that the source returns at each scrape. Services without a
// limit have no series.
func (s *Set) StartLimits(source func() []StartLimit) {
	service := []string{"service"}
	s.registry.MustRegister(startLimitCollector{
		source:   source,
		limit:    prometheus.NewDesc("rockwind_start_limit_requests", "Online requests that this process may have at servers while it does not know the loads of the others.", service, nil),
		inflight: prometheus.NewDesc("rockwind_start_limit_inflight_requests", "Online requests that this process has at servers while their number is limited.", service, nil),
	})
}

// Describe implements prometheus.Collector.
func (c startLimitCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.limit
	descriptions <- c.inflight
}

// Collect implements prometheus.Collector.
func (c startLimitCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, each := range c.source() {
		metrics <- prometheus.MustNewConstMetric(c.limit, prometheus.GaugeValue, float64(each.Requests), each.Service)
		metrics <- prometheus.MustNewConstMetric(c.inflight, prometheus.GaugeValue, float64(each.Inflight), each.Service)
	}
}
