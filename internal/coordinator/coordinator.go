// Package coordinator is the daemon that keeps a site together: it replicates
// the configuration and the directory of servers and machines, and hands both to
// the routers and stores that watch it. Any coordinator takes any call; what
// changes state is carried to the leader of the root group. A coordinator that
// does not hear the leader answers that it is unavailable, so that nobody takes
// an old state for the newest. A coordinator without a replica of the root group passes
// calls on to those that have one.
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
	"rockwind.example/rockwind/internal/twirphttp"
)

const (
	// foundingPause is the time between attempts to found the cluster.
	foundingPause = 100 * time.Millisecond
	// leaderPause is the time between attempts to reach a leader.
	leaderPause = 30 * time.Millisecond
	// startRecheck is how often it looks meanwhile; entries that are applied wake it.
	startRecheck = 10 * time.Millisecond
	// stopTimeout bounds the calls in progress at a planned stop.
	stopTimeout = 2 * time.Second
	// rootPlaces is how many coordinators hold a replica of the root group, where
	// there are so many. Others pass calls on.
	rootPlaces = 5
)

// Coordinator is a running coordinator. Its methods may be called by any
// goroutine.
type Coordinator struct {
	settings *rockwindpb.SiteSettings
	client   *http.Client
	host     *replica.Host
	root     atomic.Pointer[rootMachine]
	live     *liveness
	// identifier is nil where addresses can't be asked who is there.
	identifier site.Identifier
	identities identities
	// members is used by a coordinator that is outside; see passOn.
	members memberOrder
	// following is used by a coordinator that is outside.
	following following
	// watchers counts the calls for news of the directory that are held here.
	watchers atomic.Int64
	// wasCurrent tells that this coordinator was up to date with its leader once since its
	// start: it has answered from its state.
	wasCurrent atomic.Bool
}

// Handler makes the handler of the calls of operators and servers.
type Handler func(*Coordinator) http.Handler

// Run serves until the context ends, and then stops as planned: it hands over
// leadership and finishes the calls in progress. The handler answers on
// settings.Listen, or on the internal address where that is empty; it may be nil.
func Run(ctx context.Context, settings *rockwindpb.SiteSettings, handler Handler, options ...Option) error {
	site.BoundMemory(settings)
	c := &Coordinator{settings: settings, client: dial.NewClient(), live: newLiveness()}
	for _, option := range options {
		option(c)
	}
	host, release, err := site.OpenHost(settings, c.client, site.HostOptions{
		Discover: c.peers,
		Places:   max(rootPlaces, site.Places(settings)),
		StateMachines: func(uint32) replica.StateMachine {
			created := newRootMachine()
			c.root.Store(created)
			return created
		},
	})
	if err != nil {
		return err
	}
	defer release()
	c.host = host
	return c.run(ctx, handler)
}

// peers lists the machines that may let this one join.
func (c *Coordinator) peers() []*rockwindpb.ControlMachine {
	var peers []*rockwindpb.ControlMachine
	for _, seed := range c.settings.GetSeeds() {
		peers = append(peers, &rockwindpb.ControlMachine{Address: seed})
	}
	return peers
}

func (c *Coordinator) run(ctx context.Context, handler Handler) error {
	internal, err := site.Listen("internal_listen", c.settings.GetInternalListen())
	if err != nil {
		return err
	}
	var outer net.Listener
	if handler != nil && c.settings.GetListen() != "" {
		if outer, err = site.Listen("listen", c.settings.GetListen()); err != nil {
			return errors.CombineErrors(err, internal.Close())
		}
	}
	log.WithField("machine", c.settings.GetName()).WithField("address", c.settings.GetInternalListen()).Info("coordinator serves")
	// Callers are served until leadership is handed over, and other coordinators
	// until the replicas have stopped.
	stopServing := func() {}
	return site.RunHost(ctx, c.host, func(group *errgroup.Group, parts context.Context) {
		group.Go(func() error {
			return site.Serve(parts, site.NewServer(c.internalHandler(handler)), internal, stopTimeout)
		})
		group.Go(func() error { return sitemetrics.New("coordinator", decision.Default).Serve(parts, c.settings) })
		group.Go(func() error { c.found(parts); return nil })
		group.Go(func() error { c.keep(parts); return nil })
		group.Go(func() error { c.follow(parts); return nil })
		if outer == nil {
			return
		}
		var serving context.Context
		serving, stopServing = context.WithCancel(parts)
		group.Go(func() error { return site.Serve(serving, site.NewServer(handler(c)), outer, stopTimeout) })
	}, func() { stopServing() })
}

func (c *Coordinator) internalHandler(handler Handler) http.Handler {
	mux := http.NewServeMux()
	if handler != nil && c.settings.GetListen() == "" {
		mux.Handle("/", handler(c))
	}
	for _, server := range []rockwindpb.TwirpServer{
		rockwindpb.NewReplicaServiceServer(c.host.Service()),
		rockwindpb.NewConfigurationServiceServer(configurationService{c}),
		rockwindpb.NewDirectoryServiceServer(directoryService{c}),
		rockwindpb.NewQuarantineServiceServer(quarantineService{c}),
		rockwindpb.NewZoneDrainServiceServer(zoneDrainService{c}),
	} {
		mux.Handle(server.PathPrefix(), server)
	}
	return markPassedOn(mux)
}

// found makes the seeds a cluster when the site starts for the first time. All
// seeds may do so at once: the same machines always make the same cluster.
func (c *Coordinator) found(ctx context.Context) {
	seeded := slices.Contains(c.settings.GetSeeds(), site.Advertised(c.settings))
	if !c.settings.GetBootstrap() || !seeded {
		return
	}
	for {
		select {
		case <-c.host.InCluster():
			return
		default:
		}
		calling, cancel := context.WithTimeout(ctx, time.Second)
		err := replica.Found(calling, c.client, c.settings.GetSeeds(), 0)
		cancel()
		if err != nil {
			log.WithError(err).Debug("the cluster of coordinators is not founded yet")
		}
		if !retry.Pause(ctx, foundingPause) {
			return
		}
	}
}

// group returns the root group and its state machine, once they run here.
func (c *Coordinator) group() (replica.Group, *rootMachine, error) {
	group, running := c.host.Group(sharding.RootGroup)
	machine := c.root.Load()
	if !running || machine == nil {
		return nil, nil, fault.New(fault.Unavailable, "this coordinator belongs to no cluster yet",
			"try again, at another coordinator too").WithRan(fault.NotRun)
	}
	return group, machine, nil
}

// current returns the state as applied here, where this replica hears the leader. It has then
// applied all that was committed before that leader was elected and, until the first answer
// since the start, all that the leader had committed when it was first heard: a replica that
// was away hears the leader of its last term before it holds what it missed.
func (c *Coordinator) current() (replica.Group, *rootView, error) {
	group, machine, err := c.group()
	if err != nil {
		return nil, nil, err
	}
	if !upToDate(group.Status(), c.wasCurrent.Load()) {
		return nil, nil, fault.New(fault.Unavailable, "this coordinator does not hear the leader of the root group",
			"ask another coordinator").WithRan(fault.NotRun)
	}
	c.wasCurrent.Store(true)
	return group, machine.view(), nil
}

// upToDate tells whether a replica may answer from what it has applied. Before is set once it
// has answered since its start.
func upToDate(status *rockwindpb.GroupStatus, before bool) bool {
	if !status.GetHearsLeader() || status.GetAppliedTerm() != status.GetTerm() {
		return false
	}
	known := status.GetLeaderCommit()
	return before || (known != 0 && status.GetApplied() >= known)
}

// awaitCurrent is current, and waits for it where this coordinator has just started: those
// who ask would only come again. They get their answer with the first entry of the new
// leader, and not with their next call. A coordinator that loses its leader later says so at
// once, as another one may hear it.
func (c *Coordinator) awaitCurrent(ctx context.Context) (replica.Group, *rootView, error) {
	for began := time.Now(); ; {
		group, view, err := c.current()
		if err == nil || c.wasCurrent.Load() || time.Since(began) > site.StartHold {
			return group, view, err
		}
		applied, failure := c.applied()
		if failure != nil {
			return nil, nil, failure
		}
		select {
		case <-applied:
		case <-time.After(startRecheck):
		case <-ctx.Done():
			return nil, nil, err
		}
	}
}

// applied returns a channel that is closed at the next change of the state. It is
// taken before the state is looked at, so that no change is missed.
func (c *Coordinator) applied() (<-chan struct{}, error) {
	group, _, err := c.group()
	if err != nil {
		return nil, err
	}
	return group.Applied(), nil
}

// atLeader performs a call at the leader of the root group, here or elsewhere.
// The call must have the same effect when it is performed twice: it is repeated
// while the leader changes, until the context ends.
func (c *Coordinator) atLeader(ctx context.Context, here func() error, elsewhere func(ctx context.Context, base string) error) error {
	for {
		err := c.onceAtLeader(ctx, here, elsewhere)
		if err == nil || !passing(err) {
			return err
		}
		if !retry.Pause(ctx, leaderPause) {
			return err
		}
	}
}

// fromLeader is atLeader for a call that is answered with something.
func fromLeader[Response any](
	ctx context.Context, c *Coordinator, here func() (Response, error), elsewhere func(ctx context.Context, base string) (Response, error),
) (Response, error) {
	var response Response
	err := c.atLeader(ctx, func() (err error) {
		response, err = here()
		return err
	}, func(ctx context.Context, base string) (err error) {
		response, err = elsewhere(ctx, base)
		return err
	})
	return response, err
}

// onceAtLeader is one try of atLeader. A call elsewhere is marked as passed on: the machine at the
// leader's address may be another one by now, which belongs to no root group and would pass it on.
func (c *Coordinator) onceAtLeader(ctx context.Context, here func() error, elsewhere func(ctx context.Context, base string) error) error {
	group, _, err := c.group()
	if err != nil {
		return err
	}
	if _, leading := group.Leading(); leading {
		return here()
	}
	leader := group.Status().GetLeaderAddress()
	if leader == "" || leader == site.Advertised(c.settings) {
		return fault.New(fault.Unavailable, "the root group has no leader that is known here", "try again, at another coordinator too")
	}
	marked, err := withPassedOn(ctx)
	if err != nil {
		return err
	}
	return elsewhere(marked, "http://"+leader)
}

// passing tells whether a fault may be over soon.
func passing(err error) bool {
	switch fault.From(err).Kind {
	case fault.NotLeader, fault.Unavailable, fault.OutcomeUnknown:
		return true
	}
	return false
}

func (c *Coordinator) carrier() twirphttp.Client { return twirphttp.Client{Carrier: c.client} }

// Apply accepts or refuses a whole configuration. See catalog.Service.Submit for
// its faults.
func (c *Coordinator) Apply(ctx context.Context, request *rockwindpb.ApplyConfigurationRequest) (*rockwindpb.ApplyConfigurationResponse, error) {
	elsewhere := func(ctx context.Context, base string) (*rockwindpb.ApplyConfigurationResponse, error) {
		return c.configurationAt(base).Apply(ctx, request)
	}
	if c.outside() {
		return passOnToLeader(ctx, c, toCommit, elsewhere)
	}
	return fromLeader(ctx, c, func() (*rockwindpb.ApplyConfigurationResponse, error) {
		group, machine, err := c.group()
		if err != nil {
			return nil, err
		}
		return catalog.NewService(catalogGroup{Group: group, machine: machine}, machine.catalog, time.Now).Submit(ctx, request)
	}, elsewhere)
}

// LatestConfiguration returns a configuration that holds everything accepted before the call.
func (c *Coordinator) LatestConfiguration(ctx context.Context) (*rockwindpb.GetConfigurationResponse, error) {
	request := &rockwindpb.GetConfigurationRequest{Newest: true}
	elsewhere := func(ctx context.Context, base string) (*rockwindpb.GetConfigurationResponse, error) {
		return c.configurationAt(base).Get(ctx, request)
	}
	if c.outside() {
		return passOnToLeader(ctx, c, passTimeout, elsewhere)
	}
	return fromLeader(ctx, c, func() (*rockwindpb.GetConfigurationResponse, error) {
		group, machine, err := c.group()
		if err != nil {
			return nil, err
		}
		return catalog.NewService(catalogGroup{Group: group, machine: machine}, machine.catalog, time.Now).Get(ctx, request)
	}, elsewhere)
}

// Report takes a server's report. It returns once what is new in it is committed. It fails with
// fault.InvalidArgument for a report that names no server to use.
func (c *Coordinator) Report(ctx context.Context, server *rockwindpb.Server) error {
	if err := directory.ValidateReport(server); err != nil {
		return err
	}
	if c.outside() {
		if known := c.followed(); known != nil && !known.directory.WouldChange(server) {
			c.live.note(server.GetId(), time.Now())
			return nil
		}
		_, err := passOn(ctx, c, toCommit, func(ctx context.Context, base string) (*rockwindpb.ReportServerResponse, error) {
			return c.directoryAt(base).Report(ctx, &rockwindpb.ReportServerRequest{Server: server})
		})
		return err
	}
	_, view, err := c.awaitCurrent(ctx)
	if err != nil {
		return err
	}
	if view.directory.WouldChange(server) {
		command := c.admission(view, server)
		if err := c.change(ctx, command); err != nil {
			return err
		}
		if command.GetReport() == nil {
			log.WithField("server", server.GetId()).WithField("address", server.GetAddress()).Info("a late report of a server that has ended")
			return nil
		}
		log.WithField("server", server.GetId()).WithField("service", server.GetService()).WithField("address", server.GetAddress()).
			WithField("state", server.GetState().String()).WithField("sequence", server.GetSequence()).Info("server reported")
	}
	c.live.note(server.GetId(), time.Now())
	return nil
}

// Leave takes a server's leave. It returns once the leave is committed.
func (c *Coordinator) Leave(ctx context.Context, leaving *rockwindpb.LeaveServerRequest) error {
	if c.outside() {
		_, err := passOn(ctx, c, toCommit, func(ctx context.Context, base string) (*rockwindpb.LeaveServerResponse, error) {
			return c.directoryAt(base).Leave(ctx, leaving)
		})
		return err
	}
	err := c.change(ctx, &rockwindpb.DirectoryCommand{
		Command: &rockwindpb.DirectoryCommand_Leave{Leave: leaving},
	})
	if err == nil {
		log.WithField("server", leaving.GetId()).Info("server left")
	}
	return err
}

// change has the leader commit a command of the directory.
func (c *Coordinator) change(ctx context.Context, command *rockwindpb.DirectoryCommand) error {
	return c.atLeader(ctx, func() error {
		return c.commit(ctx, command)
	}, func(ctx context.Context, base string) error {
		_, err := c.directoryAt(base).Change(ctx, command)
		return err
	})
}

// commit proposes a command of the directory as the leader.
func (c *Coordinator) commit(ctx context.Context, command *rockwindpb.DirectoryCommand) error {
	command.NowUnixMs = time.Now().UnixMilli()
	return c.propose(ctx, &rockwindpb.RootCommand{Command: &rockwindpb.RootCommand_Directory{Directory: command}})
}

// propose proposes a command of the root group as the leader.
func (c *Coordinator) propose(ctx context.Context, command *rockwindpb.RootCommand) error {
	group, _, err := c.group()
	if err != nil {
		return err
	}
	_, err = proposeRoot(ctx, group, command)
	return err
}
