package sitemetrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// StartupTime registers a gauge for the time from the start of this process until it was ready to
// serve, zero before that. The source is called at each scrape.
func (s *Set) StartupTime(source func() time.Duration) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rockwind_start_seconds", Help: "Time from the start of this process until it could serve; zero before that.",
	}, func() float64 { return source().Seconds() }))
}
