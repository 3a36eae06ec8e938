package sitemetrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// ShortItems is how many batch items wait for the servers of a service that cannot all be on time.
type ShortItems struct {
	Service string
	// Here are those of the shards that this process leads, Elsewhere those of others as they
	// tell.
	Here      int
	Elsewhere int
	// HeldBack is how many of those here leave room to items of tenants that have less.
	HeldBack int
}

// shortItems collects them.
type shortItems struct {
	source func() []ShortItems
	short  *prometheus.Desc
	held   *prometheus.Desc
}

// ShortItems serves what the source lists at each scrape.
func (s *Set) ShortItems(source func() []ShortItems) {
	s.registry.MustRegister(shortItems{
		source: source,
		short:  prometheus.NewDesc("rockwind_short_items", "Batch items that wait and cannot all be on time, in this process and elsewhere as others tell.", []string{"service", "elsewhere"}, nil),
		held:   prometheus.NewDesc("rockwind_held_back_items", "Batch items here that leave room to items of tenants which have less running in all shards.", []string{"service"}, nil),
	})
}

// Describe implements prometheus.Collector.
func (i shortItems) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- i.short
	descriptions <- i.held
}

// Collect implements prometheus.Collector.
func (i shortItems) Collect(metrics chan<- prometheus.Metric) {
	for _, each := range i.source() {
		metrics <- prometheus.MustNewConstMetric(i.short, prometheus.GaugeValue, float64(each.Here), each.Service, strconv.FormatBool(false))
		metrics <- prometheus.MustNewConstMetric(i.short, prometheus.GaugeValue, float64(each.Elsewhere), each.Service, strconv.FormatBool(true))
		metrics <- prometheus.MustNewConstMetric(i.held, prometheus.GaugeValue, float64(each.HeldBack), each.Service)
	}
}
