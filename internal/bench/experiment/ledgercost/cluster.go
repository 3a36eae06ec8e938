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

// Folders below the folder of a control process; the last two are below the first.
const (
	groupsFolder   = "data/groups"
	logFolder      = "log"
	snapshotFolder = "snapshots"
)

// pollInterval is the time between two polls of a process or folder.
const pollInterval = 5 * time.Millisecond

// cluster is the group of control processes under measurement.
type cluster struct {
	fleet   *fleet.Fleet
	options *Command
	// holders counts the holders created; it seeds their random numbers.
	holders int
}

// client returns a control client with its own connections.
func (c *cluster) client() *controlclient.Client {
	return controlclient.New(controlclient.Options{Machines: c.fleet.ControlMachines(), Zone: c.fleet.Plan.Zones[0]})
}

// status returns the shard status reported by a process, or nil if the process does
// not answer or does not host the shard.
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

// leader waits until a process reports itself as leader of the shard.
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
	case <-time.After(pollInterval):
	}
}

// folderBytes sums the sizes of the files below a folder.
func folderBytes(folder string) int64 {
	total := int64(0)
	// Files deleted during the walk are not counted.
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
