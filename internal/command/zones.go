package command

import (
	"context"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// zonesCommand is 'rockwind zones'.
type zonesCommand struct {
	List  zonesList  `cmd:"" help:"Show the zones of a site that are drained."`
	Drain zonesDrain `cmd:"" help:"Send nothing new to the servers of a zone."`
	Serve zonesServe `cmd:"" help:"End the drain of a zone."`
}

// zonesList is 'rockwind zones list'.
type zonesList struct{}

// Run prints one row for each drained zone.
func (*zonesList) Run(s *session) error {
	var listed *rockwindpb.ListZoneDrainsResponse
	err := s.callZoneDrains(func(ctx context.Context, service rockwindpb.ZoneDrainService) (err error) {
		listed, err = service.List(ctx, &rockwindpb.ListZoneDrainsRequest{})
		return err
	})
	if err != nil {
		return err
	}
	listing := &table{header: []string{"ZONE", "DRAINED SINCE"}}
	for _, drain := range listed.GetDrains() {
		listing.add(drain.GetZone(), timeText(drain.GetSinceUnixMs()))
	}
	return s.printer.print(listed, listing)
}

// zonesDrain is 'rockwind zones drain'.
type zonesDrain struct {
	Zone string `arg:"" help:"The zone, as its machines and servers name it."`
}

// Help implements kong.HelpProvider.
func (*zonesDrain) Help() string {
	return `Asks the coordinators given with --control. The servers of the zone finish what they have and get
nothing new: no requests, items of jobs, repeats, trials or copies of runs. It lasts over restarts until
'rockwind zones serve', and may be repeated. Requests for a service whose servers are all in drained
zones are refused at once.`
}

// Run drains the zone.
func (d *zonesDrain) Run(s *session) error {
	err := s.callZoneDrains(func(ctx context.Context, service rockwindpb.ZoneDrainService) error {
		_, err := service.Start(ctx, &rockwindpb.StartZoneDrainRequest{Zone: d.Zone})
		return err
	})
	if err != nil {
		return err
	}
	return s.printer.line(&rockwindpb.StartZoneDrainResponse{}, "%s is drained", d.Zone)
}

// zonesServe is 'rockwind zones serve'.
type zonesServe struct {
	Zone string `arg:"" help:"The zone, as 'rockwind zones list' shows it."`
}

// Run ends the drain.
func (z *zonesServe) Run(s *session) error {
	err := s.callZoneDrains(func(ctx context.Context, service rockwindpb.ZoneDrainService) error {
		_, err := service.End(ctx, &rockwindpb.EndZoneDrainRequest{Zone: z.Zone})
		return err
	})
	if err != nil {
		return err
	}
	return s.printer.line(&rockwindpb.EndZoneDrainResponse{}, "%s serves", z.Zone)
}

// callZoneDrains calls the ZoneDrainService of one coordinator after the other until one
// is available.
func (s *session) callZoneDrains(call func(ctx context.Context, service rockwindpb.ZoneDrainService) error) error {
	ctx, cancel := s.withTimeout()
	defer cancel()
	return s.callCoordinators(ctx, func(base string, httpClient rockwindpb.HTTPClient) error {
		return call(ctx, rockwindpb.NewZoneDrainServiceProtobufClient(base, httpClient))
	})
}
