package sitemetrics

import "github.com/prometheus/client_golang/prometheus"

// LeftBehind serves how many requests of processes that are gone the servers are taken to
// have, and how many questions about that this process put, as the source tells at each
// scrape.
func (s *Set) LeftBehind(source func() (requests, questions int)) {
	s.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rockwind_left_behind_requests", Help: "Requests of processes that are gone that servers are taken to have still.",
		}, func() float64 { requests, _ := source(); return float64(requests) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "rockwind_load_questions_total", Help: "Questions to servers for their load that this process put after its start.",
		}, func() float64 { _, questions := source(); return float64(questions) }),
	)
}
