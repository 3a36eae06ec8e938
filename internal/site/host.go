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
)

const (
	// tick is the unit of the consensus protocol's time; leaders are elected in ten
	// to twenty of them.
	tick = 30 * time.Millisecond
	// heartbeatTicks is the interval of heartbeats: three fit into a lease.
	heartbeatTicks = 2
	// groupFolder holds the replicated groups under the data folder.
	groupFolder = "groups"
	// Bounds of the log on a small disk.
	snapshotEntries = 4000
	segmentBytes    = 6 << 20
	// logPart is the part of a process's memory that the log of one group may take
	// behind its newest snapshot; half as much is kept from before that. A store of a
	// large site has five groups. leastLog and mostLog bound it.
	logPart  = 0.02
	leastLog = 1 << 20
	mostLog  = 12 << 20
	// handOverTimeout bounds the hand-over of leadership at a planned stop.
	handOverTimeout = 2 * time.Second
)

// AdvertisedAddress is the address under which other processes of the site reach the one
// with the given settings.
func AdvertisedAddress(given *rockwindpb.SiteSettings) string {
	return cmp.Or(given.GetAdvertise(), given.GetInternalListen())
}

// GroupSize is how many replicas of a group bear the losses that the site tolerates.
func GroupSize(given *rockwindpb.SiteSettings) int { return 2*int(given.GetToleratedLosses()) + 1 }

// LogBytes is how much of the log of one group is kept in memory behind its newest
// snapshot.
func LogBytes(given *rockwindpb.SiteSettings) int64 {
	if given.GetMemoryMb() == 0 {
		return mostLog
	}
	return min(mostLog, max(leastLog, int64(logPart*float64(given.GetMemoryMb())*megabyte)))
}

// HostOptions are what differs between the replicated daemons of a site. The fields
// are those of replica.Options.
type HostOptions struct {
	Discover      func() []*rockwindpb.ControlMachine
	Vacate        func(machine string) bool
	StateMachines func(group uint32) replica.StateMachine
	HandingOver   func(ctx context.Context, group uint32)
	Places        int
}

// OpenHost locks the data folder of the settings and opens the replicas in it. The
// returned function unlocks the folder.
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
		TargetVoters:             options.Places,
		MustLeave:                options.Vacate,
		SnapshotEntries:          snapshotEntries,
		SnapshotBytes:            LogBytes(given),
		TrailingBytes:            LogBytes(given) / 2,
		SegmentBytes:             segmentBytes,
		StateMachines:            options.StateMachines,
		BeforeLeadershipTransfer: options.HandingOver,
	})
	if err != nil {
		release()
		return nil, nil, err
	}
	return host, release, nil
}

// RunHost runs the replicas and the parts that start adds until the context ends.
// Then it hands over leadership while everything still runs, calls handedOver, and
// ends the context of the parts.
func RunHost(ctx context.Context, host *replica.Host, start func(group *errgroup.Group, parts context.Context), handedOver func()) error {
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	group, parts := errgroup.WithContext(parts)
	group.Go(func() error { return host.Run(parts) })
	start(group, parts)
	group.Go(func() error {
		defer stopParts()
		select {
		case <-ctx.Done():
		case <-parts.Done():
		}
		handingOver, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
		defer cancel()
		if err := host.Drain(handingOver); err != nil {
			log.WithError(err).Warn("cannot hand over all leadership")
		}
		handedOver()
		return nil
	})
	return group.Wait()
}
