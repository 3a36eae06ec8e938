package propagation

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Result holds the figures of the experiment. Times are in ms; bytes are on the
// wire, headers included, both directions.
type Result struct {
	Daemons int `json:"daemons"`
	Tenants int `json:"tenants"`
	// OperatorApplyMs is how long `rockwind apply -f` of the whole file took: read,
	// check, send, commit.
	OperatorApplyMs float64 `json:"operator_apply_ms"`
	// FirstTransferMs is the time from the start of the daemons, all at once and
	// with empty disks, until all have the whole configuration in force.
	FirstTransferMs float64 `json:"first_transfer_ms"`
	// IdleBytesPerDaemonSecond is the traffic of a daemon without changes.
	IdleBytesPerDaemonSecond float64 `json:"idle_bytes_per_daemon_second"`
	// Steady and Restarting are phases of changes of one tenant each, without and
	// with daemons that restart.
	Steady     PhaseStats `json:"steady"`
	Restarting PhaseStats `json:"restarting"`
	// Away is daemons that were stopped while control dropped the changes that
	// they miss.
	Away Rejoin `json:"away"`
	// Killed is the daemons of one process that was killed and started again, with
	// changes meanwhile.
	Killed Rejoin `json:"killed"`
	// Reverts counts moves of a daemon to a lower number, restarts included.
	Reverts int `json:"reverts"`
	// Missing counts daemons without the last configuration at the end.
	Missing int `json:"missing"`
}

// PhaseStats is how changes reached the daemons.
type PhaseStats struct {
	Changes  int `json:"changes"`
	Restarts int `json:"restarts"`
	// ApplyP50Ms is how long a call that applies a configuration took.
	ApplyP50Ms float64 `json:"apply_p50_ms"`
	// EverywhereP50Ms and EverywhereMaxMs are over the changes: the time from the
	// call that applies it until the last daemon has it, or a newer one, in force.
	EverywhereP50Ms float64 `json:"everywhere_p50_ms"`
	EverywhereMaxMs float64 `json:"everywhere_max_ms"`
	// DaemonP50Ms and DaemonP99Ms are over the daemons and changes.
	DaemonP50Ms float64 `json:"daemon_p50_ms"`
	DaemonP99Ms float64 `json:"daemon_p99_ms"`
	// BytesP50 and BytesMax are over the daemons: the traffic of the phase over
	// its changes, without the traffic of an idle daemon.
	BytesP50 float64 `json:"bytes_per_change_p50"`
	BytesMax float64 `json:"bytes_per_change_max"`
}

// Rejoin is how daemons came back after they had been away.
type Rejoin struct {
	Daemons int `json:"daemons"`
	// Missed is how many changes each missed.
	Missed int `json:"missed"`
	// InForceMs is the time from the start until all of them had the newest
	// configuration in force.
	InForceMs float64 `json:"in_force_ms"`
	// FullTransfers counts whole transfers.
	FullTransfers int `json:"fulls"`
	// BytesPerDaemon is the traffic until then.
	BytesPerDaemon float64 `json:"bytes_per_daemon"`
}

func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return stat.Quantile(part, stat.Empirical, slices.Sorted(slices.Values(values)), nil)
}
