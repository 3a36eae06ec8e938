package sitemetrics

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"
)

// paceCollector collects the pace of the servers of each service, that is how long work takes
// there as a multiple of the usual time.
type paceCollector struct {
	source func() map[string][]float64
}

var paceDesc = prometheus.NewDesc("rockwind_server_pace",
	"How long work is expected to take at the servers of a service that tell their pace, as a multiple of what is usual.",
	[]string{"service"}, nil)

// Paces registers a summary of the servers' pace by service. The source is called at each scrape
// and omits services whose servers report no pace.
func (s *Set) Paces(source func() map[string][]float64) {
	s.registry.MustRegister(paceCollector{source: source})
}

// Describe implements prometheus.Collector.
func (p paceCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- paceDesc }

// Collect implements prometheus.Collector.
func (p paceCollector) Collect(metrics chan<- prometheus.Metric) {
	for service, paces := range p.source() {
		slices.Sort(paces)
		sum, quantiles := 0.0, make(map[float64]float64)
		for _, each := range paces {
			sum += each
		}
		for _, quantile := range []float64{0, 0.5, 0.9, 1} {
			quantiles[quantile] = paces[int(quantile*float64(len(paces)-1))]
		}
		metrics <- prometheus.MustNewConstSummary(paceDesc, uint64(len(paces)), sum, quantiles, service)
	}
}
