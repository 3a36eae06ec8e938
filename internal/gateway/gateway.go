package gateway

import (
	"context"
	"net/http"
	"path/filepath"
	"strconv"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/batch"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/follower"
	"rockwind.example/rockwind/internal/linkfault"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/serverview"
	"rockwind.example/rockwind/internal/tenantlimits"
	"rockwind.example/rockwind/internal/upstream"
)

// Names and modes of files in the data folder.
const (
	configurationFolder = "configuration"
	folderMode          = 0o755
	fileMode            = 0o644
)

// control provides the services of the control machines.
type control interface {
	Jobs() rockwindpb.JobService
	Records() rockwindpb.RecordService
	Files() rockwindpb.FileService
	Bodies() rockwindpb.BodyService
	Fleet() rockwindpb.FleetService
}

// configurationFollower provides the current configuration; follower.Follower
// implements it.
type configurationFollower interface {
	Current() *configuration.Index
	Changed() <-chan struct{}
	Hint(number uint64)
	// LastHeard returns when a control replica last answered, the zero time if none has.
	LastHeard() time.Time
	Run(ctx context.Context) error
}

// Gateway is a gateway daemon.
type Gateway struct {
	settings   *rockwindpb.GatewaySettings
	log        log.Interface
	ring       *logring.Ring
	started    time.Time
	follower   configurationFollower
	control    control
	client     *upstream.Client
	relay      *upstream.Relay
	budget     *retry.Budget
	view       *serverview.View
	limiter    *tenantlimits.Limiter
	groupUsage *groupUsage
	modelUsage *modelUsage
	metrics    *metrics
	drain      *drainState
	batch      *batch.Executor
	stalls     stallLimits
	// certificates are used by the listeners and for calls to control machines.
	certificates certificates
	// links is nil outside experiments.
	links *linkfault.Links
	// onConfiguration is called with each configuration that was applied.
	onConfiguration func(*configuration.Index)
}

// Run runs a gateway until ctx is done or an operator drains it. It then refuses new
// requests as not run and returns once those in progress have ended.
func Run(ctx context.Context, settings *rockwindpb.GatewaySettings, opts ...Option) error {
	release, err := openDataFolder(settings.GetDataFolder())
	if err != nil {
		return err
	}
	defer release()
	g, err := newGateway(settings, collect(opts))
	if err != nil {
		return err
	}
	return g.run(ctx)
}

func newGateway(settings *rockwindpb.GatewaySettings, opts options) (*Gateway, error) {
	logger := &log.Logger{Handler: opts.ring, Level: log.InfoLevel}
	opened, err := openCertificates(settings, logger)
	if err != nil {
		return nil, err
	}
	httpClient := opts.controlClient
	if httpClient == nil {
		httpClient = opened.controlClient()
	}
	if opts.links != nil {
		httpClient = &http.Client{Transport: opts.links.Transport(httpClient.Transport)}
	}
	configFollower, err := follower.New(follower.Options{
		Sources: configurationSources(settings, httpClient, opened.internal != nil), Log: logger,
		Folder: filepath.Join(settings.GetDataFolder(), configurationFolder),
	})
	if err != nil {
		return nil, err
	}
	client := controlclient.New(controlclient.Options{
		Machines: settings.GetControl(), Zone: settings.GetZone(), HTTPClient: httpClient, Secure: opened.internal != nil,
	})
	g := assemble(settings, opts.ring, logger, configFollower, client, opts.backEndClient)
	g.useCertificates(opened)
	g.onConfiguration = opts.onConfiguration
	g.links = opts.links
	return g, nil
}

// configurationSources returns one client for each control machine.
func configurationSources(settings *rockwindpb.GatewaySettings, httpClient *http.Client, secured bool) []rockwindpb.ConfigurationService {
	scheme := "http://"
	if secured {
		scheme = "https://"
	}
	var sources []rockwindpb.ConfigurationService
	for _, machine := range settings.GetControl() {
		sources = append(sources, rockwindpb.NewConfigurationServiceProtobufClient(scheme+machine.GetAddress(), httpClient))
	}
	return sources
}

// assemble creates a gateway from its dependencies.
func assemble(settings *rockwindpb.GatewaySettings, ring *logring.Ring, logger log.Interface, follower configurationFollower, client control, backEnds *upstream.Client) *Gateway {
	g := &Gateway{
		settings: settings, log: logger, ring: ring, started: time.Now(), follower: follower, control: client,
		client: backEnds, budget: upstream.NewRetryBudget(), limiter: tenantlimits.New(),
		groupUsage: newGroupUsage(), modelUsage: newModelUsage(), metrics: newMetrics(), drain: newDrainState(),
		onConfiguration: func(*configuration.Index) {}, stalls: defaultStallLimits,
	}
	g.metrics.registerState(func() uint64 { return follower.Current().Number() }, g.drain)
	g.relay = upstream.NewRelay(g.client, g.budget)
	g.view = serverview.New(serverview.Options{
		Gateway: settings.GetName(), Zone: settings.GetZone(), Client: g.client, PlatformURL: settings.GetPlatformUrl(),
	})
	g.metrics.registry.MustRegister(serverStates{view: g.view})
	g.batch = batch.New(batch.Options{
		Holder: settings.GetName() + "/" + strconv.FormatInt(g.started.UnixMilli(), 10),
		Jobs:   client.Jobs(), Bodies: client.Bodies(), Relay: g.relay, View: g.view,
		Current: follower.Current, Concurrency: int(settings.GetBatchConcurrency()),
		OnServed: g.addBatchUsage, OnItemEnd: g.metrics.itemEnded, Log: logger,
	})
	return g
}

// run serves until ctx is done or a drain begins, and returns after the drain.
func (g *Gateway) run(ctx context.Context) error {
	defer g.client.Close()
	listeners, err := g.listen()
	if err != nil {
		return err
	}
	// Background tasks continue during the drain.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	g.configure()
	g.certificates.watch(background, group)
	group.Go(func() error { return ignoreAfterEnd(background, g.follower.Run(background)) })
	group.Go(func() error { g.followConfiguration(background); return nil })
	group.Go(func() error { g.view.Run(background); return nil })
	group.Go(func() error { g.exchangeLoop(background); return nil })
	batchContext, stopBatch := context.WithCancel(background)
	defer stopBatch()
	batchEnded := make(chan struct{})
	group.Go(func() error { defer close(batchEnded); g.batch.Run(batchContext); return nil })
	listeners.serve(group, g)
	g.log.WithField("address", listeners.callers.Addr().String()).Info("gateway serves")
	select {
	case <-ctx.Done():
	case <-background.Done():
	case <-g.drain.started:
	}
	g.drain.begin()
	stopBatch()
	g.drainAndClose(listeners)
	<-batchEnded
	stop()
	return group.Wait()
}

// ignoreAfterEnd returns nil if ctx is done and err otherwise.
func ignoreAfterEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// followConfiguration applies each new configuration until ctx is done.
func (g *Gateway) followConfiguration(ctx context.Context) {
	var lastNumber uint64
	for {
		changed := g.follower.Changed()
		if number := g.configure(); number != lastNumber {
			lastNumber = number
			g.log.WithField("number", number).Info("configuration in force")
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// configure applies the current configuration and returns its number.
func (g *Gateway) configure() uint64 {
	index := g.follower.Current()
	defer g.onConfiguration(index)
	g.view.Configure(serverview.Config{
		Models: index.Models(), Services: index.Services(), BackEnds: index.BackEnds(),
		StepTarget: index.Policy().GetOnlineStepTarget().AsDuration(),
	})
	return index.Number()
}
