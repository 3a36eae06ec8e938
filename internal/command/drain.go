package command

import (
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// drainCommand is 'rockwind drain'.
type drainCommand struct {
	Address  string        `arg:"" help:"Internal address of the daemon, IP:PORT."`
	Deadline time.Duration `placeholder:"TIME" help:"Wait at most this long for the requests in progress. Without it the command waits until they have ended."`
}

// Help implements kong.HelpProvider.
func (*drainCommand) Help() string {
	return `The daemon takes no new work, ends its leases, lets requests in progress run to their end, and ends. The
command waits for that; when it is interrupted, the daemon goes on draining. 'rockwind status' shows it as
draining. SIGTERM to the process does the same.`
}

// Run starts the drain.
func (d *drainCommand) Run(s *session) error {
	admin, err := s.admin(d.Address)
	if err != nil {
		return err
	}
	response, err := admin.Drain(s.context, &rockwindpb.DrainRequest{DeadlineMs: uint32(d.Deadline.Milliseconds())})
	if err != nil {
		return err
	}
	return s.printer.line(response, "%s is drained, or drains on after the deadline", d.Address)
}
