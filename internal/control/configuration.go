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

// configurationService answers once this machine replicates the root group.
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
	ctx, cancel := s.daemon.whileServing(ctx)
	defer cancel()
	return service.Watch(ctx, request)
}

// catalogService returns the service over the root group.
func (d *daemon) catalogService() (*catalog.Service, error) {
	group, known := d.host.Group(sharding.RootGroup)
	machine := d.machines.catalog()
	if d.founded() && !known {
		return nil, unknownGroup(sharding.RootGroup)
	}
	if !known || machine == nil {
		return nil, fault.New(fault.Unavailable, "this machine belongs to no cluster yet",
			"found the cluster, or wait until the machine has joined it").WithRan(fault.NotRun)
	}
	return catalog.NewService(group, machine, time.Now), nil
}

// index returns the newest configuration that this machine knows: as applied
// here where it replicates the root group, else as followed from the others.
func (d *daemon) index(ctx context.Context) (*configuration.Index, bool) {
	if view, known := d.catalogView(ctx); known {
		return view.Index(), true
	}
	if following := d.following.Load(); following != nil {
		return following.Current(), true
	}
	return nil, false
}

// followConfiguration keeps a machine that does not replicate the root group on
// the newest configuration.
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
	for _, other := range d.others() {
		sources = append(sources, rockwindpb.NewConfigurationServiceProtobufClient(d.baseURL(other), d.client))
	}
	folder := filepath.Join(d.settings.GetDataFolder(), configurationFolder)
	following, err := follower.New(follower.Options{Sources: sources, Folder: folder, Log: log.Log})
	if err != nil {
		return err
	}
	d.following.Store(following)
	go d.publishFollowed(ctx, following)
	if err := following.Run(ctx); ctx.Err() == nil {
		return err
	}
	return nil
}

// publishFollowed publishes each configuration that the follower puts in force.
func (d *daemon) publishFollowed(ctx context.Context, following *follower.Follower) {
	for ctx.Err() == nil {
		changed := following.Changed()
		current := following.Current()
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
	machine := d.machines.catalog()
	if !known || machine == nil {
		return nil, false
	}
	var view *catalog.View
	if err := group.ReadLocal(ctx, func() { view = machine.View() }); err != nil {
		return nil, false
	}
	return view, true
}

// policy returns the policy in force, nil before the first configuration.
func (d *daemon) policy(ctx context.Context) *rockwindpb.Policy {
	index, known := d.index(ctx)
	if !known || index.Number() == 0 {
		return nil
	}
	return index.Policy()
}

// followRoot publishes each configuration that is applied on this machine, and
// changes of the root group's leadership.
func (d *daemon) followRoot(ctx context.Context) {
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
		timer := time.NewTimer(keeperPause)
		select {
		case <-applied:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
