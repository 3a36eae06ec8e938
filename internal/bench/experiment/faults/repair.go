package faults

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/fault"
)

const (
	// repairTimeout bounds the wait for a repair after a disk loss.
	repairTimeout = 90 * time.Second
	// repairPollInterval is the pause between two status requests.
	repairPollInterval = 250 * time.Millisecond
)

// clusterStatus holds the fields used from `rockwind cluster status --output json`.
type clusterStatus struct {
	Repaired bool     `json:"repaired"`
	Missing  []string `json:"missing"`
}

// awaitRepaired waits until the cluster reports that all acknowledged data is fully
// replicated again. Only then may another fault wipe a disk.
func (i *injector) awaitRepaired(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	last := clusterStatus{}
	for {
		seen, err := i.clusterStatus(context.WithoutCancel(ctx))
		if err == nil && seen.Repaired {
			return nil
		}
		if err != nil {
			seen.Missing = []string{err.Error()}
		}
		last = seen
		if ctx.Err() != nil {
			return fault.Newf(fault.Unavailable, "read the logs of the control daemons",
				"lost disks were not repaired in %s: %s", repairTimeout, strings.Join(last.Missing, "; "))
		}
		sleep(ctx, repairPollInterval)
	}
}

func (i *injector) clusterStatus(ctx context.Context) (clusterStatus, error) {
	seen := clusterStatus{}
	output, err := i.fleet.RunCommandOutput(ctx, "cluster", "status", "--output", "json")
	if err != nil {
		return seen, err
	}
	return seen, json.Unmarshal([]byte(output), &seen)
}
