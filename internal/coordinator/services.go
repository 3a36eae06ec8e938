package coordinator

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/catalog"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// configurationService serves the configuration to routers, stores and other coordinators.
type configurationService struct{ coordinator *Coordinator }

// Apply implements rockwindpb.ConfigurationService.
func (s configurationService) Apply(ctx context.Context, request *rockwindpb.ApplyConfigurationRequest) (*rockwindpb.ApplyConfigurationResponse, error) {
	if s.coordinator.isNonMember() {
		response, err := forward(ctx, s.coordinator, untilCommitted, func(ctx context.Context, base string) (*rockwindpb.ApplyConfigurationResponse, error) {
			return s.coordinator.configurationAt(base).Apply(ctx, request)
		})
		return response, fault.ToTwirp(err)
	}
	service, err := s.service()
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return service.Apply(ctx, request)
}

// Get implements rockwindpb.ConfigurationService.
func (s configurationService) Get(ctx context.Context, request *rockwindpb.GetConfigurationRequest) (*rockwindpb.GetConfigurationResponse, error) {
	if s.coordinator.isNonMember() {
		response, err := forward(ctx, s.coordinator, forwardTimeout, func(ctx context.Context, base string) (*rockwindpb.GetConfigurationResponse, error) {
			return s.coordinator.configurationAt(base).Get(ctx, request)
		})
		return response, fault.ToTwirp(err)
	}
	service, err := s.service()
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return service.Get(ctx, request)
}

// Watch implements rockwindpb.ConfigurationService. It fails if the replica is not in contact with
// the leader. After a start it first waits until it is up to date or its state is confirmed, which
// counts towards the call's wait.
func (s configurationService) Watch(ctx context.Context, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	if s.coordinator.isNonMember() {
		response, err := forward(ctx, s.coordinator, watchTimeout(request.GetWaitMs()), func(ctx context.Context, base string) (*rockwindpb.WatchConfigurationResponse, error) {
			return s.coordinator.configurationAt(base).Watch(ctx, request)
		})
		return response, fault.ToTwirp(err)
	}
	began := time.Now()
	if err := s.coordinator.awaitConfiguration(ctx, request.GetHaveNumber()); err != nil {
		return nil, fault.ToTwirp(err)
	}
	service, err := s.service()
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	request = proto.CloneOf(request)
	request.WaitMs -= min(request.GetWaitMs(), uint32(time.Since(began).Milliseconds()))
	return service.Watch(ctx, request)
}

func (s configurationService) service() (*catalog.Service, error) {
	group, machine, err := s.coordinator.rootGroup()
	if err != nil {
		return nil, err
	}
	return catalog.NewService(catalogGroup{Group: group, machine: machine}, machine.catalog, time.Now).WithTopology(site.Topology(s.coordinator.settings)), nil
}

// directoryService serves the directory to routers, stores and other coordinators.
type directoryService struct{ coordinator *Coordinator }

// Report implements rockwindpb.DirectoryService.
func (s directoryService) Report(ctx context.Context, request *rockwindpb.ReportServerRequest) (*rockwindpb.ReportServerResponse, error) {
	err := s.coordinator.Report(ctx, request.GetServer())
	return &rockwindpb.ReportServerResponse{}, fault.ToTwirp(err)
}

// Leave implements rockwindpb.DirectoryService.
func (s directoryService) Leave(ctx context.Context, request *rockwindpb.LeaveServerRequest) (*rockwindpb.LeaveServerResponse, error) {
	err := s.coordinator.Leave(ctx, request)
	return &rockwindpb.LeaveServerResponse{}, fault.ToTwirp(err)
}

// Announce implements rockwindpb.DirectoryService.
func (s directoryService) Announce(ctx context.Context, request *rockwindpb.AnnounceMachineRequest) (*rockwindpb.AnnounceMachineResponse, error) {
	if s.coordinator.isNonMember() {
		if known := s.coordinator.recentState(); known != nil && known.directory.KnowsMachine(request.GetMachine()) && !announcesLevel(request.GetMachine()) {
			return s.coordinator.knownMachine(known.directory, request), nil
		}
		response, err := forward(ctx, s.coordinator, untilCommitted, func(ctx context.Context, base string) (*rockwindpb.AnnounceMachineResponse, error) {
			return s.coordinator.directoryAt(base).Announce(ctx, request)
		})
		return response, fault.ToTwirp(err)
	}
	_, view, err := s.coordinator.awaitCurrentState(ctx)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	if !view.knowsMachine(request.GetMachine()) {
		command := &rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Announce{Announce: request.GetMachine()}}
		if err := s.coordinator.commitOnLeader(ctx, command); err != nil {
			return nil, fault.ToTwirp(err)
		}
	}
	return s.coordinator.knownMachine(view.directory, request), nil
}

// knownMachine records that a machine is alive and answers its announcement.
func (c *Coordinator) knownMachine(view *directory.View, request *rockwindpb.AnnounceMachineRequest) *rockwindpb.AnnounceMachineResponse {
	c.liveness.record(machineKey(request.GetMachine().GetName()), time.Now())
	response := &rockwindpb.AnnounceMachineResponse{}
	if request.GetWantStoreCluster() {
		response.StoreCluster = view.StoreCluster()
	}
	return response
}

// Note implements rockwindpb.DirectoryService.
func (s directoryService) Note(_ context.Context, request *rockwindpb.NoteServersRequest) (*rockwindpb.NoteServersResponse, error) {
	s.coordinator.liveness.recordRelayed(request.GetIds(), time.Now())
	return &rockwindpb.NoteServersResponse{}, nil
}

// Change implements rockwindpb.DirectoryService. Only the leader accepts it.
func (s directoryService) Change(ctx context.Context, command *rockwindpb.DirectoryCommand) (*rockwindpb.AnnounceMachineResponse, error) {
	err := s.coordinator.commitDirectory(ctx, command)
	return &rockwindpb.AnnounceMachineResponse{}, fault.ToTwirp(err)
}

// Retire implements rockwindpb.DirectoryService.
func (s directoryService) Retire(ctx context.Context, request *rockwindpb.RetireMachine) (*rockwindpb.RetireMachineResponse, error) {
	if s.coordinator.isNonMember() {
		response, err := forward(ctx, s.coordinator, untilCommitted, func(ctx context.Context, base string) (*rockwindpb.RetireMachineResponse, error) {
			return s.coordinator.directoryAt(base).Retire(ctx, request)
		})
		return response, fault.ToTwirp(err)
	}
	if group, _, err := s.coordinator.rootGroup(); err == nil {
		if _, leading := group.Leading(); !leading {
			refused := fault.New(fault.NotLeader, "this coordinator does not lead the root group", "ask the leader")
			return nil, fault.ToTwirp(refused.WithLeader(group.Status().GetLeaderAddress()))
		}
	}
	return &rockwindpb.RetireMachineResponse{}, fault.ToTwirp(s.coordinator.Retire(ctx, request.GetName()))
}

// Watch implements rockwindpb.DirectoryService. It answers shortly after a change, immediately if
// the change is urgent or the watcher has no state yet, or without changes after the wait. It
// fails once the replica loses contact with the leader. After a start it first waits until it is up
// to date or its state is confirmed, which counts towards the call's wait.
//
// If a linearizable answer is requested, it answers at once what the leader has.
func (s directoryService) Watch(ctx context.Context, request *rockwindpb.WatchDirectoryRequest) (*rockwindpb.WatchDirectoryResponse, error) {
	if request.GetLinearizable() {
		response, err := s.coordinator.readWatched(ctx, request)
		return response, fault.ToTwirp(err)
	}
	nonMember := s.coordinator.isNonMember()
	if nonMember && s.coordinator.recentState() == nil {
		response, err := forward(ctx, s.coordinator, watchTimeout(request.GetWaitMs()), func(ctx context.Context, base string) (*rockwindpb.WatchDirectoryResponse, error) {
			return s.coordinator.directoryAt(base).Watch(ctx, request)
		})
		return response, fault.ToTwirp(err)
	}
	wait := time.NewTimer(min(time.Duration(request.GetWaitMs())*time.Millisecond, maxWatchWait))
	defer wait.Stop()
	if !nonMember {
		if _, err := s.coordinator.awaitWatchableState(ctx); err != nil {
			return nil, fault.ToTwirp(err)
		}
	}
	view, err := s.coordinator.awaitChanges(ctx, request, wait)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	response := answerWatch(view, request, time.Now())
	if group, _, err := s.coordinator.rootGroup(); err == nil && request.GetWantLeader() {
		response.LeaderAddress = group.Status().GetLeaderAddress()
	}
	return response, nil
}
