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
	"rockwind.example/rockwind/internal/limits"
	"rockwind.example/rockwind/internal/linkfault"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/serverview"
	"rockwind.example/rockwind/internal/upstream"
)

// Names in the data folder.
const (
	configurationFolder = "configuration"
	folderMode          = 0o755
	fileMode            = 0o644
)

// control is how the gateway reaches the control machines.
type control interface {
	Jobs() rockwindpb.JobService
	Records() rockwindpb.RecordService
	Files() rockwindpb.FileService
	Bodies() rockwindpb.BodyService
	Fleet() rockwindpb.FleetService
}

// configurations is where the configuration in force comes from.
type configurations interface {
	Current() *configuration.Index
	Changed() <-chan struct{}
	Hint(number uint64)
	Run(ctx context.Context) error
}

// Gateway is one gateway daemon.
type Gateway struct {
	settings *rockwindpb.GatewaySettings
	log      log.Interface
	ring     *logring.Ring
	started  time.Time
	follower configurations
	control  control
	client   *upstream.Client
	relay    *upstream.Relay
	budget   *retry.Budget
	view     *serverview.View
	limiter  *limits.Limiter
	usage    *groupUsage
	models   *modelUsage
	metrics  *metrics
	drain    *drainState
	batch    *batch.Executor
	stalls   stallLimits
	// certificates are of the listeners and of the calls to control machines.
	certificates certificates
	// links is nil outside experiments.
	links *linkfault.Links
	// inForce is called with every configuration that is put in force.
	inForce func(*configuration.Index)
}

// Run runs a gateway until the context ends, then drains it: new requests are
// refused as not run, and Run returns when those in progress have ended.
func Run(ctx context.Context, settings *rockwindpb.GatewaySettings, given ...Option) error {
	release, err := openDataFolder(settings.GetDataFolder())
	if err != nil {
		return err
	}
	defer release()
	g, err := newGateway(settings, collect(given))
	if err != nil {
		return err
	}
	return g.run(ctx)
}

func newGateway(settings *rockwindpb.GatewaySettings, chosen options) (*Gateway, error) {
	logger := &log.Logger{Handler: chosen.ring, Level: log.InfoLevel}
	opened, err := openCertificates(settings, logger)
	if err != nil {
		return nil, err
	}
	carrier := chosen.controlClient
	if carrier == nil {
		carrier = opened.controlClient()
	}
	if chosen.links != nil {
		carrier = &http.Client{Transport: chosen.links.Transport(carrier.Transport)}
	}
	following, err := follower.New(follower.Options{
		Sources: configurationSources(settings, carrier, opened.internal != nil), Log: logger,
		Folder: filepath.Join(settings.GetDataFolder(), configurationFolder),
	})
	if err != nil {
		return nil, err
	}
	client := controlclient.New(controlclient.Options{
		Control: settings.GetControl(), Zone: settings.GetZone(), HTTPClient: carrier, Secure: opened.internal != nil,
	})
	g := assemble(settings, chosen.ring, logger, following, client, chosen.backEndClient)
	g.secure(opened)
	g.inForce = chosen.observe
	g.links = chosen.links
	return g, nil
}

// configurationSources are the control machines, each asked on its own.
func configurationSources(settings *rockwindpb.GatewaySettings, carrier *http.Client, secured bool) []rockwindpb.ConfigurationService {
	scheme := "http://"
	if secured {
		scheme = "https://"
	}
	var sources []rockwindpb.ConfigurationService
	for _, machine := range settings.GetControl() {
		sources = append(sources, rockwindpb.NewConfigurationServiceProtobufClient(scheme+machine.GetAddress(), carrier))
	}
	return sources
}

// assemble puts a gateway together.
func assemble(settings *rockwindpb.GatewaySettings, ring *logring.Ring, logger log.Interface, following configurations, client control, backEnds *upstream.Client) *Gateway {
	g := &Gateway{
		settings: settings, log: logger, ring: ring, started: time.Now(), follower: following, control: client,
		client: backEnds, budget: upstream.NewBudget(), limiter: limits.New(),
		usage: newGroupUsage(), models: newModelUsage(), metrics: newMetrics(), drain: newDrainState(),
		inForce: func(*configuration.Index) {}, stalls: defaultStallLimits,
	}
	g.metrics.describeState(func() uint64 { return following.Current().Number() }, g.drain)
	g.relay = upstream.NewRelay(g.client, g.budget)
	g.view = serverview.New(serverview.Options{
		Gateway: settings.GetName(), Zone: settings.GetZone(), Client: g.client, PlatformURL: settings.GetPlatformUrl(),
	})
	g.metrics.registry.MustRegister(serverStates{view: g.view})
	g.batch = batch.New(batch.Options{
		Holder: settings.GetName() + "/" + strconv.FormatInt(g.started.UnixMilli(), 10),
		Jobs:   client.Jobs(), Bodies: client.Bodies(), Relay: g.relay, View: g.view,
		Current: following.Current, Concurrency: int(settings.GetBatchConcurrency()),
		Served: g.servedBatch, Ended: g.metrics.itemEnded, Log: logger,
	})
	return g
}

// run serves until the context ends and the drain is over.
func (g *Gateway) run(ctx context.Context) error {
	defer g.client.Close()
	listeners, err := g.listen()
	if err != nil {
		return err
	}
	// Work in the background goes on while the gateway drains.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	g.configure()
	g.certificates.watch(background, group)
	group.Go(func() error { return endedBy(background, g.follower.Run(background)) })
	group.Go(func() error { g.followConfiguration(background); return nil })
	group.Go(func() error { g.view.Run(background); return nil })
	group.Go(func() error { g.exchangeLoop(background); return nil })
	batching, stopBatch := context.WithCancel(background)
	defer stopBatch()
	batchEnded := make(chan struct{})
	group.Go(func() error { defer close(batchEnded); g.batch.Run(batching); return nil })
	listeners.serve(group, g)
	g.log.WithField("address", listeners.callers.Addr().String()).Info("gateway serves")
	select {
	case <-ctx.Done():
	case <-background.Done():
	case <-g.drain.started:
	}
	g.drain.begin()
	stopBatch()
	g.stop(listeners)
	<-batchEnded
	stop()
	return group.Wait()
}

// endedBy drops the error of a loop that ended with its context.
func endedBy(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// followConfiguration gives every new configuration to the view.
func (g *Gateway) followConfiguration(ctx context.Context) {
	var inForce uint64
	for {
		changed := g.follower.Changed()
		if number := g.configure(); number != inForce {
			inForce = number
			g.log.WithField("number", number).Info("configuration in force")
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// configure puts the current configuration in force and returns its number.
func (g *Gateway) configure() uint64 {
	index := g.follower.Current()
	defer g.inForce(index)
	g.view.Configure(serverview.Config{
		Models: index.Models(), Services: index.Services(), BackEnds: index.BackEnds(),
		StepTarget: index.Policy().GetOnlineStepTarget().AsDuration(),
	})
	return index.Number()
}
