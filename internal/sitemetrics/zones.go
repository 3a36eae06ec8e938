package sitemetrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// DrainedZones registers a gauge for the number of drained zones that this process knows of, which
// the source returns at each scrape.
func (s *Set) DrainedZones(source func() int) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rockwind_drained_zones", Help: "Zones whose servers get nothing new, as far as this process knows.",
	}, func() float64 { return float64(source()) }))
}

// ZoneDrainRevision registers a gauge for the revision of the zone drains that this process obeys.
// The source is called at each scrape.
func (s *Set) ZoneDrainRevision(source func() uint64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rockwind_zone_drains_revision", Help: "Revision of the zone drains that this process obeys.",
	}, func() float64 { return float64(source()) }))
}

// ZoneDrainAge registers a gauge for the time since a coordinator confirmed that the zone drains that
// this process obeys are the newest. The source is called at each scrape.
func (s *Set) ZoneDrainAge(source func() time.Duration) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rockwind_zone_drains_age_seconds", Help: "Time since a coordinator confirmed the zone drains that this process obeys.",
	}, func() float64 { return source().Seconds() }))
}
