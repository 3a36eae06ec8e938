package site

import (
	"cmp"
	"context"
	"net/http"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/settings"
	"rockwind.example/rockwind/internal/wal"
)

const (
	// tick is the time unit of the consensus protocol; the election timeout is ten to twenty
	// ticks.
	tick = 30 * time.Millisecond
	// heartbeatTicks is the interval of heartbeats, so that three fit into a lease.
	heartbeatTicks = 2
	// groupFolder is the folder of the replicated groups in the data folder.
	groupFolder = "groups"
	// Bounds of the log on disk.
	snapshotEntries = 4000
	segmentBytes    = 6 << 20
	// logFraction is the fraction of the process's memory for the log of one group since its
	// latest snapshot; half as much is kept from before the snapshot. A store of a large site has
	// five groups. minLogBytes and maxLogBytes bound the size. If half of the
	// snapshot is less than that, it is the limit instead, but at least minLogBytes.
	logFraction = 0.02
	minLogBytes = 1 << 20
	maxLogBytes = 12 << 20
	// transferTimeout bounds the transfer of leaderships at a planned shutdown.
	transferTimeout = 2 * time.Second
)

// AdvertisedAddress returns the address at which other processes of the site reach the one with
// the given settings.
func AdvertisedAddress(given *rockwindpb.SiteSettings) string {
	return cmp.Or(given.GetAdvertise(), given.GetInternalListen())
}

// GroupSize returns how many replicas a group needs to tolerate the losses in the settings.
func GroupSize(given *rockwindpb.SiteSettings) int { return 2*int(given.GetToleratedLosses()) + 1 }

// LogBytes returns how much of the log of one group is kept in memory since its latest snapshot.
func LogBytes(given *rockwindpb.SiteSettings) int64 {
	if given.GetMemoryMb() == 0 {
		return maxLogBytes
	}
	return min(maxLogBytes, max(minLogBytes, int64(logFraction*float64(given.GetMemoryMb())*megabyte)))
}

// HostOptions are the options that differ between the replicated daemons of a site. The fields are
// those of replica.Options.
type HostOptions struct {
	Discover                 func() []*rockwindpb.ControlMachine
	MustLeave                func(machine string) bool
	StateMachines            func(group uint32) replica.StateMachine
	BeforeLeadershipTransfer func(ctx context.Context, group uint32)
	TargetVoters             int
	InRegion                 func(machine, region string) bool
	RegionOf                 func(machine string) string
	MinimumLevel             func(group uint32) uint32
	FileSystem               wal.FileSystem
}

// OpenHost locks the data folder of the settings and opens the replicas in it. The returned
// function unlocks the folder.
func OpenHost(given *rockwindpb.SiteSettings, client *http.Client, options HostOptions) (host *replica.Host, release func(), err error) {
	if release, err = settings.OpenDataFolder(given.GetDataFolder()); err != nil {
		return nil, nil, err
	}
	host, err = replica.NewHost(replica.Options{
		Machine:                  given.GetName(),
		Address:                  AdvertisedAddress(given),
		Folder:                   filepath.Join(given.GetDataFolder(), groupFolder),
		Client:                   client,
		Tick:                     tick,
		HeartbeatTicks:           heartbeatTicks,
		Discover:                 options.Discover,
		AdmitNew:                 true,
		TargetVoters:             options.TargetVoters,
		MustLeave:                options.MustLeave,
		InRegion:                 options.InRegion,
		RegionOf:                 options.RegionOf,
		MinimumLevel:             options.MinimumLevel,
		FileSystem:               options.FileSystem,
		SnapshotEntries:          snapshotEntries,
		SnapshotBytes:            LogBytes(given),
		MinSnapshotBytes:         minLogBytes,
		TrailingBytes:            LogBytes(given) / 2,
		SegmentBytes:             segmentBytes,
		StateMachines:            options.StateMachines,
		BeforeLeadershipTransfer: options.BeforeLeadershipTransfer,
	})
	if err != nil {
		release()
		return nil, nil, err
	}
	return host, release, nil
}

// RunHost runs the replicas and the tasks that start adds to the group until the context ends. It
// then transfers leadership while everything still runs, calls transferred, and ends the context
// of the tasks.
func RunHost(ctx context.Context, host *replica.Host, start func(group *errgroup.Group, tasksCtx context.Context), transferred func()) error {
	tasksCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	group, tasksCtx := errgroup.WithContext(tasksCtx)
	group.Go(func() error { return host.Run(tasksCtx) })
	start(group, tasksCtx)
	group.Go(func() error {
		defer stopTasks()
		select {
		case <-ctx.Done():
		case <-tasksCtx.Done():
		}
		transferCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), transferTimeout)
		defer cancel()
		if err := host.Drain(transferCtx); err != nil {
			log.WithError(err).Warn("cannot transfer the leadership of all groups")
		}
		transferred()
		return nil
	})
	return group.Wait()
}
