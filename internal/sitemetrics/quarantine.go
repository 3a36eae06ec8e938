package sitemetrics

import "github.com/prometheus/client_golang/prometheus"

// Quarantined registers a gauge for the number of quarantined request contents, which the source
// returns at each scrape.
func (s *Set) Quarantined(source func() int) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rockwind_held_contents", Help: "Contents of requests that are not run since servers ended under them.",
	}, func() float64 { return float64(source()) }))
}
