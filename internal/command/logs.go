package command

import (
	"fmt"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// logsCommand is 'rockwind logs'.
type logsCommand struct {
	Address string `arg:"" help:"Internal address of the daemon, IP:PORT."`
	Limit   uint32 `default:"200" help:"How many entries to show; 0 shows all that the daemon keeps."`
}

// Run prints the entries, oldest first, one JSON object per line.
func (l *logsCommand) Run(s *session) error {
	admin, err := s.admin(l.Address)
	if err != nil {
		return err
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	response, err := admin.Logs(ctx, &rockwindpb.LogsRequest{Limit: l.Limit})
	if err != nil {
		return err
	}
	for _, line := range response.GetLines() {
		if _, err := fmt.Fprintln(s.printer.output, line); err != nil {
			return err
		}
	}
	return nil
}
