// Package coordinator implements the coordinator daemon. Coordinators replicate the site's
// configuration and its directory of servers and machines, and serve both to the routers and
// stores that watch them. Any coordinator accepts any call; changes go to the leader of the root
// group. A coordinator without contact to the leader fails calls with fault.Unavailable instead
// of answering from stale state. Only watches may be answered before a leader is elected after a
// start, from a state that a majority confirmed. A non-member, a coordinator without a replica of the root group,
// forwards calls to the members.
package coordinator

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/catalog"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/dial"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharding"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/sitemetrics"
	"rockwind.example/rockwind/internal/stall"
	"rockwind.example/rockwind/internal/traffic"
	"rockwind.example/rockwind/internal/twirphttp"
	"rockwind.example/rockwind/internal/zonedrain"
)

const (
	// foundingInterval is the time between attempts to found the cluster.
	foundingInterval = 100 * time.Millisecond
	// leaderRetryInterval is the time between attempts to reach a leader.
	leaderRetryInterval = 30 * time.Millisecond
	// startPollInterval is the polling interval of awaitCurrentState.
	startPollInterval = 10 * time.Millisecond
	// stopTimeout bounds the calls in progress at a graceful shutdown.
	stopTimeout = 2 * time.Second
	// maxRootMembers is the number of coordinators that hold a replica of the root group, unless
	// the site settings ask for more. Further coordinators are non-members.
	maxRootMembers = 5
)

// Coordinator is a running coordinator. Its methods are safe for concurrent use.
type Coordinator struct {
	settings  *rockwindpb.SiteSettings
	client    *http.Client
	traffic   *traffic.Counter
	host      *replica.Host
	rootState atomic.Pointer[rootStateMachine]
	liveness  *liveness
	// identifier is nil if addresses cannot be probed.
	identifier site.Identifier
	prober     addressProber
	// memberSelector orders the members that a non-member forwards calls to.
	memberSelector memberSelector
	// follower holds the state that a non-member watches at members.
	follower rootFollower
	// commands orders the commands of operators while this coordinator leads the root group.
	commands commandSequence
	// stalls records when this process stood still.
	stalls stall.Monitor
	// watchers is the number of directory watches in progress.
	watchers atomic.Int64
	// unreported is what processes share while the root group has no leader.
	unreported unreportedShare
	// wasUpToDate is set once this coordinator has been up to date with its leader since its start.
	wasUpToDate atomic.Bool
}

// Handler returns the handler for calls of operators and servers.
type Handler func(*Coordinator) http.Handler

// Run serves until the context ends, then transfers leadership and finishes the calls in
// progress. The handler is served on settings.Listen, or on the internal address if that is
// empty; it may be nil.
func Run(ctx context.Context, settings *rockwindpb.SiteSettings, handler Handler, options ...Option) error {
	site.SetMemoryLimit(settings)
	counter := traffic.NewCounter(settings.GetZone(), site.Topology(settings))
	c := &Coordinator{settings: settings, client: dial.NewClient(counter.Dial), traffic: counter, liveness: newLiveness()}
	for _, option := range options {
		option(c)
	}
	host, release, err := site.OpenHost(settings, c.client, site.HostOptions{
		Discover:     c.peers,
		TargetVoters: max(maxRootMembers, site.GroupSize(settings)),
		StateMachines: func(uint32) replica.StateMachine {
			machine := newRootStateMachine()
			c.rootState.Store(machine)
			return machine
		},
	})
	if err != nil {
		return err
	}
	defer release()
	c.host = host
	return c.run(ctx, handler)
}

// peers lists the machines to contact for joining the cluster.
func (c *Coordinator) peers() []*rockwindpb.ControlMachine {
	var peers []*rockwindpb.ControlMachine
	for _, seed := range c.settings.GetSeeds() {
		peers = append(peers, &rockwindpb.ControlMachine{Address: seed})
	}
	return peers
}

func (c *Coordinator) run(ctx context.Context, handler Handler) error {
	internalListener, err := site.Listen("internal_listen", c.settings.GetInternalListen())
	if err != nil {
		return err
	}
	var publicListener net.Listener
	if handler != nil && c.settings.GetListen() != "" {
		if publicListener, err = site.Listen("listen", c.settings.GetListen()); err != nil {
			return errors.CombineErrors(err, internalListener.Close())
		}
	}
	log.WithField("machine", c.settings.GetName()).WithField("address", c.settings.GetInternalListen()).Info("coordinator serves")
	// Public calls are served until leadership is transferred, internal calls until the replicas
	// have stopped.
	stopServing := func() {}
	return site.RunHost(ctx, c.host, func(group *errgroup.Group, groupCtx context.Context) {
		group.Go(func() error {
			return site.Serve(groupCtx, site.NewServer(c.internalHandler(handler)), c.traffic.Listener(internalListener), stopTimeout)
		})
		group.Go(func() error { return c.metrics().Serve(groupCtx, c.settings) })
		group.Go(func() error { c.traffic.Follow(groupCtx, c.knownDirectory); return nil })
		group.Go(func() error { c.foundCluster(groupCtx); return nil })
		group.Go(func() error { c.runMaintenance(groupCtx); return nil })
		group.Go(func() error { c.followMembers(groupCtx); return nil })
		group.Go(func() error { c.stalls.Run(groupCtx); return nil })
		if publicListener == nil {
			return
		}
		var servingCtx context.Context
		servingCtx, stopServing = context.WithCancel(groupCtx)
		group.Go(func() error {
			return site.Serve(servingCtx, site.NewServer(handler(c)), c.traffic.Listener(publicListener), stopTimeout)
		})
	}, func() { stopServing() })
}

func (c *Coordinator) metrics() *sitemetrics.Set {
	set := sitemetrics.New("coordinator", decision.Default)
	set.Traffic(c.traffic)
	set.Groups(c.host)
	set.ZoneDrainRevision(func() uint64 { return c.knownZoneDrains().Revision() })
	return set
}

// knownZoneDrains returns the zone drains that this coordinator holds, which may be outdated, or nil.
func (c *Coordinator) knownZoneDrains() *zonedrain.List {
	if machine := c.rootState.Load(); machine != nil {
		return machine.view().zoneDrains
	}
	if known := c.follower.state.Load(); known != nil {
		return known.zoneDrains
	}
	return nil
}

// knownDirectory returns the directory that this coordinator holds, which may be outdated, or nil.
func (c *Coordinator) knownDirectory() *directory.View {
	if machine := c.rootState.Load(); machine != nil {
		return machine.view().directory
	}
	if known := c.follower.state.Load(); known != nil {
		return known.directory
	}
	return nil
}

func (c *Coordinator) internalHandler(handler Handler) http.Handler {
	mux := http.NewServeMux()
	if handler != nil && c.settings.GetListen() == "" {
		mux.Handle("/", handler(c))
	}
	for _, server := range []rockwindpb.TwirpServer{
		replica.NewServer(c.host),
		rockwindpb.NewConfigurationServiceServer(configurationService{c}),
		rockwindpb.NewDirectoryServiceServer(directoryService{c}),
		rockwindpb.NewQuarantineServiceServer(quarantineService{c}),
		rockwindpb.NewZoneDrainServiceServer(zoneDrainService{c}),
		rockwindpb.NewColdServerServiceServer(coldServerService{c}),
	} {
		mux.Handle(server.PathPrefix(), server)
	}
	return markForwarded(mux)
}

// foundCluster founds the cluster from the seeds at the first start of the site. All seeds may
// do so concurrently, since the result depends only on the seeds.
func (c *Coordinator) foundCluster(ctx context.Context) {
	seeded := slices.Contains(c.settings.GetSeeds(), site.AdvertisedAddress(c.settings))
	if !c.settings.GetBootstrap() || !seeded {
		return
	}
	for {
		select {
		case <-c.host.InCluster():
			return
		default:
		}
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := replica.Found(callCtx, c.client, c.settings.GetSeeds(), 0)
		cancel()
		if err != nil {
			log.WithError(err).Debug("coordinator cluster is not founded yet; retrying")
		}
		if !retry.Pause(ctx, foundingInterval) {
			return
		}
	}
}

// rootGroup returns the root group and its state machine if they run on this machine.
func (c *Coordinator) rootGroup() (replica.Group, *rootStateMachine, error) {
	group, running := c.host.Group(sharding.RootGroup)
	machine := c.rootState.Load()
	if !running || machine == nil {
		return nil, nil, fault.New(fault.Unavailable, "this coordinator has not joined a cluster yet",
			"retry, also with another coordinator").WithRan(fault.NotRun)
	}
	return group, machine, nil
}

// currentState returns the applied state if this replica is in contact with the leader and has
// applied an entry of its term. Until the first success after a start, the replica must also have
// applied everything committed when it was first in contact with the leader: after a restart it may be in
// contact with the leader of an unchanged term before it has caught up.
func (c *Coordinator) currentState() (replica.Group, *rootView, error) {
	group, machine, err := c.rootGroup()
	if err != nil {
		return nil, nil, err
	}
	if !upToDate(group.Status(), c.wasUpToDate.Load()) {
		return nil, nil, fault.New(fault.Unavailable, "this coordinator is not in contact with the leader of the root group",
			"ask another coordinator").WithRan(fault.NotRun)
	}
	c.wasUpToDate.Store(true)
	return group, machine.view(), nil
}

// upToDate reports whether a replica may serve its applied state. wasUpToDate is whether it has
// done so since its start.
func upToDate(status *rockwindpb.GroupStatus, wasUpToDate bool) bool {
	if !status.GetHearsLeader() || status.GetAppliedTerm() != status.GetTerm() {
		return false
	}
	leaderCommit := status.GetLeaderCommit()
	return wasUpToDate || (leaderCommit != 0 && status.GetApplied() >= leaderCommit)
}

// awaitCurrentState is currentState, but waits up to site.MaxStartupHold after a start, so that callers
// need not retry. A coordinator that loses its leader later fails immediately, since another one
// may be in contact with it.
func (c *Coordinator) awaitCurrentState(ctx context.Context) (group replica.Group, view *rootView, err error) {
	err = c.awaitAfterStart(ctx, func() (err error) {
		group, view, err = c.currentState()
		return err
	})
	return group, view, err
}

// awaitAfterStart calls ready until it succeeds, but does not wait longer than awaitCurrentState.
func (c *Coordinator) awaitAfterStart(ctx context.Context, ready func() error) error {
	for began := time.Now(); ; {
		err := ready()
		if err == nil || c.wasUpToDate.Load() || time.Since(began) > site.MaxStartupHold {
			return err
		}
		applied, groupErr := c.applied()
		if groupErr != nil {
			return groupErr
		}
		select {
		case <-applied:
		case <-time.After(startPollInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// applied returns a channel that is closed at the next change of the state. Obtain it before
// reading the state so as not to miss a change.
func (c *Coordinator) applied() (<-chan struct{}, error) {
	group, _, err := c.rootGroup()
	if err != nil {
		return nil, err
	}
	return group.Applied(), nil
}

// runOnLeader runs a call on the leader of the root group, locally or remotely. It retries while
// the leader changes, until the context ends; the call must be idempotent.
func (c *Coordinator) runOnLeader(ctx context.Context, here func() error, elsewhere func(ctx context.Context, base string) error) error {
	for {
		err := c.tryOnLeader(ctx, here, elsewhere)
		if err == nil || !isTransient(err) {
			return err
		}
		if !retry.Pause(ctx, leaderRetryInterval) {
			return err
		}
	}
}

// callOnLeader is runOnLeader for a call with a response.
func callOnLeader[Response any](
	ctx context.Context, c *Coordinator, here func() (Response, error), elsewhere func(ctx context.Context, base string) (Response, error),
) (Response, error) {
	var response Response
	err := c.runOnLeader(ctx, func() (err error) {
		response, err = here()
		return err
	}, func(ctx context.Context, base string) (err error) {
		response, err = elsewhere(ctx, base)
		return err
	})
	return response, err
}

// tryOnLeader is one attempt of runOnLeader. A remote call is marked as forwarded: the machine at
// the leader's address may have become a non-member, which would forward it back.
func (c *Coordinator) tryOnLeader(ctx context.Context, here func() error, elsewhere func(ctx context.Context, base string) error) error {
	group, _, err := c.rootGroup()
	if err != nil {
		return err
	}
	if _, leading := group.Leading(); leading {
		return here()
	}
	leader := group.Status().GetLeaderAddress()
	if leader == "" || leader == site.AdvertisedAddress(c.settings) {
		return fault.New(fault.Unavailable, "the root group has no known leader", "retry, also with another coordinator")
	}
	markedCtx, err := withForwardedHeader(ctx)
	if err != nil {
		return err
	}
	return elsewhere(markedCtx, "http://"+leader)
}

// isTransient reports whether a retry may succeed.
func isTransient(err error) bool {
	switch fault.From(err).Kind {
	case fault.NotLeader, fault.Unavailable, fault.OutcomeUnknown:
		return true
	}
	return false
}

func (c *Coordinator) twirpClient() twirphttp.Client { return twirphttp.Client{HTTPClient: c.client} }

// Apply submits a complete configuration. See catalog.Service.Submit for its faults.
func (c *Coordinator) Apply(ctx context.Context, request *rockwindpb.ApplyConfigurationRequest) (*rockwindpb.ApplyConfigurationResponse, error) {
	elsewhere := func(ctx context.Context, base string) (*rockwindpb.ApplyConfigurationResponse, error) {
		return c.configurationAt(base).Apply(ctx, request)
	}
	if c.isNonMember() {
		return forwardToLeader(ctx, c, untilCommitted, elsewhere)
	}
	return callOnLeader(ctx, c, func() (*rockwindpb.ApplyConfigurationResponse, error) {
		group, machine, err := c.rootGroup()
		if err != nil {
			return nil, err
		}
		return catalog.NewService(catalogGroup{Group: group, machine: machine}, machine.catalog, time.Now).WithTopology(site.Topology(c.settings)).Submit(ctx, request)
	}, elsewhere)
}

// LatestConfiguration returns a configuration that includes everything accepted before the call.
func (c *Coordinator) LatestConfiguration(ctx context.Context) (*rockwindpb.GetConfigurationResponse, error) {
	request := &rockwindpb.GetConfigurationRequest{Newest: true}
	elsewhere := func(ctx context.Context, base string) (*rockwindpb.GetConfigurationResponse, error) {
		return c.configurationAt(base).Get(ctx, request)
	}
	if c.isNonMember() {
		return forwardToLeader(ctx, c, forwardTimeout, elsewhere)
	}
	return callOnLeader(ctx, c, func() (*rockwindpb.GetConfigurationResponse, error) {
		group, machine, err := c.rootGroup()
		if err != nil {
			return nil, err
		}
		return catalog.NewService(catalogGroup{Group: group, machine: machine}, machine.catalog, time.Now).Get(ctx, request)
	}, elsewhere)
}

// Report handles a server report and returns once any change is committed. It returns
// fault.InvalidArgument for an invalid report.
func (c *Coordinator) Report(ctx context.Context, report *rockwindpb.Server) error {
	if err := directory.ValidateReport(report); err != nil {
		return err
	}
	if c.isNonMember() {
		if known := c.recentState(); known != nil && !known.directory.WouldChange(report) && !turnsCold(known.directory, known.cold, report, time.Now()) {
			c.liveness.record(report.GetId(), time.Now())
			return nil
		}
		_, err := forward(ctx, c, untilCommitted, func(ctx context.Context, base string) (*rockwindpb.ReportServerResponse, error) {
			return c.directoryAt(base).Report(ctx, &rockwindpb.ReportServerRequest{Server: report})
		})
		return err
	}
	_, view, err := c.awaitCurrentState(ctx)
	if err != nil {
		return err
	}
	report = limitColdTime(view, report)
	if err := c.reportCold(ctx, view, report); err != nil {
		return err
	}
	if view.directory.WouldChange(report) {
		command := c.reportCommand(view, report)
		if err := c.commitOnLeader(ctx, command); err != nil {
			return err
		}
		if command.GetReport() == nil {
			log.WithField("server", report.GetId()).WithField("address", report.GetAddress()).Info("ignored a late report of a server that has ended")
			return nil
		}
		log.WithField("server", report.GetId()).WithField("service", report.GetService()).WithField("address", report.GetAddress()).
			WithField("state", report.GetState().String()).WithField("sequence", report.GetSequence()).Info("server reported")
	}
	c.liveness.record(report.GetId(), time.Now())
	return nil
}

// Leave handles a server's leave and returns once it is committed.
func (c *Coordinator) Leave(ctx context.Context, leaving *rockwindpb.LeaveServerRequest) error {
	if c.isNonMember() {
		_, err := forward(ctx, c, untilCommitted, func(ctx context.Context, base string) (*rockwindpb.LeaveServerResponse, error) {
			return c.directoryAt(base).Leave(ctx, leaving)
		})
		return err
	}
	err := c.commitOnLeader(ctx, &rockwindpb.DirectoryCommand{
		Command: &rockwindpb.DirectoryCommand_Leave{Leave: leaving},
	})
	if err == nil {
		log.WithField("server", leaving.GetId()).Info("server left")
	}
	return err
}

// commitOnLeader has the leader commit a directory command.
func (c *Coordinator) commitOnLeader(ctx context.Context, command *rockwindpb.DirectoryCommand) error {
	return c.runOnLeader(ctx, func() error {
		return c.commitDirectory(ctx, command)
	}, func(ctx context.Context, base string) error {
		_, err := c.directoryAt(base).Change(ctx, command)
		return err
	})
}

// commitDirectory proposes a directory command; this coordinator must be the leader.
func (c *Coordinator) commitDirectory(ctx context.Context, command *rockwindpb.DirectoryCommand) error {
	command.NowUnixMs = time.Now().UnixMilli()
	return c.propose(ctx, &rockwindpb.RootCommand{Command: &rockwindpb.RootCommand_Directory{Directory: command}})
}

// propose proposes a root group command; this coordinator must be the leader.
func (c *Coordinator) propose(ctx context.Context, command *rockwindpb.RootCommand) error {
	group, _, err := c.rootGroup()
	if err != nil {
		return err
	}
	_, err = proposeRoot(ctx, group, command)
	return err
}
