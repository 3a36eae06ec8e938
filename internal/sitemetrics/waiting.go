package sitemetrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// Waiting is what waits in this process for the servers of one service.
type Waiting struct {
	service string
	// requests wait here, and elsewhere as others tell; scarce tells whether tenants share.
	requests  int
	elsewhere int
	scarce    bool
	// promised is how many clients were told to come back and have not yet.
	promised int
	held     []HeldBackTenant
}

// HeldBackTenant is a tenant whose requests others go before.
type HeldBackTenant struct {
	Tenant  string
	Waiting int
}

// NewWaiting returns what waits for a service, here and elsewhere, where tenants share if room
// is scarce, and how many clients are to come back.
func NewWaiting(service string, requests, elsewhere, promised int, scarce bool, held []HeldBackTenant) Waiting {
	return Waiting{service: service, requests: requests, elsewhere: elsewhere, promised: promised, scarce: scarce, held: held}
}

// waiting collects what waits.
type waiting struct {
	source   func() []Waiting
	requests *prometheus.Desc
	scarce   *prometheus.Desc
	promised *prometheus.Desc
	held     *prometheus.Desc
}

// Waiting serves what the source lists at each scrape. Tenants are listed only while others go
// before them: one of each priority.
func (s *Set) Waiting(source func() []Waiting) {
	service := []string{"service"}
	s.registry.MustRegister(waiting{
		source:   source,
		requests: prometheus.NewDesc("rockwind_waiting_requests", "Online requests that wait for a server, in this process and elsewhere as others tell.", []string{"service", "elsewhere"}, nil),
		scarce:   prometheus.NewDesc("rockwind_room_scarce", "1 while tenants share what is too little room.", service, nil),
		promised: prometheus.NewDesc("rockwind_promised_returns", "Clients that this process told to come back and whose time has not come.", service, nil),
		held:     prometheus.NewDesc("rockwind_tenant_held_back_requests", "Requests of the tenant that had most, which wait behind those of others.", []string{"service", "tenant"}, nil),
	})
}

// Describe implements prometheus.Collector.
func (w waiting) Describe(descriptions chan<- *prometheus.Desc) {
	for _, each := range []*prometheus.Desc{w.requests, w.scarce, w.promised, w.held} {
		descriptions <- each
	}
}

// Collect implements prometheus.Collector.
func (w waiting) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	for _, each := range w.source() {
		gauge(w.requests, float64(each.requests), each.service, strconv.FormatBool(false))
		gauge(w.requests, float64(each.elsewhere), each.service, strconv.FormatBool(true))
		scarce := 0.0
		if each.scarce {
			scarce = 1
		}
		gauge(w.scarce, scarce, each.service)
		gauge(w.promised, float64(each.promised), each.service)
		held := make(map[string]int)
		for _, tenant := range each.held {
			held[tenant.Tenant] += tenant.Waiting
		}
		for tenant, count := range held {
			gauge(w.held, float64(count), each.service, tenant)
		}
	}
}
