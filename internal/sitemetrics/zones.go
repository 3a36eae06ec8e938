package sitemetrics

import "github.com/prometheus/client_golang/prometheus"

// DrainedZones serves how many zones this process knows to be drained, which the source counts
// at each scrape.
func (s *Set) DrainedZones(source func() int) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rockwind_drained_zones", Help: "Zones whose servers get nothing new, as far as this process knows.",
	}, func() float64 { return float64(source()) }))
}
