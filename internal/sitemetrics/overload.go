package sitemetrics

import "github.com/prometheus/client_golang/prometheus"

// OverloadRelief registers metrics for whether an overloaded router sends clients to other routers, and
// for the number of responses that asked the client to reconnect. The source is called at each
// scrape.
func (s *Set) OverloadRelief(source func() (closing, unready bool, closed int64)) {
	s.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "rockwind_relief_level", Help: "Zero in ordinary running, 1 while the router asks clients to come anew, 2 while it also says that it is not ready.",
		}, func() float64 {
			closing, unready, _ := source()
			switch {
			case unready:
				return 2
			case closing:
				return 1
			}
			return 0
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "rockwind_relief_closed_total", Help: "Answers after which the client was asked to come anew.",
		}, func() float64 {
			_, _, closed := source()
			return float64(closed)
		}),
	)
}
