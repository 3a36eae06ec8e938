package sitemetrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// ShortItems counts the waiting batch items of a service that cannot all meet their deadline.
type ShortItems struct {
	Service string
	// Here counts the items of shards that this process leads, Elsewhere those that the leaders of
	// other shards report.
	Here      int
	Elsewhere int
	// HeldBack counts the items here that wait behind those of tenants with less running work.
	HeldBack int
}

// shortItemCollector collects ShortItems.
type shortItemCollector struct {
	source   func() []ShortItems
	waiting  *prometheus.Desc
	heldBack *prometheus.Desc
}

// ShortItems registers a collector of the items that the source returns at each scrape.
func (s *Set) ShortItems(source func() []ShortItems) {
	s.registry.MustRegister(shortItemCollector{
		source:   source,
		waiting:  prometheus.NewDesc("rockwind_short_items", "Batch items that wait and cannot all be on time, in this process and elsewhere as others tell.", []string{"service", "elsewhere"}, nil),
		heldBack: prometheus.NewDesc("rockwind_held_back_items", "Batch items here that leave room to items of tenants which have less running in all shards.", []string{"service"}, nil),
	})
}

// Describe implements prometheus.Collector.
func (i shortItemCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- i.waiting
	descriptions <- i.heldBack
}

// Collect implements prometheus.Collector.
func (i shortItemCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, each := range i.source() {
		metrics <- prometheus.MustNewConstMetric(i.waiting, prometheus.GaugeValue, float64(each.Here), each.Service, strconv.FormatBool(false))
		metrics <- prometheus.MustNewConstMetric(i.waiting, prometheus.GaugeValue, float64(each.Elsewhere), each.Service, strconv.FormatBool(true))
		metrics <- prometheus.MustNewConstMetric(i.heldBack, prometheus.GaugeValue, float64(each.HeldBack), each.Service)
	}
}
