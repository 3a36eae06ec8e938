package sitemetrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// StartupTime serves how long this process took from its start until it could serve, which the
// source tells at each scrape; zero before that.
func (s *Set) StartupTime(source func() time.Duration) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rockwind_start_seconds", Help: "Time from the start of this process until it could serve; zero before that.",
	}, func() float64 { return source().Seconds() }))
}
