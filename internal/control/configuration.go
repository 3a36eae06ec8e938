package control

import (
	"context"
	"path/filepath"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/catalog"
	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/follower"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/sharding"
)

// configurationService implements rockwindpb.ConfigurationService on machines that
// replicate the root group.
type configurationService struct{ daemon *daemon }

// Apply implements rockwindpb.ConfigurationService.
func (s configurationService) Apply(ctx context.Context, request *rockwindpb.ApplyConfigurationRequest) (*rockwindpb.ApplyConfigurationResponse, error) {
	service, err := s.daemon.catalogService()
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return service.Apply(ctx, request)
}

// Get implements rockwindpb.ConfigurationService.
func (s configurationService) Get(ctx context.Context, request *rockwindpb.GetConfigurationRequest) (*rockwindpb.GetConfigurationResponse, error) {
	service, err := s.daemon.catalogService()
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return service.Get(ctx, request)
}

// Watch implements rockwindpb.ConfigurationService.
func (s configurationService) Watch(ctx context.Context, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	service, err := s.daemon.catalogService()
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	ctx, cancel := s.daemon.cancelOnStop(ctx)
	defer cancel()
	return service.Watch(ctx, request)
}

// catalogService returns the configuration service of the root group.
func (d *daemon) catalogService() (*catalog.Service, error) {
	group, known := d.host.Group(sharding.RootGroup)
	machine := d.stateMachines.catalog()
	if d.inCluster() && !known {
		return nil, notReplicatedFault(sharding.RootGroup)
	}
	if !known || machine == nil {
		return nil, fault.New(fault.Unavailable, "this machine belongs to no cluster yet",
			"found the cluster, or wait until the machine has joined it").WithRan(fault.NotRun)
	}
	return catalog.NewService(group, machine, time.Now), nil
}

// index returns the latest configuration known to this machine: the applied one if
// it replicates the root group, otherwise the one polled from the other machines.
func (d *daemon) index(ctx context.Context) (*configuration.Index, bool) {
	if view, known := d.catalogView(ctx); known {
		return view.Index(), true
	}
	if configurationFollower := d.configurationFollower.Load(); configurationFollower != nil {
		return configurationFollower.Current(), true
	}
	return nil, false
}

// followConfiguration polls the other machines for the latest configuration if this
// machine does not replicate the root group.
func (d *daemon) followConfiguration(ctx context.Context) error {
	select {
	case <-d.host.InCluster():
	case <-ctx.Done():
		return nil
	}
	if _, replicated := d.host.Group(sharding.RootGroup); replicated {
		return nil
	}
	var sources []rockwindpb.ConfigurationService
	for _, other := range d.otherMachines() {
		sources = append(sources, rockwindpb.NewConfigurationServiceProtobufClient(d.baseURL(other), d.client))
	}
	folder := filepath.Join(d.settings.GetDataFolder(), configurationFolder)
	configurationFollower, err := follower.New(follower.Options{Sources: sources, Folder: folder, Log: log.Log})
	if err != nil {
		return err
	}
	d.configurationFollower.Store(configurationFollower)
	go d.publishFollowed(ctx, configurationFollower)
	if err := configurationFollower.Run(ctx); ctx.Err() == nil {
		return err
	}
	return nil
}

// publishFollowed publishes an event for each configuration that the follower
// activates.
func (d *daemon) publishFollowed(ctx context.Context, configurationFollower *follower.Follower) {
	for ctx.Err() == nil {
		changed := configurationFollower.Changed()
		current := configurationFollower.Current()
		if current.Number() > 0 {
			d.publishConfiguration(&rockwindpb.Acceptance{Number: current.Number(), Checksum: current.Checksum()})
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (d *daemon) catalogView(ctx context.Context) (*catalog.View, bool) {
	group, known := d.host.Group(sharding.RootGroup)
	machine := d.stateMachines.catalog()
	if !known || machine == nil {
		return nil, false
	}
	var view *catalog.View
	if err := group.ReadLocal(ctx, func() { view = machine.View() }); err != nil {
		return nil, false
	}
	return view, true
}

// policy returns the current policy, or nil before the first configuration.
func (d *daemon) policy(ctx context.Context) *rockwindpb.Policy {
	index, known := d.index(ctx)
	if !known || index.Number() == 0 {
		return nil
	}
	return index.Policy()
}

// watchRoot publishes events for configurations applied on this machine and for
// leadership changes of the root group.
func (d *daemon) watchRoot(ctx context.Context) {
	group, _ := d.host.Group(sharding.RootGroup)
	number := uint64(0)
	lastTerm, wasLeading := uint64(0), false
	for ctx.Err() == nil {
		applied := group.Applied()
		if view, known := d.catalogView(ctx); known && view.Index().Number() > number {
			number = view.Index().Number()
			d.publishConfiguration(view.Acceptance())
		}
		if term, leading := group.Leading(); leading != wasLeading || term != lastTerm {
			lastTerm, wasLeading = term, leading
			d.publishLeadership(sharding.RootGroup, term, leading)
		}
		timer := time.NewTimer(maintenanceInterval)
		select {
		case <-applied:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
