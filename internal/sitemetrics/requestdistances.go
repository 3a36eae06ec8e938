package sitemetrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rockwind.example/rockwind/internal/topology"
)

// RequestDistances registers a counter of the requests that the process started at servers, by distance, and
// a gauge of the measured round-trip times to the zones of other regions. The sources are called at each
// scrape.
func (s *Set) RequestDistances(starts func() map[topology.Distance]uint64, roundTrips func() map[string]time.Duration) {
	s.registry.MustRegister(distanceCollector{
		starts: starts, roundTrips: roundTrips,
		startsDesc: prometheus.NewDesc("rockwind_requests_started_total",
			"Requests that this process started at servers, by the distance of the server.", []string{"distance"}, nil),
		roundTripDesc: prometheus.NewDesc("rockwind_zone_round_trip_seconds",
			"Measured round-trip time to a zone of another region; absent if it is not known.", []string{"zone"}, nil),
	})
}

// distanceCollector collects the values of RequestDistances.
type distanceCollector struct {
	starts                    func() map[topology.Distance]uint64
	roundTrips                func() map[string]time.Duration
	startsDesc, roundTripDesc *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (d distanceCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- d.startsDesc
	descriptions <- d.roundTripDesc
}

// Collect implements prometheus.Collector.
func (d distanceCollector) Collect(metrics chan<- prometheus.Metric) {
	for distance, count := range d.starts() {
		metrics <- prometheus.MustNewConstMetric(d.startsDesc, prometheus.CounterValue, float64(count), distance.String())
	}
	for zone, roundTrip := range d.roundTrips() {
		metrics <- prometheus.MustNewConstMetric(d.roundTripDesc, prometheus.GaugeValue, roundTrip.Seconds(), zone)
	}
}
