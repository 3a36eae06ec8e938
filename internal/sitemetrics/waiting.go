package sitemetrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// Waiting describes the requests that wait for the servers of one service.
type Waiting struct {
	service string
	// requests counts those that wait at this process, elsewhere those that other processes report.
	// overloaded is set while tenants share scarce capacity.
	requests   int
	elsewhere  int
	overloaded bool
	// pendingRetries counts the clients that were told when to retry and whose time has not come.
	pendingRetries int
	heldBack       []HeldBackTenant
}

// HeldBackTenant is a tenant whose requests wait behind those of other tenants.
type HeldBackTenant struct {
	Tenant  string
	Waiting int
}

// NewWaiting returns the description of the requests that wait for a service.
func NewWaiting(service string, requests, elsewhere, pendingRetries int, overloaded bool, heldBack []HeldBackTenant) Waiting {
	return Waiting{service: service, requests: requests, elsewhere: elsewhere, pendingRetries: pendingRetries, overloaded: overloaded, heldBack: heldBack}
}

// waitingCollector collects the Waiting of all services.
type waitingCollector struct {
	source         func() []Waiting
	requests       *prometheus.Desc
	overloaded     *prometheus.Desc
	pendingRetries *prometheus.Desc
	heldBack       *prometheus.Desc
}

// Waiting registers a collector of what the source returns at each scrape. It lists only tenants
// that are held back, at most one for each priority of a service.
func (s *Set) Waiting(source func() []Waiting) {
	service := []string{"service"}
	s.registry.MustRegister(waitingCollector{
		source:         source,
		requests:       prometheus.NewDesc("rockwind_waiting_requests", "Online requests that wait for a server, in this process and elsewhere as others tell.", []string{"service", "elsewhere"}, nil),
		overloaded:     prometheus.NewDesc("rockwind_room_scarce", "1 while tenants share what is too little room.", service, nil),
		pendingRetries: prometheus.NewDesc("rockwind_promised_returns", "Clients that this process told to come back and whose time has not come.", service, nil),
		heldBack:       prometheus.NewDesc("rockwind_tenant_held_back_requests", "Requests of the tenant that had most, which wait behind those of others.", []string{"service", "tenant"}, nil),
	})
}

// Describe implements prometheus.Collector.
func (w waitingCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, each := range []*prometheus.Desc{w.requests, w.overloaded, w.pendingRetries, w.heldBack} {
		descriptions <- each
	}
}

// Collect implements prometheus.Collector.
func (w waitingCollector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	for _, each := range w.source() {
		gauge(w.requests, float64(each.requests), each.service, strconv.FormatBool(false))
		gauge(w.requests, float64(each.elsewhere), each.service, strconv.FormatBool(true))
		overloaded := 0.0
		if each.overloaded {
			overloaded = 1
		}
		gauge(w.overloaded, overloaded, each.service)
		gauge(w.pendingRetries, float64(each.pendingRetries), each.service)
		heldBack := make(map[string]int)
		for _, tenant := range each.heldBack {
			heldBack[tenant.Tenant] += tenant.Waiting
		}
		for tenant, count := range heldBack {
			gauge(w.heldBack, float64(count), each.service, tenant)
		}
	}
}
