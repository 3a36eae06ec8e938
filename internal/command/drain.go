package command

import (
	"context"
	"fmt"
	"time"

	"rockwind.example/rockwind/internal/fault"
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

// Run drains the daemon and waits for the end of the drain.
func (d *drainCommand) Run(s *session) error {
	admin, err := s.admin(d.Address)
	if err != nil {
		return err
	}
	if d.Deadline < 0 || d.Deadline > maximumDrainWait {
		return fault.Newf(fault.InvalidArgument, fmt.Sprintf("write a time of at most %v", maximumDrainWait), "--deadline is %v", d.Deadline)
	}
	watching, stop := context.WithCancel(s.context)
	defer stop()
	go s.watchDrain(watching, admin)
	response, err := admin.Drain(s.context, &rockwindpb.DrainRequest{DeadlineMs: uint32(d.Deadline.Milliseconds())})
	stop()
	if err != nil {
		return err
	}
	return s.printer.line(response, "%s is drained, or drains on after the deadline", d.Address)
}

// maximumDrainWait bounds how long a command waits for a drain.
const maximumDrainWait = 24 * time.Hour

// watchDrain prints the number of requests in progress until the context ends.
func (s *session) watchDrain(ctx context.Context, admin rockwindpb.AdminService) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	progress := newProgress(s.stderr)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		state, err := admin.State(ctx, &rockwindpb.DaemonStateRequest{})
		if err == nil {
			progress.note("%d requests in progress", state.GetRequestsInProgress())
		}
	}
}
