package secure

import "github.com/prometheus/client_golang/prometheus"

var (
	notAfterMetric = prometheus.NewDesc("rockwind_tls_certificate_not_after_seconds",
		"Unix time at which the certificate in force ends, by use.", []string{"use"}, nil)
	failuresMetric = prometheus.NewDesc("rockwind_tls_reload_failures_total",
		"Changed certificate files that could not be used, by use.", []string{"use"}, nil)
)

// Metrics is a collector for the certificate sources of a daemon.
type Metrics []*CertificateSource

// Describe implements prometheus.Collector.
func (Metrics) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- notAfterMetric
	descriptions <- failuresMetric
}

// Collect implements prometheus.Collector.
func (m Metrics) Collect(metrics chan<- prometheus.Metric) {
	for _, source := range m {
		source.collect(metrics)
	}
}

func (s *CertificateSource) collect(metrics chan<- prometheus.Metric) {
	end := s.current.Load().certificate.Leaf.NotAfter
	metrics <- prometheus.MustNewConstMetric(notAfterMetric, prometheus.GaugeValue, float64(end.Unix()), string(s.use))
	metrics <- prometheus.MustNewConstMetric(failuresMetric, prometheus.CounterValue, float64(s.failures.Load()), string(s.use))
}
