package ledgercost

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Result holds the results of the experiment.
type Result struct {
	// Grouped is the way gateways report: many concurrent callers lease many items
	// and report them in groups.
	Grouped Completions `json:"grouped"`
	// OneByOne is the baseline: one caller reports one item at a time and waits
	// until it is synced on a quorum.
	OneByOne Completions `json:"one_by_one"`
	// OneByOneConcurrent reports one item at a time with as many callers as the
	// grouped phase, so that only the log batches writes.
	OneByOneConcurrent Completions `json:"one_by_one_concurrent"`
	// RatioGrouped is the rate of Grouped over that of OneByOne.
	RatioGrouped float64 `json:"ratio_grouped_to_one_by_one"`
	// Memory is the memory of an item in a replica.
	Memory Memory `json:"memory_bytes_per_item"`
	// Recovery has one point for each number of changes.
	Recovery []RecoveryPoint `json:"recovery"`
	// Failover is the time without a leader.
	Failover Failover `json:"failover"`
}

// Completions holds the results of one phase.
type Completions struct {
	// Callers is the number of concurrent callers.
	Callers        int `json:"callers"`
	ItemsPerReport int `json:"items_per_report"`
	// Items is the number of items recorded in Seconds.
	Items          uint64  `json:"items"`
	Seconds        float64 `json:"seconds"`
	ItemsPerSecond float64 `json:"items_per_second"`
	// ReportP50Ms and ReportP99Ms are quantiles of the time until a report was
	// synced on a quorum.
	ReportP50Ms float64 `json:"report_p50_ms"`
	ReportP99Ms float64 `json:"report_p99_ms"`
	// LogBytesPerItem is the growth of one replica's log in the phase, including
	// leases, submissions, frames and checkpoints, divided by the items recorded.
	LogBytesPerItem float64 `json:"log_bytes_per_item"`
}

// Memory is the heap per item in a replica, in bytes.
type Memory struct {
	// Jobs is the number of jobs, of JobItems items each.
	Jobs     int    `json:"jobs"`
	JobItems uint32 `json:"job_items"`
	// Waiting applies to items that are accepted and not leased.
	Waiting float64 `json:"waiting"`
	// Done applies to completed items before sealing, with their result references.
	Done float64 `json:"done"`
	// Sealed applies to completed items of a running job after sealing.
	Sealed float64 `json:"done_sealed"`
	// Ended applies to items of an ended job after sealing.
	Ended float64 `json:"ended_sealed"`
	// SnapshotPerItem is the size of the shard's snapshot per item in the state of
	// Ended.
	SnapshotPerItem float64 `json:"snapshot_ended_sealed"`
}

// RecoveryPoint is the recovery of a replica after a number of changes.
type RecoveryPoint struct {
	// Changes is the length of the shard's log before the kill.
	Changes uint64 `json:"changes"`
	// RecoveryMs is the time from the restart of a killed process until it has
	// applied everything committed before the kill. ProcessMs is the time until it
	// first answers.
	RecoveryMs float64 `json:"recovery_ms"`
	ProcessMs  float64 `json:"process_ms"`
	// StateBytes is the size of the replica's groups on disk, including LogBytes and
	// SnapshotBytes.
	StateBytes    int64 `json:"state_bytes"`
	LogBytes      int64 `json:"log_bytes"`
	SnapshotBytes int64 `json:"snapshot_bytes"`
}

// Failover is the time without a leader after a kill -9 of the leader.
type Failover struct {
	// TickMs is the length of a protocol tick. A replica starts an election after 10
	// to 20 ticks without a leader.
	TickMs float64 `json:"tick_ms"`
	// ElectedMs has, for each kill, the time until another replica reports itself as
	// leader.
	ElectedMs []float64 `json:"elected_ms"`
	// WithoutLeaderMs has, for each kill, the time until a command proposed after it
	// was committed.
	WithoutLeaderMs []float64 `json:"without_leader_ms"`
	P50Ms           float64   `json:"p50_ms"`
	MaxMs           float64   `json:"max_ms"`
}

// computeDerived sets the fields that are computed from others.
func (r *Result) computeDerived() {
	if r.OneByOne.ItemsPerSecond > 0 {
		r.RatioGrouped = r.Grouped.ItemsPerSecond / r.OneByOne.ItemsPerSecond
	}
	sorted := slices.Sorted(slices.Values(r.Failover.WithoutLeaderMs))
	if len(sorted) > 0 {
		r.Failover.P50Ms = stat.Quantile(0.5, stat.Empirical, sorted, nil)
		r.Failover.MaxMs = sorted[len(sorted)-1]
	}
}
