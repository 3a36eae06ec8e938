package sitemetrics

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"
)

// paces collects how long work is expected to take at the servers of each service.
type paces struct {
	source func() map[string][]float64
}

var paceDescription = prometheus.NewDesc("rockwind_server_pace",
	"How long work is expected to take at the servers of a service that tell their pace, as a multiple of what is usual.",
	[]string{"service"}, nil)

// Paces serves how the servers of each service are expected to differ, as the source tells at
// each scrape: a summary over the servers, without those services whose servers do not tell.
func (s *Set) Paces(source func() map[string][]float64) {
	s.registry.MustRegister(paces{source: source})
}

// Describe implements prometheus.Collector.
func (p paces) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- paceDescription }

// Collect implements prometheus.Collector.
func (p paces) Collect(metrics chan<- prometheus.Metric) {
	for service, known := range p.source() {
		slices.Sort(known)
		sum, quantiles := 0.0, make(map[float64]float64)
		for _, each := range known {
			sum += each
		}
		for _, part := range []float64{0, 0.5, 0.9, 1} {
			quantiles[part] = known[int(part*float64(len(known)-1))]
		}
		metrics <- prometheus.MustNewConstSummary(paceDescription, uint64(len(known)), sum, quantiles, service)
	}
}
