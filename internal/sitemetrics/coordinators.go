package sitemetrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Coordinators serves for how long no coordinator has answered this process, and how many
// of its calls none answered, as the source tells at each scrape.
func (s *Set) Coordinators(source func() (silent time.Duration, failed uint64)) {
	s.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rockwind_coordinators_silent_seconds", Help: "Time for which no coordinator has answered this process.",
		}, func() float64 { silent, _ := source(); return silent.Seconds() }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "rockwind_coordinator_tries_failed_total", Help: "Calls for news of the site that the coordinator asked did not answer.",
		}, func() float64 { _, failed := source(); return float64(failed) }),
	)
}
