package catalog

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// maximumWait bounds how long a replica holds a call that waits for news.
const maximumWait = time.Minute

// Service implements rockwindpb.ConfigurationService over the root group. Its
// errors are faults, ready for fault.ToTwirp.
type Service struct {
	group   replica.Group
	machine *Machine
	now     func() time.Time
}

// NewService returns the service of one replica. The machine is the one that
// the group drives.
func NewService(group replica.Group, machine *Machine, now func() time.Time) *Service {
	return &Service{group: group, machine: machine, now: now}
}

// Submit accepts or refuses a whole configuration. It fails with
// fault.InvalidArgument, fault.Conflict or fault.Stale where it is refused, with
// fault.NotLeader elsewhere than on the leader, and with fault.OutcomeUnknown
// where it may still be accepted later; a resend of the same file then gets the
// same acceptance.
func (s *Service) Submit(ctx context.Context, request *rockwindpb.ApplyConfigurationRequest) (*rockwindpb.ApplyConfigurationResponse, error) {
	next, err := checked(request.GetConfiguration())
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

// overtaken tells whether a proposal failed only because another one was
// accepted since it was made. Where any higher number is accepted it is made
// again, on top of the other.
func (s *Service) overtaken(err error) bool {
	return s.machine.policy == HighestNumber && fault.Is(err, fault.Stale)
}

// propose makes one attempt to have a checked configuration accepted.
func (s *Service) propose(ctx context.Context, request *rockwindpb.ApplyConfigurationRequest, next *configuration.Index) (*rockwindpb.ApplyConfigurationResponse, error) {
	view, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	if outcome, settled := view.Settled(next.Number(), next.Checksum()); settled {
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

// checked completes a received configuration and refuses a wrong one, so that
// no replica depends on the care of a client.
func checked(received *rockwindpb.Configuration) (*configuration.Index, error) {
	if received == nil {
		return nil, fault.New(fault.InvalidArgument, "the request holds no configuration", "send the whole configuration")
	}
	configuration.Normalise(received)
	if err := configuration.ProblemsError(configuration.Check(received)); err != nil {
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

// current reads the state that holds everything accepted before the call.
func (s *Service) current(ctx context.Context) (*View, error) {
	var view *View
	err := s.group.Read(ctx, func() { view = s.machine.View() })
	return view, err
}

// local reads the state as applied on this replica, which may be old.
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

// Get implements rockwindpb.ConfigurationService: the configuration in force as
// this replica knows it, or, where the newest is asked for, as the leader does.
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

// Watch implements rockwindpb.ConfigurationService: it answers as soon as this
// replica knows a newer configuration, or without a change after the wait.
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
		if change := news(view, request); change != nil {
			return &rockwindpb.WatchConfigurationResponse{Change: change}, nil
		}
		select {
		case <-applied:
		case <-timer.C:
			return &rockwindpb.WatchConfigurationResponse{}, nil
		case <-ctx.Done():
			return nil, fault.ToTwirp(fault.New(fault.Unavailable, "the wait for a configuration was cut short", "ask again"))
		}
	}
}

func news(view *View, request *rockwindpb.WatchConfigurationRequest) *rockwindpb.ConfigurationChange {
	if request.GetFull() && view.Index().Number() >= request.GetHaveNumber() {
		return view.Full()
	}
	return view.ChangeSince(request.GetHaveNumber(), request.GetHaveChecksum())
}

var _ rockwindpb.ConfigurationService = (*Service)(nil)
