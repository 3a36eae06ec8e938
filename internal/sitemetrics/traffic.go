package sitemetrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"rockwind.example/rockwind/internal/loadshare"
)

// LoadTraffic registers counters of the load digests that the process has sent. The source is
// called at each scrape.
func (s *Set) LoadTraffic(source func() loadshare.Traffic) {
	counter := func(name, help string, value func(loadshare.Traffic) uint64) {
		s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help},
			func() float64 { return float64(value(source())) }))
	}
	counter("rockwind_load_digests_sent_total", "Datagrams with load digests that were sent.",
		func(t loadshare.Traffic) uint64 { return t.Datagrams })
	counter("rockwind_load_digest_sent_bytes_total", "Bytes of load digests that were sent, without the headers of the network.",
		func(t loadshare.Traffic) uint64 { return t.Bytes })
	counter("rockwind_load_digest_sent_other_zones_bytes_total", "Bytes of load digests that were sent to other zones.",
		func(t loadshare.Traffic) uint64 { return t.CrossZoneBytes })
	counter("rockwind_load_digests_unsent_total", "Datagrams with load digests that were too long and not sent.",
		func(t loadshare.Traffic) uint64 { return t.Oversized })
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "rockwind_load_relays_missed", Help: "1 while no relay of load digests of the own zone is heard.",
	}, func() float64 {
		if source().RelaysSilent {
			return 1
		}
		return 0
	}))
}
