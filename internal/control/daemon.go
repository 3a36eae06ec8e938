// Package control implements the control daemon. It hosts the replicated groups of
// its machine (configuration and job shards), the body store, and the exchange of
// load digests among gateways.
package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/events"
	"rockwind.example/rockwind/internal/follower"
	"rockwind.example/rockwind/internal/linkfault"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/secure"
	"rockwind.example/rockwind/internal/segment"
	"rockwind.example/rockwind/internal/sharding"
)

// Folders under the data folder.
const (
	groupFolder         = "groups"
	segmentFolder       = "segments"
	configurationFolder = "configuration"
)

// Option configures the daemon.
type Option func(*daemon)

// WithLogs sets the log ring that the administration service reads.
func WithLogs(ring *logring.Ring) Option {
	return func(d *daemon) { d.ring = ring }
}

// WithClient sets the HTTP client for calls to other control machines. By default
// it is built from the settings.
func WithClient(client *http.Client) Option {
	return func(d *daemon) { d.client = client }
}

// WithLinkFaults allows experiments to cut the connections to other control
// machines over HTTP.
func WithLinkFaults(links *linkfault.Links) Option {
	return func(d *daemon) { d.links = links }
}

// WithListener makes the daemon serve on a listener instead of the address in its
// settings.
func WithListener(listener net.Listener) Option {
	return func(d *daemon) { d.listener = listener }
}

// WithRepairInterval sets the interval at which the machine looks for missing
// copies of bodies.
func WithRepairInterval(interval time.Duration) Option {
	return func(d *daemon) { d.repairInterval = interval }
}

// daemon is a running control machine.
type daemon struct {
	settings *rockwindpb.ControlSettings
	address  string
	ring     *logring.Ring
	client   *http.Client
	listener net.Listener
	// certificates is nil if TLS is off.
	certificates *secure.CertificateSource
	// links is nil outside experiments.
	links *linkfault.Links
	// repairInterval is zero for the default.
	repairInterval time.Duration

	host          *replica.Host
	stateMachines *stateMachines
	bodies        *segment.Node
	exchange      *fleetService
	bus           *events.Bus
	metrics       *metrics

	// configurationFollower is set on machines that do not replicate the root group.
	configurationFollower atomic.Pointer[follower.Follower]

	draining   atomic.Bool
	inProgress atomic.Int64
	// stopping is canceled to end long polls when the daemon stops.
	stopping        context.Context
	cancelLongPolls context.CancelFunc

	mutex  sync.Mutex
	shards map[uint32]*shard
}

// Run serves until ctx is done. It then transfers leadership, finishes the calls in
// progress and syncs.
func Run(ctx context.Context, settings *rockwindpb.ControlSettings, options ...Option) error {
	release, err := openDataFolder(settings.GetDataFolder())
	if err != nil {
		return err
	}
	defer release()
	created := &daemon{
		settings:      settings,
		stateMachines: newStateMachines(),
		shards:        make(map[uint32]*shard),
	}
	for _, option := range options {
		option(created)
	}
	if err := created.listen(); err != nil {
		return err
	}
	if err := created.open(); err != nil {
		return errors.CombineErrors(err, created.listener.Close())
	}
	return created.run(ctx)
}

// open initializes the components of the daemon.
func (d *daemon) open() error {
	d.stopping, d.cancelLongPolls = context.WithCancel(context.Background())
	var err error
	if d.certificates, err = secure.Open(secure.Internal, d.settings.GetInternalTls(), log.Log); err != nil {
		return err
	}
	if d.client == nil {
		d.client = d.newClient()
	}
	if d.host, err = d.openHost(); err != nil {
		return err
	}
	if d.bodies, err = d.openBodies(); err != nil {
		return err
	}
	if d.bus, err = events.NewBus(); err != nil {
		return err
	}
	d.metrics = newMetrics(d.bodies)
	d.metrics.registry.MustRegister(replica.Metrics{Host: d.host})
	if d.certificates != nil {
		d.metrics.registry.MustRegister(secure.Metrics{d.certificates})
	}
	d.exchange = newFleetService(d)
	d.handleEvents()
	return nil
}

// newClient returns the client for calls to other control machines.
func (d *daemon) newClient() *http.Client {
	transport := controlclient.NewTransport()
	if d.certificates != nil {
		d.certificates.Transport(transport)
	}
	if d.links != nil {
		return &http.Client{Transport: d.links.Transport(transport)}
	}
	return &http.Client{Transport: transport}
}

// openHost opens the replicated groups of this machine.
func (d *daemon) openHost() (*replica.Host, error) {
	return replica.NewHost(replica.Options{
		Machine:       d.settings.GetMachine(),
		Address:       d.address,
		Folder:        filepath.Join(d.settings.GetDataFolder(), groupFolder),
		Client:        d.client,
		Secure:        d.certificates != nil,
		Tick:          d.settings.GetTick().AsDuration(),
		Peers:         d.settings.GetControl(),
		StateMachines: d.stateMachines.create,
	})
}

// openBodies opens the body store of this machine.
func (d *daemon) openBodies() (*segment.Node, error) {
	files, err := segment.NewFileSystem(filepath.Join(d.settings.GetDataFolder(), segmentFolder))
	if err != nil {
		return nil, err
	}
	return segment.Open(segment.Options{
		Machine: d.settings.GetMachine(),
		DiskID:  fmt.Sprintf("%016x", d.host.DiskID()),
		Files:   files,
		Peers:   d.segmentPeers(),

		RepairInterval: d.repairInterval,
	})
}

func (d *daemon) segmentPeers() []segment.Peer {
	var peers []segment.Peer
	for _, other := range d.otherMachines() {
		peers = append(peers, segment.Peer{
			Machine: other.GetMachine(),
			Service: rockwindpb.NewSegmentServiceProtobufClient(d.baseURL(other), d.client),
		})
	}
	return peers
}

// otherMachines returns the control machines except this one.
func (d *daemon) otherMachines() []*rockwindpb.ControlMachine {
	var result []*rockwindpb.ControlMachine
	for _, machine := range d.settings.GetControl() {
		if machine.GetMachine() != d.settings.GetMachine() {
			result = append(result, machine)
		}
	}
	return result
}

func (d *daemon) baseURL(machine *rockwindpb.ControlMachine) string {
	if d.certificates != nil {
		return "https://" + machine.GetAddress()
	}
	return "http://" + machine.GetAddress()
}

// run runs all components. The server stops first, while the components that it
// needs to finish its calls still run.
func (d *daemon) run(ctx context.Context) error {
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	group, parts := errgroup.WithContext(parts)
	if d.certificates != nil {
		group.Go(func() error { d.certificates.Run(parts); return nil })
	}
	group.Go(func() error { return d.host.Run(parts) })
	group.Go(func() error { return d.bodies.Run(parts) })
	group.Go(func() error { return d.bus.Run(parts) })
	group.Go(func() error { return d.exchange.run(parts) })
	group.Go(func() error { return d.startGroups(parts, group) })
	group.Go(func() error { return d.followConfiguration(parts) })
	group.Go(func() error { return d.runPlacement(parts) })
	group.Go(func() error {
		defer stopParts()
		serving, cancel := withEither(ctx, parts)
		defer cancel()
		return d.serve(serving)
	})
	log.WithField("address", d.address).Info("control machine serves")
	err := group.Wait()
	d.cancelLongPolls()
	return errors.CombineErrors(err, d.bodies.Close())
}

// withEither returns a context that is canceled when either of two contexts is.
func withEither(first, second context.Context) (context.Context, context.CancelFunc) {
	both, cancel := context.WithCancel(first)
	detach := context.AfterFunc(second, cancel)
	return both, func() {
		detach()
		cancel()
	}
}

// cancelOnStop returns a context for long polls. It is also canceled when the
// daemon stops.
func (d *daemon) cancelOnStop(ctx context.Context) (context.Context, context.CancelFunc) {
	return withEither(ctx, d.stopping)
}

// groupPollInterval is the interval at which runGroup checks whether the host has
// added the group of a new state machine.
const groupPollInterval = 10 * time.Millisecond

// startGroups starts a goroutine for each new group.
func (d *daemon) startGroups(ctx context.Context, parts *errgroup.Group) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case number := <-d.stateMachines.created:
			parts.Go(func() error {
				d.runGroup(ctx, number)
				return nil
			})
		}
	}
}

// runGroup watches the root group or maintains a shard until ctx is done.
func (d *daemon) runGroup(ctx context.Context, number uint32) {
	group, known := d.host.Group(number)
	for !known {
		if !retry.Pause(ctx, groupPollInterval) {
			return
		}
		group, known = d.host.Group(number)
	}
	if number == sharding.RootGroup {
		d.watchRoot(ctx)
		return
	}
	started := &shard{number: number, group: group, ledger: d.stateMachines.ledger(number), demand: newDemandNotifier()}
	d.mutex.Lock()
	d.shards[number] = started
	d.mutex.Unlock()
	maintainer := &shardMaintainer{daemon: d, shard: started}
	maintainer.run(ctx)
}

// transferLeadership gives up the leadership of all groups.
func (d *daemon) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := d.host.Drain(ctx); err != nil {
		log.WithError(err).Warn("cannot transfer the leadership of all groups")
	}
}
