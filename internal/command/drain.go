package command

import (
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// drainCommand is 'rockwind drain'.
type drainCommand struct {
	Address  string        `arg:"" help:"Internal address of the daemon, IP:PORT."`
	Deadline time.Duration `placeholder:"TIME" help:"End requests that still run after this time. Without it all requests run to their end."`
}

// Help implements kong.HelpProvider.
func (*drainCommand) Help() string {
	return `The daemon takes no new work, ends its leases, and lets requests in progress run to their end.
'rockwind status' shows it as draining. Stopping the process with SIGTERM does the same and then ends it.`
}

// Run starts the drain.
func (d *drainCommand) Run(s *session) error {
	admin, err := s.admin(d.Address)
	if err != nil {
		return err
	}
	ctx, cancel := s.bounded()
	defer cancel()
	response, err := admin.Drain(ctx, &rockwindpb.DrainRequest{DeadlineMs: uint32(d.Deadline.Milliseconds())})
	if err != nil {
		return err
	}
	return s.printer.line(response, "%s drains", d.Address)
}
