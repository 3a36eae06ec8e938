package sitemetrics

import "github.com/prometheus/client_golang/prometheus"

// StreamOrigins registers a gauge for the number of streams whose software version this process holds, and a counter
// of those that found no room, which the source returns at each scrape.
func (s *Set) StreamOrigins(source func() (held int, dropped uint64)) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rockwind_stream_origins", Help: "Streams whose software version this process holds.",
	}, func() float64 {
		held, _ := source()
		return float64(held)
	}), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "rockwind_stream_origins_dropped_total", Help: "Streams whose software version found no room here.",
	}, func() float64 {
		_, dropped := source()
		return float64(dropped)
	}))
}
