package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"rockwind.example/rockwind/internal/serverview"
)

// serverStatesDescription describes the number of back ends by state.
var serverStatesDescription = prometheus.NewDesc(
	"rockwind_gateway_servers", "Back ends by what this gateway thinks of them.", []string{"state"}, nil)

// serverStates collects the number of back ends by state.
type serverStates struct {
	view *serverview.View
}

// Describe implements prometheus.Collector.
func (s serverStates) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- serverStatesDescription
}

// Collect implements prometheus.Collector.
func (s serverStates) Collect(collected chan<- prometheus.Metric) {
	counts := s.view.CountStates()
	for _, state := range serverview.States {
		collected <- prometheus.MustNewConstMetric(serverStatesDescription, prometheus.GaugeValue, float64(counts[state]), string(state))
	}
}
