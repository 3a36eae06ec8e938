package coordinator

import (
	"context"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featurelevel"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// drainCommand names the command in refusals.
const drainCommand = "the drain of a zone"

// zoneDrainService serves zone drains to operators and other coordinators.
type zoneDrainService struct{ coordinator *Coordinator }

// Start implements rockwindpb.ZoneDrainService.
func (s zoneDrainService) Start(ctx context.Context, request *rockwindpb.StartZoneDrainRequest) (*rockwindpb.StartZoneDrainResponse, error) {
	start := s.coordinator.StartZoneDrain
	if isForwarded(ctx) {
		start = func(ctx context.Context, zone string) error {
			return s.coordinator.startZoneDrain(ctx, zone, request.GetPermit())
		}
	}
	return &rockwindpb.StartZoneDrainResponse{}, fault.ToTwirp(start(ctx, request.GetZone()))
}

// End implements rockwindpb.ZoneDrainService.
func (s zoneDrainService) End(ctx context.Context, request *rockwindpb.EndZoneDrainRequest) (*rockwindpb.EndZoneDrainResponse, error) {
	end := s.coordinator.EndZoneDrain
	if isForwarded(ctx) {
		end = func(ctx context.Context, zone string) error {
			return s.coordinator.endZoneDrain(ctx, zone, request.GetPermit())
		}
	}
	return &rockwindpb.EndZoneDrainResponse{}, fault.ToTwirp(end(ctx, request.GetZone()))
}

// IssuePermit implements rockwindpb.ZoneDrainService.
func (s zoneDrainService) IssuePermit(ctx context.Context, _ *rockwindpb.IssuePermitRequest) (*rockwindpb.CommandPermit, error) {
	permit, err := s.coordinator.issuePermit(ctx)
	return permit, fault.ToTwirp(err)
}

// List implements rockwindpb.ZoneDrainService. The leader answers, since it has all committed
// changes.
func (s zoneDrainService) List(ctx context.Context, request *rockwindpb.ListZoneDrainsRequest) (*rockwindpb.ListZoneDrainsResponse, error) {
	elsewhere := func(ctx context.Context, base string) (*rockwindpb.ListZoneDrainsResponse, error) {
		return s.coordinator.zoneDrainsAt(base).List(ctx, request)
	}
	if s.coordinator.isNonMember() {
		response, err := forwardToLeader(ctx, s.coordinator, forwardTimeout, elsewhere)
		return response, fault.ToTwirp(err)
	}
	response, err := callOnLeader(ctx, s.coordinator, func() (*rockwindpb.ListZoneDrainsResponse, error) {
		_, view, err := s.coordinator.currentState()
		if err != nil {
			return nil, err
		}
		return &rockwindpb.ListZoneDrainsResponse{Drains: view.zoneDrains.Drains()}, nil
	}, elsewhere)
	return response, fault.ToTwirp(err)
}

// StartZoneDrain drains a zone: its servers receive no new work. It returns once the drain is
// committed; watchers are notified of it as an urgent change. It is idempotent and returns
// fault.NotFound for a zone without machines and servers, and fault.Unavailable while coordinators of
// an earlier version run, which would ignore the command or leave it out of their snapshots. The command is not
// committed once its context has ended.
func (c *Coordinator) StartZoneDrain(ctx context.Context, zone string) error {
	return c.operatorCall(ctx).commit(func(permit *rockwindpb.CommandPermit) error { return c.startZoneDrain(ctx, zone, permit) })
}

// EndZoneDrain ends the drain of a zone, whatever versions run. It is idempotent, returns
// fault.NotFound as StartZoneDrain does, and is not committed once its context has ended.
func (c *Coordinator) EndZoneDrain(ctx context.Context, zone string) error {
	return c.operatorCall(ctx).commit(func(permit *rockwindpb.CommandPermit) error { return c.endZoneDrain(ctx, zone, permit) })
}

// startZoneDrain has the leader commit the start of a drain with a permit.
func (c *Coordinator) startZoneDrain(ctx context.Context, zone string, permit *rockwindpb.CommandPermit) error {
	if !c.isNonMember() {
		// A leader of an earlier version doesn't check the level, so each member does.
		if refusal, _ := splitFeatureRefusal(c.awaitFeature(ctx, featurelevel.ZoneDrains, drainCommand)); refusal != nil {
			return refusal
		}
	}
	return c.changeZoneDrain(ctx, zone, permit, &rockwindpb.ZoneDrainCommand{
		Command: &rockwindpb.ZoneDrainCommand_Start{Start: &rockwindpb.StartZoneDrainRequest{Zone: zone}},
	}, func(ctx context.Context, service rockwindpb.ZoneDrainService) error {
		_, err := service.Start(ctx, &rockwindpb.StartZoneDrainRequest{Zone: zone, Permit: permit})
		return err
	})
}

// endZoneDrain has the leader commit the end of a drain with a permit.
func (c *Coordinator) endZoneDrain(ctx context.Context, zone string, permit *rockwindpb.CommandPermit) error {
	return c.changeZoneDrain(ctx, zone, permit, &rockwindpb.ZoneDrainCommand{
		Command: &rockwindpb.ZoneDrainCommand_End{End: &rockwindpb.EndZoneDrainRequest{Zone: zone}},
	}, func(ctx context.Context, service rockwindpb.ZoneDrainService) error {
		_, err := service.End(ctx, &rockwindpb.EndZoneDrainRequest{Zone: zone, Permit: permit})
		return err
	})
}

// changeZoneDrain has the leader commit a command, locally or remotely.
func (c *Coordinator) changeZoneDrain(
	ctx context.Context, zone string, permit *rockwindpb.CommandPermit, command *rockwindpb.ZoneDrainCommand,
	call func(context.Context, rockwindpb.ZoneDrainService) error,
) error {
	elsewhere := func(ctx context.Context, base string) (*fault.Fault, error) {
		return splitFeatureRefusal(call(ctx, c.zoneDrainsAt(base)))
	}
	var refusal *fault.Fault
	var err error
	received := time.Now()
	if c.isNonMember() {
		refusal, err = forwardToLeader(ctx, c, untilCommitted, elsewhere)
	} else {
		refusal, err = callOnLeader(ctx, c, func() (*fault.Fault, error) {
			return splitFeatureRefusal(c.commands.propose(ctx, permit, func() error { return c.commitZoneDrain(ctx, zone, command) }))
		}, elsewhere)
	}
	if refusal != nil {
		err = refusal
	}
	logZoneDrainCall(ctx, zone, command, time.Since(received), err)
	return err
}

// logZoneDrainCall logs a command at each coordinator that it passes, so that the way of a command to its commit
// can be followed.
func logZoneDrainCall(ctx context.Context, zone string, command *rockwindpb.ZoneDrainCommand, took time.Duration, err error) {
	entry := log.WithField("zone", zone).WithField("drained", command.GetStart() != nil).WithField("took_ms", took.Milliseconds()).
		WithField("forwarded", isForwarded(ctx)).WithField("caller_gone", ctx.Err() != nil)
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("zone drain command")
}

// commitZoneDrain proposes a command; this coordinator must be the leader.
func (c *Coordinator) commitZoneDrain(ctx context.Context, zone string, command *rockwindpb.ZoneDrainCommand) error {
	_, view, err := c.currentState()
	if err != nil {
		return err
	}
	if zone != c.settings.GetZone() && !view.zoneDrains.Drained(zone) && !view.directory.HasZone(zone) {
		return fault.Newf(fault.NotFound, "name a zone of the site", "no machine or server is in zone %q", zone)
	}
	if command.GetStart() != nil {
		if refusal := c.featureRefusal(view, featurelevel.ZoneDrains, drainCommand); refusal != nil {
			return refusal
		}
	}
	command.NowUnixMs = time.Now().UnixMilli()
	err = c.propose(ctx, &rockwindpb.RootCommand{Command: &rockwindpb.RootCommand_ZoneDrain{ZoneDrain: command}})
	log.WithField("zone", zone).WithField("drained", command.GetStart() != nil).WithField("committed", err == nil).
		WithField("revision", c.knownZoneDrains().Revision()).Info("zone drain")
	return err
}

// zoneDrainsAt returns a client of the zone drain service at a base address.
func (c *Coordinator) zoneDrainsAt(base string) rockwindpb.ZoneDrainService {
	return rockwindpb.NewZoneDrainServiceProtobufClient(base, c.twirpClient())
}
