package ledgercost

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Folders of a control process, below its own.
const (
	groupsFolder   = "data/groups"
	logFolder      = "log"
	snapshotFolder = "snapshots"
)

// pollGap is the time between two looks at a process or a folder.
const pollGap = 5 * time.Millisecond

// cluster is the control processes under measurement.
type cluster struct {
	fleet   *fleet.Fleet
	options *Command
	// submitted counts jobs, for their keys.
	submitted int
}

// client returns a client with connections of its own.
func (c *cluster) client() *controlclient.Client {
	return controlclient.New(controlclient.Options{Machines: c.fleet.ControlMachines(), Zone: c.fleet.Plan.Zones[0]})
}

// status asks a process how it sees the shard. It returns nil where the process
// does not answer or does not run the shard.
func (c *cluster) status(ctx context.Context, process *fleet.Process) *rockwindpb.GroupStatus {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	service := rockwindpb.NewReplicaServiceProtobufClient("http://"+process.Address, http.DefaultClient)
	identity, err := service.Identity(ctx, &rockwindpb.IdentityRequest{})
	if err != nil {
		return nil
	}
	for _, group := range identity.GetGroups() {
		if group.GetGroup() == benchShard {
			return group
		}
	}
	return nil
}

// leader waits until the shard has a leader that answers.
func (c *cluster) leader(ctx context.Context) (*fleet.Process, error) {
	for ctx.Err() == nil {
		for _, process := range c.fleet.Controls {
			seen := c.status(ctx, process)
			if seen != nil && seen.GetLeaderAddress() == process.Address {
				return process, nil
			}
		}
		pause(ctx)
	}
	return nil, errors.Wrap(ctx.Err(), "wait for a leader")
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(pollGap):
	}
}

// folderBytes sums the sizes of the files below a folder.
func folderBytes(folder string) int64 {
	total := int64(0)
	// Files that vanish while the walk goes on are not counted.
	_ = filepath.WalkDir(folder, func(_ string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	return total
}
