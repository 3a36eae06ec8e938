package faults

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/fault"
)

const (
	// repairTimeout bounds the wait for a repair after disks were lost.
	repairTimeout = 90 * time.Second
	// repairGap is the time between two questions whether it is done.
	repairGap = 250 * time.Millisecond
)

// clusterView is what the experiment reads of `rockwind cluster status --output json`.
type clusterView struct {
	Repaired bool     `json:"repaired"`
	Missing  []string `json:"missing"`
}

// awaitRepaired waits until the product itself says that everything acknowledged
// has all its copies again, so that the next disks may be lost at once.
func (i *injector) awaitRepaired(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	last := clusterView{}
	for {
		seen, err := i.clusterView(context.WithoutCancel(ctx))
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
		wait(ctx, repairGap)
	}
}

func (i *injector) clusterView(ctx context.Context) (clusterView, error) {
	seen := clusterView{}
	output, err := i.fleet.RunCommandOutput(ctx, "cluster", "status", "--output", "json")
	if err != nil {
		return seen, err
	}
	return seen, json.Unmarshal([]byte(output), &seen)
}
