package sitemetrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"rockwind.example/rockwind/internal/replica"
)

// StoreMemory holds the sizes of the large contents of a store's memory, in bytes.
type StoreMemory struct {
	replica.MemoryUse
	// Shards holds the sizes of the states by shard.
	Shards map[uint32]ShardMemory
}

// ShardMemory holds the sizes of the contents of a shard's state, in bytes.
type ShardMemory struct {
	Bodies, Results, PartialOutputs int64
}

// memoryCollector collects the sizes of a StoreMemory.
type memoryCollector struct {
	source func() StoreMemory
}

var (
	logBytesDesc = prometheus.NewDesc("rockwind_log_memory_bytes",
		"Bytes of the log entries of a group that are in memory.", []string{"group"}, nil)
	stateBytesDesc = prometheus.NewDesc("rockwind_job_memory_bytes",
		"Bytes of the jobs of a group in memory: bodies, results, or partial outputs.", []string{"group", "content"}, nil)
	snapshotBytesDesc = prometheus.NewDesc("rockwind_snapshot_memory_bytes",
		"Bytes of the snapshots that are being saved, sent or received.", []string{"use"}, nil)
)

// StoreMemory registers gauges of the large contents of a store's memory. The source is called at each scrape.
func (s *Set) StoreMemory(source func() StoreMemory) {
	s.registry.MustRegister(memoryCollector{source: source})
}

// Describe implements prometheus.Collector.
func (c memoryCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- logBytesDesc
	descriptions <- stateBytesDesc
	descriptions <- snapshotBytesDesc
}

// Collect implements prometheus.Collector.
func (c memoryCollector) Collect(collected chan<- prometheus.Metric) {
	gauge := func(description *prometheus.Desc, bytes int64, labels ...string) {
		collected <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(bytes), labels...)
	}
	memory := c.source()
	for group, bytes := range memory.Log {
		gauge(logBytesDesc, bytes, strconv.FormatUint(uint64(group), 10))
	}
	for group, shard := range memory.Shards {
		label := strconv.FormatUint(uint64(group), 10)
		gauge(stateBytesDesc, shard.Bodies, label, "bodies")
		gauge(stateBytesDesc, shard.Results, label, "results")
		gauge(stateBytesDesc, shard.PartialOutputs, label, "partial_outputs")
	}
	gauge(snapshotBytesDesc, memory.Encoded, "saved")
	gauge(snapshotBytesDesc, memory.Sent, "sent")
	gauge(snapshotBytesDesc, memory.Received, "received")
}
