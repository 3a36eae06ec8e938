package propagation

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Result holds the results of the experiment. Byte counts include headers and both
// directions.
type Result struct {
	Daemons int `json:"daemons"`
	Tenants int `json:"tenants"`
	// OperatorApplyMs is the duration of `rockwind apply -f` with the full-size file,
	// from reading to commit.
	OperatorApplyMs float64 `json:"operator_apply_ms"`
	// FirstTransferMs is the time from the concurrent start of all daemons with empty
	// disks until all have the full-size configuration in force.
	FirstTransferMs float64 `json:"first_transfer_ms"`
	// IdleBytesPerDaemonSecond is the traffic of a daemon without changes.
	IdleBytesPerDaemonSecond float64 `json:"idle_bytes_per_daemon_second"`
	// Steady and Restarting are phases in which each change affects one tenant,
	// without and with daemon restarts.
	Steady     PhaseStats `json:"steady"`
	Restarting PhaseStats `json:"restarting"`
	// Away applies to daemons that were stopped until control had dropped the changes
	// that they missed.
	Away Rejoin `json:"away"`
	// Killed applies to the daemons of one process that was killed, with changes
	// applied before its restart.
	Killed Rejoin `json:"killed"`
	// Reverts counts reverts of a daemon to a lower number, also across restarts.
	Reverts int `json:"reverts"`
	// Missing counts daemons without the last configuration at the end.
	Missing int `json:"missing"`
}

// PhaseStats holds the delays and traffic of the changes of one phase.
type PhaseStats struct {
	Changes  int `json:"changes"`
	Restarts int `json:"restarts"`
	// ApplyP50Ms is the duration of a call that applies a configuration.
	ApplyP50Ms float64 `json:"apply_p50_ms"`
	// EverywhereP50Ms and EverywhereMaxMs are quantiles over the changes of the time
	// from the call that applies the change until every daemon has it, or a newer
	// one, in force.
	EverywhereP50Ms float64 `json:"everywhere_p50_ms"`
	EverywhereMaxMs float64 `json:"everywhere_max_ms"`
	// DaemonP50Ms and DaemonP99Ms are quantiles of this time over all pairs of daemon
	// and change.
	DaemonP50Ms float64 `json:"daemon_p50_ms"`
	DaemonP99Ms float64 `json:"daemon_p99_ms"`
	// BytesP50 and BytesMax are quantiles over the daemons of the traffic per change,
	// less the traffic of an idle daemon.
	BytesP50 float64 `json:"bytes_per_change_p50"`
	BytesMax float64 `json:"bytes_per_change_max"`
}

// Rejoin describes how stopped daemons caught up after their restart.
type Rejoin struct {
	Daemons int `json:"daemons"`
	// Missed is the number of changes that each daemon missed.
	Missed int `json:"missed"`
	// InForceMs is the time from the restart until all of them have the newest
	// configuration in force.
	InForceMs float64 `json:"in_force_ms"`
	// FullTransfers counts transfers of the complete configuration.
	FullTransfers int `json:"fulls"`
	// BytesPerDaemon is the mean traffic until then.
	BytesPerDaemon float64 `json:"bytes_per_daemon"`
}

func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return stat.Quantile(fraction, stat.Empirical, slices.Sorted(slices.Values(values)), nil)
}
