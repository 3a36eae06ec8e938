// Package store implements the daemon that stores the batch jobs of a site and runs their
// items. Jobs are distributed over shards, each of which is a replicated group. The leader of a
// shard serves its jobs and is the only one that runs their items. A job is acknowledged once
// it is durable on a quorum of the shard's replicas.
package store

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/dial"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/featurelevel"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/sitemetrics"
	"rockwind.example/rockwind/internal/traffic"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// configurationFolder is relative to the data folder.
	configurationFolder = "configuration"
	// announceInterval is the time between announcements before the cluster is bootstrapped,
	// and steadyInterval after that.
	announceInterval = 200 * time.Millisecond
	steadyInterval   = 3 * time.Second
	stopTimeout      = 2 * time.Second
)

// Store is a running store daemon.
type Store struct {
	settings      *rockwindpb.SiteSettings
	gates         featuregate.Set
	client        *http.Client
	traffic       *traffic.Counter
	host          *replica.Host
	watcher       *site.Watcher
	dispatcher    *router.Dispatcher
	stallGuard    *router.StallGuard
	upstream      *upstream.Client
	crashReporter *router.CrashReporter
	protocol      router.Protocol
	limiter       *limiter
	rates         *requestRates
	regions       siteRegions
	contacts      *contacts
	moveGate      *moveGate
	movingJobs    *movingJobs
	// retrials decides on trials of held items of all shards.
	retrials *itemRetrials
	// copying holds a value while a job is copied to another shard: the copy of a large job takes much memory.
	copying chan struct{}

	mutex    sync.Mutex
	machines map[uint32]*jobstore.Machine
	// transfers holds the channels that notify the shards' executors of a leadership transfer.
	transfers map[uint32]chan leadershipTransfer
	created   chan uint32
	// dueChecks holds the checks of due times by shard.
	dueChecks map[uint32]*dueCheck
}

// maximumShards limits the number of shards of one store.
const maximumShards = 1024

// Run serves until the context ends, then transfers leadership and stops.
func Run(ctx context.Context, settings *rockwindpb.SiteSettings, protocol router.Protocol) error {
	site.SetMemoryLimit(settings)
	gates := featuregate.NewSet(settings.GetSwitchedOff())
	counter := traffic.NewCounter(settings.GetZone(), site.Topology(settings))
	s := &Store{
		settings:   settings,
		gates:      gates,
		client:     dial.NewClient(counter.Dial),
		traffic:    counter,
		dispatcher: router.NewDispatcher(settings.GetZone(), site.Topology(settings), gates),
		upstream:   router.NewUpstreamClient(counter),
		protocol:   protocol,
		regions:    siteRegions{site.Topology(settings)},
		contacts:   newContacts(),
		movingJobs: newMovingJobs(),
		retrials:   newItemRetrials(),
		copying:    make(chan struct{}, 1),
		machines:   make(map[uint32]*jobstore.Machine),
		dueChecks:  make(map[uint32]*dueCheck),
		transfers:  make(map[uint32]chan leadershipTransfer),
		created:    make(chan uint32, maximumShards),
	}
	s.dispatcher.CountTraffic(counter)
	host, release, err := site.OpenHost(settings, s.client, s.hostOptions())
	if err != nil {
		return err
	}
	defer release()
	s.host = host
	if s.watcher, err = site.NewWatcher(settings, s.client, filepath.Join(settings.GetDataFolder(), configurationFolder)); err != nil {
		return err
	}
	s.stallGuard = router.NewStallGuard(s.watcher, s.dispatcher)
	s.crashReporter = router.NewCrashReporter(s.watcher, s.upstream, s.protocol, s.dispatcher)
	s.crashReporter.ObserveCrashes(s.retrials.serverCrashed)
	s.limiter = newLimiter(s)
	s.moveGate = newMoveGate(s.limiter.client, s.watcher.Stores)
	s.rates = newRequestRates(s)
	listener, err := site.Listen("internal_listen", settings.GetInternalListen())
	if err != nil {
		return err
	}
	return s.run(ctx, counter.Listener(listener))
}

// hostOptions returns the options of the replicas.
func (s *Store) hostOptions() site.HostOptions {
	options := site.HostOptions{
		Discover: s.peers, MustLeave: s.retiring, StateMachines: s.create, BeforeLeadershipTransfer: s.prepareLeadershipTransfer, TargetVoters: site.GroupSize(s.settings),
		InRegion: s.inRegion, MinimumLevel: s.minimumLevel,
	}
	if s.regions.MultiRegion() {
		options.RegionOf = s.regionOf
	}
	return options
}

// create returns the state machine of a new shard.
func (s *Store) create(shard uint32) replica.StateMachine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	machine := jobstore.New()
	s.machines[shard] = machine
	s.transfers[shard] = make(chan leadershipTransfer)
	s.created <- shard
	return machine
}

func (s *Store) machine(shard uint32) *jobstore.Machine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.machines[shard]
}

// peers returns the other stores, any of which may admit this one to the cluster.
func (s *Store) peers() []*rockwindpb.ControlMachine {
	var peers []*rockwindpb.ControlMachine
	for _, store := range s.watcher.Stores() {
		peers = append(peers, &rockwindpb.ControlMachine{Machine: store.GetName(), Address: store.GetAddress(), Zone: store.GetZone()})
	}
	return peers
}

// retiring reports whether a store has to hand over all its replicas.
func (s *Store) retiring(name string) bool {
	view := s.watcher.Directory()
	if view == nil {
		return false
	}
	machine, known := view.Machine(name)
	return known && machine.GetRetiring()
}

func (s *Store) run(ctx context.Context, listener net.Listener) error {
	log.WithField("machine", s.settings.GetName()).WithField("address", s.settings.GetInternalListen()).Info("store serves")
	return site.RunHost(ctx, s.host, func(group *errgroup.Group, parts context.Context) {
		group.Go(func() error { return s.watcher.Run(parts) })
		group.Go(func() error { s.traffic.Follow(parts, s.watcher.Directory); return nil })
		group.Go(func() error { return s.metrics().Serve(parts, s.settings) })
		group.Go(func() error { return site.Serve(parts, site.NewServer(s.handler()), listener, stopTimeout) })
		group.Go(func() error { s.announce(parts); return nil })
		group.Go(func() error { s.followLeaders(parts); return nil })
		group.Go(func() error { s.followLevels(parts); return nil })
		group.Go(func() error { s.crashReporter.Run(parts); return nil })
		group.Go(func() error { router.FollowDirectory(parts, s.watcher, s.dispatcher, s.upstream); return nil })
		group.Go(func() error { s.stallGuard.Run(parts); return nil })
		group.Go(func() error {
			s.dispatcher.Survey(parts, s.settings, s.watcher, s.protocol, s.upstream)
			return nil
		})
		group.Go(func() error { return s.execute(parts) })
		group.Go(func() error { return s.dispatcher.ShareLoads(parts, s.settings) })
	}, func() {})
}

func (s *Store) metrics() *sitemetrics.Set {
	set := sitemetrics.New("store", decision.Default)
	set.Limits(s.limiter.gauges)
	set.LoadTraffic(s.dispatcher.LoadTraffic)
	set.Traffic(s.traffic)
	set.StoreMemory(s.memory)
	set.Groups(s.host)
	set.Paces(s.dispatcher.Paces)
	set.DrainedZones(s.dispatcher.DrainedZones)
	set.ZoneDrainRevision(func() uint64 { return s.watcher.ZoneDrains().Revision() })
	set.ZoneDrainAge(s.watcher.SinceLastAnswer)
	set.ColdServers(s.dispatcher.ColdServers)
	set.Orphaned(s.dispatcher.Orphaned)
	set.Quarantined(s.crashReporter.QuarantinedCount)
	set.StreamOrigins(s.dispatcher.StreamOrigins)
	set.ShortItems(s.dispatcher.ShortItems)
	set.MovingJobs(s.movingJobs.counts)
	set.Coordinators(s.watcher.WatchFailures)
	set.RequestDistances(s.dispatcher.StartsByDistance, s.dispatcher.RoundTrips)
	return set
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	for _, server := range []rockwindpb.TwirpServer{
		replica.NewServer(s.host),
		rockwindpb.NewJobStoreServiceServer(jobStoreService{s}),
		rockwindpb.NewJobMoveServiceServer(jobMoveService{s}),
		rockwindpb.NewTokenLimitServiceServer(tokenLimitService{s.limiter}),
		rockwindpb.NewRequestRateServiceServer(s.rates),
	} {
		mux.Handle(server.PathPrefix(), server)
	}
	return mux
}

// announce registers this store at the coordinators, and joins the bootstrap of the cluster
// once that is decided.
func (s *Store) announce(ctx context.Context) {
	self := &rockwindpb.Machine{
		Name:      s.settings.GetName(),
		Role:      rockwindpb.SiteRole_SITE_ROLE_STORE,
		Zone:      s.settings.GetZone(),
		Address:   site.AdvertisedAddress(s.settings),
		DiskId:    s.host.DiskID(),
		Bootstrap: s.settings.GetBootstrap(),

		FeatureLevel: featurelevel.Current,
	}
	for {
		founding, err := s.watcher.Announce(ctx, self, !s.member())
		if err != nil {
			log.WithError(err).Debug("no coordinator accepted the announcement")
		}
		interval := announceInterval
		if s.enter(ctx, founding) {
			interval = steadyInterval
		}
		if !retry.Pause(ctx, interval) {
			return
		}
	}
}

// member reports whether this store is a member of the stores' cluster.
func (s *Store) member() bool {
	select {
	case <-s.host.InCluster():
		return true
	default:
		return false
	}
}

// enter joins the cluster as a founding member, and reports whether this store is a member.
func (s *Store) enter(ctx context.Context, founding *rockwindpb.FoundRequest) bool {
	if s.member() {
		return true
	}
	if founding == nil {
		return false
	}
	if err := s.host.AcceptFounding(ctx, founding); err != nil {
		// A store that is not a founder joins through the other stores.
		log.WithError(err).Info("not a founding member of the stores' cluster")
		return false
	}
	return true
}
