// Package store is the daemon that keeps the batch jobs of a site and runs their
// items. Jobs are spread over shards, each a replicated group; the leader of a
// shard answers for its jobs and is the only one that runs their items. A job is
// acknowledged once a quorum of the shard's replicas has synced it.
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
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/sitemetrics"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// configurationFolder is under the data folder.
	configurationFolder = "configuration"
	// announceInterval is the time between announcements while the cluster is not
	// founded, and steadyInterval afterwards.
	announceInterval = 200 * time.Millisecond
	steadyInterval   = 3 * time.Second
	stopTimeout      = 2 * time.Second
)

// Store is a running store.
type Store struct {
	settings   *rockwindpb.SiteSettings
	gates      gate.Set
	client     *http.Client
	host       *replica.Host
	watcher    *site.Watcher
	dispatcher *router.Dispatcher
	upstream   *upstream.Client
	witness    *router.CrashReporter
	protocol   router.Protocol
	limiter    *limiter
	rates      *requestRates

	mutex    sync.Mutex
	machines map[uint32]*jobstore.Machine
	// partings are the channels by which the shards' executors are told of a hand-over.
	partings map[uint32]chan parting
	created  chan uint32
}

// maximumShards bounds the shards of one store.
const maximumShards = 1024

// Run serves until the context ends, and then hands over leadership and stops.
func Run(ctx context.Context, settings *rockwindpb.SiteSettings, protocol router.Protocol) error {
	site.BoundMemory(settings)
	gates := gate.NewSet(settings.GetSwitchedOff())
	s := &Store{
		settings:   settings,
		gates:      gates,
		client:     dial.NewClient(),
		dispatcher: router.NewDispatcher(settings.GetZone(), gates),
		upstream:   router.NewUpstreamClient(),
		protocol:   protocol,
		machines:   make(map[uint32]*jobstore.Machine),
		partings:   make(map[uint32]chan parting),
		created:    make(chan uint32, maximumShards),
	}
	host, release, err := site.OpenHost(settings, s.client, site.HostOptions{
		Discover: s.peers, Vacate: s.retiring, StateMachines: s.create, HandingOver: s.part, Places: site.Places(settings),
	})
	if err != nil {
		return err
	}
	defer release()
	s.host = host
	if s.watcher, err = site.NewWatcher(settings, s.client, filepath.Join(settings.GetDataFolder(), configurationFolder)); err != nil {
		return err
	}
	s.witness = router.NewCrashReporter(s.watcher, s.upstream, s.protocol)
	s.limiter = newLimiter(s)
	s.rates = newRequestRates(s)
	listener, err := site.Listen("internal_listen", settings.GetInternalListen())
	if err != nil {
		return err
	}
	return s.run(ctx, listener)
}

// create returns the state machine of a shard.
func (s *Store) create(shard uint32) replica.StateMachine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	machine := jobstore.New()
	s.machines[shard] = machine
	s.partings[shard] = make(chan parting)
	s.created <- shard
	return machine
}

func (s *Store) machine(shard uint32) *jobstore.Machine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.machines[shard]
}

// peers lists the other stores, one of which may let this one join.
func (s *Store) peers() []*rockwindpb.ControlMachine {
	var peers []*rockwindpb.ControlMachine
	for _, store := range s.watcher.Stores() {
		peers = append(peers, &rockwindpb.ControlMachine{Machine: store.GetName(), Address: store.GetAddress(), Zone: store.GetZone()})
	}
	return peers
}

// retiring tells whether a store has to hand over all it keeps.
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
		group.Go(func() error { return s.metrics().Serve(parts, s.settings) })
		group.Go(func() error { return site.Serve(parts, site.NewServer(s.handler()), listener, stopTimeout) })
		group.Go(func() error { s.announce(parts); return nil })
		group.Go(func() error { s.witness.Run(parts); return nil })
		group.Go(func() error { router.FollowDirectory(parts, s.watcher, s.dispatcher, s.upstream); return nil })
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
	set.Paces(s.dispatcher.Paces)
	set.DrainedZones(s.dispatcher.DrainedZones)
	set.LeftBehind(s.dispatcher.LeftBehind)
	set.Held(s.witness.QuarantinedCount)
	set.ShortItems(s.dispatcher.ShortItems)
	set.Coordinators(s.watcher.Silence)
	return set
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	for _, server := range []rockwindpb.TwirpServer{
		rockwindpb.NewReplicaServiceServer(s.host.Service()),
		rockwindpb.NewJobStoreServiceServer(jobStoreService{s}),
		rockwindpb.NewTokenLimitServiceServer(tokenLimitService{s.limiter}),
		rockwindpb.NewRequestRateServiceServer(s.rates),
	} {
		mux.Handle(server.PathPrefix(), server)
	}
	return mux
}

// announce makes this store known, and founds the cluster once that is decided.
func (s *Store) announce(ctx context.Context) {
	self := &rockwindpb.Machine{
		Name:      s.settings.GetName(),
		Role:      rockwindpb.SiteRole_SITE_ROLE_STORE,
		Zone:      s.settings.GetZone(),
		Address:   site.Advertised(s.settings),
		DiskId:    s.host.DiskID(),
		Bootstrap: s.settings.GetBootstrap(),
	}
	for {
		founding, err := s.watcher.Announce(ctx, self, !s.member())
		if err != nil {
			log.WithError(err).Debug("no coordinator took the announcement")
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

// member tells whether this store belongs to the stores' cluster.
func (s *Store) member() bool {
	select {
	case <-s.host.Founded():
		return true
	default:
		return false
	}
}

// enter makes this store a founding member, and tells whether it belongs to the
// cluster.
func (s *Store) enter(ctx context.Context, founding *rockwindpb.FoundRequest) bool {
	if s.member() {
		return true
	}
	if founding == nil {
		return false
	}
	if err := s.host.Enter(ctx, founding); err != nil {
		// A store whose disk is not among the founders joins through the others.
		log.WithError(err).Info("not a founder of the stores' cluster")
		return false
	}
	return true
}
