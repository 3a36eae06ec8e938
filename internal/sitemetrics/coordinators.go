package sitemetrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Coordinators registers metrics for the time since a coordinator last answered this process and
// for the number of failed watches. The source is called at each scrape.
func (s *Set) Coordinators(source func() (sinceAnswer time.Duration, failed uint64)) {
	s.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rockwind_coordinators_silent_seconds", Help: "Time for which no coordinator has answered this process.",
		}, func() float64 { sinceAnswer, _ := source(); return sinceAnswer.Seconds() }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "rockwind_coordinator_tries_failed_total", Help: "Calls for news of the site that the coordinator asked did not answer.",
		}, func() float64 { _, failed := source(); return float64(failed) }),
	)
}
