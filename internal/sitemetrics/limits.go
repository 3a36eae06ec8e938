package sitemetrics

import "github.com/prometheus/client_golang/prometheus"

// Limit is the token count of a route that this process owns.
type Limit struct {
	route   string
	limit   uint64
	waiting uint64
}

// NewLimit returns the token count of a route, of whose limit the waiting tokens are in use.
func NewLimit(route string, limit, waiting uint64) Limit {
	return Limit{route: route, limit: limit, waiting: waiting}
}

// limitCollector collects the token counts of routes.
type limitCollector struct {
	source  func() []Limit
	limit   *prometheus.Desc
	waiting *prometheus.Desc
}

// Limits registers a collector of the token counts that the source returns at each scrape.
func (s *Set) Limits(source func() []Limit) {
	labels := []string{"route"}
	s.registry.MustRegister(limitCollector{
		source:  source,
		limit:   prometheus.NewDesc("rockwind_route_limit_tokens", "How many tokens may wait on a route, at the owner of its count.", labels, nil),
		waiting: prometheus.NewDesc("rockwind_route_waiting_tokens", "How many tokens are counted as waiting on a route, at the owner of its count.", labels, nil),
	})
}

// Describe implements prometheus.Collector.
func (l limitCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- l.limit
	descriptions <- l.waiting
}

// Collect implements prometheus.Collector.
func (l limitCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, each := range l.source() {
		metrics <- prometheus.MustNewConstMetric(l.limit, prometheus.GaugeValue, float64(each.limit), each.route)
		metrics <- prometheus.MustNewConstMetric(l.waiting, prometheus.GaugeValue, float64(each.waiting), each.route)
	}
}
