package sitemetrics

import "github.com/prometheus/client_golang/prometheus"

// ColdServers registers a gauge for the number of servers that this process treats as cold, which
// the source returns at each scrape.
func (s *Set) ColdServers(source func() int) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rockwind_cold_servers", Help: "Servers that this process treats as cold.",
	}, func() float64 { return float64(source()) }))
}
