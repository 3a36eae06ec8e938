package sitemetrics

import "github.com/prometheus/client_golang/prometheus"

// DrainedZones registers a gauge for the number of drained zones that this process knows of, which
// the source returns at each scrape.
func (s *Set) DrainedZones(source func() int) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rockwind_drained_zones", Help: "Zones whose servers get nothing new, as far as this process knows.",
	}, func() float64 { return float64(source()) }))
}
