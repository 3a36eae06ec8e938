package sitemetrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"rockwind.example/rockwind/internal/clientconn"
)

// ClientBuffers registers gauges for the memory that holds unread responses and request bodies.
// The source is called at each scrape.
func (s *Set) ClientBuffers(source func() clientconn.Usage) {
	gauge := func(name, help string, value func(clientconn.Usage) float64) {
		s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
			func() float64 { return value(source()) }))
	}
	gauge("rockwind_relay_limit_bytes", "Bytes that may be kept for clients and servers that read slowly.",
		func(u clientconn.Usage) float64 { return float64(u.Limit) })
	gauge("rockwind_relay_unread_bytes", "Bytes of answers that their clients have not read.",
		func(u clientconn.Usage) float64 { return float64(u.Unread) })
	gauge("rockwind_relay_body_bytes", "Bytes of the bodies of requests in progress.",
		func(u clientconn.Usage) float64 { return float64(u.Bodies) })
	gauge("rockwind_relay_readers", "Clients that have not read all of their answer.",
		func(u clientconn.Usage) float64 { return float64(u.Readers) })
	gauge("rockwind_relay_waiting", "Answers that are read no faster than their client reads, since memory is short.",
		func(u clientconn.Usage) float64 { return float64(u.Waiting) })
}
