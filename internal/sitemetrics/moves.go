package sitemetrics

import "github.com/prometheus/client_golang/prometheus"

// MovingJobs registers a gauge of the jobs that move between the shards that this store leads and others. The source
// returns their number by the role of this store's shard at each scrape.
func (s *Set) MovingJobs(source func() map[string]int) {
	s.registry.MustRegister(movingJobsCollector{source: source, moving: prometheus.NewDesc(
		"rockwind_moving_jobs", "Jobs that move between shards because their allowed regions changed, by the role of the shard that this store leads.",
		[]string{"state"}, nil)})
}

// movingJobsCollector collects the numbers of moving jobs.
type movingJobsCollector struct {
	source func() map[string]int
	moving *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c movingJobsCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- c.moving }

// Collect implements prometheus.Collector.
func (c movingJobsCollector) Collect(metrics chan<- prometheus.Metric) {
	for state, count := range c.source() {
		metrics <- prometheus.MustNewConstMetric(c.moving, prometheus.GaugeValue, float64(count), state)
	}
}
