package catalog

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// maximumWait bounds how long Watch waits for a newer configuration.
const maximumWait = time.Minute

// Service implements rockwindpb.ConfigurationService on the root group.
type Service struct {
	group   replica.Group
	machine *Machine
	now     func() time.Time
	// topology is the zones and regions of the site.
	topology topology.Map
}

// NewService returns the service of one replica. The machine must be the state machine
// of the group.
func NewService(group replica.Group, machine *Machine, now func() time.Time) *Service {
	return &Service{group: group, machine: machine, now: now}
}

// WithTopology sets the regions that configurations may name, and returns the service. Without it,
// configurations that name regions are refused.
func (s *Service) WithTopology(zones topology.Map) *Service {
	s.topology = zones
	return s
}

// Submit accepts or refuses a full configuration. It fails with fault.InvalidArgument,
// fault.Conflict or fault.Stale if the configuration is refused, with fault.NotLeader
// if this replica is not the leader, and with fault.OutcomeUnknown if the
// configuration may still be accepted; sending the same file again then returns the
// same acceptance.
func (s *Service) Submit(ctx context.Context, request *rockwindpb.ApplyConfigurationRequest) (*rockwindpb.ApplyConfigurationResponse, error) {
	next, err := checked(request.GetConfiguration(), s.topology)
	if err != nil {
		return nil, err
	}
	for {
		response, err := s.propose(ctx, request, next)
		if !s.overtaken(err) {
			return response, err
		}
	}
}

// overtaken reports whether a proposal under the policy HighestNumber failed because
// another one was accepted after it was prepared, and should be prepared again.
func (s *Service) overtaken(err error) bool {
	return s.machine.policy == HighestNumber && fault.Is(err, fault.Stale)
}

// propose proposes a checked configuration once.
func (s *Service) propose(ctx context.Context, request *rockwindpb.ApplyConfigurationRequest, next *configuration.Index) (*rockwindpb.ApplyConfigurationResponse, error) {
	view, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	if outcome, decided := view.OutcomeWithoutChange(next.Number(), next.Checksum()); decided {
		return outcome.unpack()
	}
	command, err := proto.Marshal(&rockwindpb.CatalogCommand{
		NowUnixMs: s.now().UnixMilli(),
		Operator:  request.GetOperator(),
		Change:    configuration.CompareIndexes(view.Index(), next),
		Source:    request.GetSource(),
	})
	if err != nil {
		return nil, err
	}
	result, err := s.group.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	outcome, ok := result.(Outcome)
	if !ok {
		return nil, fault.Newf(fault.Internal, "report this with the output of 'rockwind logs'", "the root group answered with %T", result)
	}
	return outcome.unpack()
}

// checked normalises and validates a received configuration, so that replicas don't
// rely on validation by clients.
func checked(received *rockwindpb.Configuration, zones topology.Map) (*configuration.Index, error) {
	if received == nil {
		return nil, fault.New(fault.InvalidArgument, "the request holds no configuration", "send the whole configuration")
	}
	configuration.Normalise(received)
	problems := append(configuration.Check(received), configuration.CheckRegions(received, zones)...)
	if err := configuration.ProblemsError(problems); err != nil {
		return nil, err
	}
	return configuration.NewIndex(received)
}

func (o Outcome) unpack() (*rockwindpb.ApplyConfigurationResponse, error) {
	if o.Fault != nil {
		return nil, o.Fault
	}
	return o.Response, nil
}

// current returns a state that includes everything accepted before the call.
func (s *Service) current(ctx context.Context) (*View, error) {
	var view *View
	err := s.group.Read(ctx, func() { view = s.machine.View() })
	return view, err
}

// local returns the state applied on this replica, which may be outdated.
func (s *Service) local(ctx context.Context) (*View, error) {
	var view *View
	err := s.group.ReadLocal(ctx, func() { view = s.machine.View() })
	return view, err
}

// Apply implements rockwindpb.ConfigurationService.
func (s *Service) Apply(ctx context.Context, request *rockwindpb.ApplyConfigurationRequest) (*rockwindpb.ApplyConfigurationResponse, error) {
	response, err := s.Submit(ctx, request)
	return response, fault.ToTwirp(err)
}

// Get implements rockwindpb.ConfigurationService. It returns the configuration applied
// on this replica or, if the newest is requested, the result of a linearizable read.
func (s *Service) Get(ctx context.Context, request *rockwindpb.GetConfigurationRequest) (*rockwindpb.GetConfigurationResponse, error) {
	read := s.local
	if request.GetNewest() {
		read = s.current
	}
	view, err := read(ctx)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.GetConfigurationResponse{
		Source:        view.Source(),
		Configuration: view.Index().Configuration(),
		Acceptance:    view.Acceptance(),
	}, nil
}

// Watch implements rockwindpb.ConfigurationService. It returns as soon as this replica
// has applied a newer configuration, or without a change after the requested wait.
func (s *Service) Watch(ctx context.Context, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maximumWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		applied := s.group.Applied()
		view, err := s.local(ctx)
		if err != nil {
			return nil, fault.ToTwirp(err)
		}
		if change := changeFor(view, request); change != nil {
			return &rockwindpb.WatchConfigurationResponse{Change: change}, nil
		}
		select {
		case <-applied:
		case <-timer.C:
			return &rockwindpb.WatchConfigurationResponse{}, nil
		case <-ctx.Done():
			return nil, fault.ToTwirp(fault.New(fault.Unavailable, "the wait for a configuration was interrupted", "ask again"))
		}
	}
}

func changeFor(view *View, request *rockwindpb.WatchConfigurationRequest) *rockwindpb.ConfigurationChange {
	if request.GetFull() && view.Index().Number() >= request.GetHaveNumber() {
		return view.Full()
	}
	return view.ChangeSince(request.GetHaveNumber(), request.GetHaveChecksum())
}

var _ rockwindpb.ConfigurationService = (*Service)(nil)
