package sitemetrics

import "github.com/prometheus/client_golang/prometheus"

// Orphaned registers metrics for the number of requests that terminated processes are estimated
// to have left behind at servers, and for the number of load queries that this process sent. The
// source is called at each scrape.
func (s *Set) Orphaned(source func() (requests, queries int)) {
	s.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rockwind_left_behind_requests", Help: "Requests of processes that are gone that servers are taken to have still.",
		}, func() float64 { requests, _ := source(); return float64(requests) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "rockwind_load_questions_total", Help: "Questions to servers for their load that this process put after its start.",
		}, func() float64 { _, queries := source(); return float64(queries) }),
	)
}
