package coordinator

import (
	"context"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// zoneDrainService is the drains of zones towards operators and other coordinators.
type zoneDrainService struct{ coordinator *Coordinator }

// Start implements rockwindpb.ZoneDrainService.
func (s zoneDrainService) Start(ctx context.Context, request *rockwindpb.StartZoneDrainRequest) (*rockwindpb.StartZoneDrainResponse, error) {
	return &rockwindpb.StartZoneDrainResponse{}, fault.ToTwirp(s.coordinator.StartZoneDrain(ctx, request.GetZone()))
}

// End implements rockwindpb.ZoneDrainService.
func (s zoneDrainService) End(ctx context.Context, request *rockwindpb.EndZoneDrainRequest) (*rockwindpb.EndZoneDrainResponse, error) {
	return &rockwindpb.EndZoneDrainResponse{}, fault.ToTwirp(s.coordinator.EndZoneDrain(ctx, request.GetZone()))
}

// List implements rockwindpb.ZoneDrainService. The leader answers, which knows what was committed a
// moment ago.
func (s zoneDrainService) List(ctx context.Context, request *rockwindpb.ListZoneDrainsRequest) (*rockwindpb.ListZoneDrainsResponse, error) {
	elsewhere := func(ctx context.Context, base string) (*rockwindpb.ListZoneDrainsResponse, error) {
		return s.coordinator.zoneDrainsAt(base).List(ctx, request)
	}
	if s.coordinator.outside() {
		response, err := passOnToLeader(ctx, s.coordinator, passTimeout, elsewhere)
		return response, fault.ToTwirp(err)
	}
	response, err := fromLeader(ctx, s.coordinator, func() (*rockwindpb.ListZoneDrainsResponse, error) {
		_, view, err := s.coordinator.current()
		if err != nil {
			return nil, err
		}
		return &rockwindpb.ListZoneDrainsResponse{Drains: view.zoneDrains.Drains()}, nil
	}, elsewhere)
	return response, fault.ToTwirp(err)
}

// StartZoneDrain has the servers of a zone get nothing new. It returns once that is committed;
// processes that watch learn of it as of a change of the directory. It may be repeated, and
// fails with fault.NotFound for a zone without machines and servers.
func (c *Coordinator) StartZoneDrain(ctx context.Context, zone string) error {
	return c.changeZoneDrain(ctx, zone, &rockwindpb.ZoneDrainCommand{
		Command: &rockwindpb.ZoneDrainCommand_Start{Start: &rockwindpb.StartZoneDrainRequest{Zone: zone}},
	}, func(ctx context.Context, service rockwindpb.ZoneDrainService) error {
		_, err := service.Start(ctx, &rockwindpb.StartZoneDrainRequest{Zone: zone})
		return err
	})
}

// EndZoneDrain takes StartZoneDrain back, with the same faults. It may be repeated.
func (c *Coordinator) EndZoneDrain(ctx context.Context, zone string) error {
	return c.changeZoneDrain(ctx, zone, &rockwindpb.ZoneDrainCommand{
		Command: &rockwindpb.ZoneDrainCommand_End{End: &rockwindpb.EndZoneDrainRequest{Zone: zone}},
	}, func(ctx context.Context, service rockwindpb.ZoneDrainService) error {
		_, err := service.End(ctx, &rockwindpb.EndZoneDrainRequest{Zone: zone})
		return err
	})
}

// changeZoneDrain has the leader commit a command, here or by a call elsewhere.
func (c *Coordinator) changeZoneDrain(
	ctx context.Context, zone string, command *rockwindpb.ZoneDrainCommand, call func(context.Context, rockwindpb.ZoneDrainService) error,
) error {
	elsewhere := func(ctx context.Context, base string) (struct{}, error) {
		return struct{}{}, call(ctx, c.zoneDrainsAt(base))
	}
	if c.outside() {
		_, err := passOnToLeader(ctx, c, toCommit, elsewhere)
		return err
	}
	_, err := fromLeader(ctx, c, func() (struct{}, error) { return struct{}{}, c.commitZoneDrain(ctx, zone, command) }, elsewhere)
	return err
}

// commitZoneDrain proposes a command as the leader.
func (c *Coordinator) commitZoneDrain(ctx context.Context, zone string, command *rockwindpb.ZoneDrainCommand) error {
	_, view, err := c.current()
	if err != nil {
		return err
	}
	if zone != c.settings.GetZone() && !view.zoneDrains.Drained(zone) && !view.directory.HasZone(zone) {
		return fault.Newf(fault.NotFound, "name a zone of the site", "no machine and no server is in a zone named %q", zone)
	}
	command.NowUnixMs = time.Now().UnixMilli()
	err = c.propose(ctx, &rockwindpb.RootCommand{Command: &rockwindpb.RootCommand_ZoneDrain{ZoneDrain: command}})
	log.WithField("zone", zone).WithField("drained", command.GetStart() != nil).WithField("committed", err == nil).Info("zone drain")
	return err
}

// zoneDrainsAt is the drains of zones as the coordinator at a base address serves them.
func (c *Coordinator) zoneDrainsAt(base string) rockwindpb.ZoneDrainService {
	return rockwindpb.NewZoneDrainServiceProtobufClient(base, c.carrier())
}
