package ledgercost

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Result holds the figures of the experiment.
type Result struct {
	// Grouped is the product's way: leases of many items, reported in groups by
	// many gateways at once.
	Grouped Completions `json:"grouped"`
	// OneByOne is the baseline: one caller reports one item at a time and waits
	// until it is synced on a quorum.
	OneByOne Completions `json:"one_by_one"`
	// OneByOneConcurrent reports one item at a time, too, but from as many callers
	// as the grouped phase has: only the log groups what it syncs.
	OneByOneConcurrent Completions `json:"one_by_one_concurrent"`
	// RatioGrouped is the rate of Grouped over that of OneByOne.
	RatioGrouped float64 `json:"ratio_grouped_to_one_by_one"`
	// Memory is the memory of an item held by a replica.
	Memory Memory `json:"memory_bytes_per_item"`
	// Recovery has a point for each number of changes.
	Recovery []RecoveryPoint `json:"recovery"`
	// Failover is the time without a leader.
	Failover Failover `json:"failover"`
}

// Completions is what one phase of reports achieved.
type Completions struct {
	// Callers report at once; ItemsPerReport go in one call.
	Callers        int `json:"callers"`
	ItemsPerReport int `json:"items_per_report"`
	// Items were recorded in Seconds.
	Items          uint64  `json:"items"`
	Seconds        float64 `json:"seconds"`
	ItemsPerSecond float64 `json:"items_per_second"`
	// ReportP50Ms and ReportP99Ms are how long a report took until it was synced
	// on a quorum, in ms.
	ReportP50Ms float64 `json:"report_p50_ms"`
	ReportP99Ms float64 `json:"report_p99_ms"`
	// LogBytesPerItem is what one replica's log grew by in the phase, leases,
	// submissions, frames and checkpoints included, over the items recorded.
	LogBytesPerItem float64 `json:"log_bytes_per_item"`
}

// Memory is the heap that one item takes in a replica, in bytes, over jobs of the
// measured size.
type Memory struct {
	// Jobs of JobItems items each were held.
	Jobs     int    `json:"jobs"`
	JobItems uint32 `json:"job_items"`
	// Waiting is that of items that were accepted and not leased.
	Waiting float64 `json:"waiting"`
	// Done is that of items just recorded, with the references of their results;
	// it is bounded by the sealing that follows within seconds.
	Done float64 `json:"done"`
	// Sealed is that of done items of a running job, after sealing.
	Sealed float64 `json:"done_sealed"`
	// Ended is that of items of a job that has ended, after sealing.
	Ended float64 `json:"ended_sealed"`
	// SnapshotPerItem is the size of the shard's snapshot over the items, in the
	// state of Ended.
	SnapshotPerItem float64 `json:"snapshot_ended_sealed"`
}

// RecoveryPoint tells how a replica recovers after a number of changes.
type RecoveryPoint struct {
	// Changes is the length of the shard's log before the kill.
	Changes uint64 `json:"changes"`
	// RecoveryMs is the time from the start of a killed process until it has
	// applied all that was committed before, in ms; ProcessMs is the time until it
	// answers at all.
	RecoveryMs float64 `json:"recovery_ms"`
	ProcessMs  float64 `json:"process_ms"`
	// StateBytes is what the replica's groups take on disk; LogBytes and
	// SnapshotBytes are its parts.
	StateBytes    int64 `json:"state_bytes"`
	LogBytes      int64 `json:"log_bytes"`
	SnapshotBytes int64 `json:"snapshot_bytes"`
}

// Failover is the time without a leader after a kill -9 of the leader.
type Failover struct {
	// TickMs is the unit of the protocol's time; a replica asks for votes after 10
	// to 20 ticks without a leader.
	TickMs float64 `json:"tick_ms"`
	// ElectedMs has, for each kill, the time until another replica says that it
	// leads, in ms.
	ElectedMs []float64 `json:"elected_ms"`
	// WithoutLeaderMs has, for each kill, the time from the kill until a command
	// proposed afterwards was committed, in ms.
	WithoutLeaderMs []float64 `json:"without_leader_ms"`
	P50Ms           float64   `json:"p50_ms"`
	MaxMs           float64   `json:"max_ms"`
}

// summarise works out the figures that follow from others.
func (r *Result) summarise() {
	if r.OneByOne.ItemsPerSecond > 0 {
		r.RatioGrouped = r.Grouped.ItemsPerSecond / r.OneByOne.ItemsPerSecond
	}
	sorted := slices.Sorted(slices.Values(r.Failover.WithoutLeaderMs))
	if len(sorted) > 0 {
		r.Failover.P50Ms = stat.Quantile(0.5, stat.Empirical, sorted, nil)
		r.Failover.MaxMs = sorted[len(sorted)-1]
	}
}
