package command

import (
	"context"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// quarantineCommand is 'rockwind quarantine'.
type quarantineCommand struct {
	List    quarantineList    `cmd:"" help:"Show the requests under which servers of a site ended, and which of them are held."`
	Release quarantineRelease `cmd:"" help:"Let a held request run again."`
}

// quarantineList is 'rockwind quarantine list'.
type quarantineList struct{}

// Help implements kong.HelpProvider.
func (*quarantineList) Help() string {
	return `Asks the coordinators given with --control. A request is known by its content: caller, method, host,
path and body. A part of prompts is held for all requests that have it; 'part, with 1' only where they also
have the one other part that always stood beside it. The same contents and parts stand in the lines of routers
and stores ('request held', 'item held').`
}

// Run prints one row for each request content.
func (*quarantineList) Run(s *session) error {
	ctx, cancel := s.withTimeout()
	defer cancel()
	var listed *rockwindpb.ListQuarantineResponse
	err := s.callCoordinators(ctx, func(base string, httpClient rockwindpb.HTTPClient) (err error) {
		listed, err = rockwindpb.NewQuarantineServiceProtobufClient(base, httpClient).List(ctx, &rockwindpb.ListQuarantineRequest{})
		return err
	})
	if err != nil {
		return err
	}
	listing := &table{header: []string{"CONTENT", "KIND", "ROUTE", "TENANT", "ENDED SERVERS", "LAST END", "HELD FOR"}}
	for _, suspect := range listed.GetSuspects() {
		listing.add(hex.EncodeToString(suspect.GetContent()), kindOf(suspect), suspect.GetRoute(), orDash(suspect.GetTenant()),
			number(len(suspect.GetServers()))+": "+strings.Join(suspect.GetServers(), " "),
			timeText(suspect.GetLastUnixMs()), remainingHold(suspect))
	}
	return s.printer.print(listed, listing)
}

// kindOf returns whether a suspect is the content of a request or a part of prompts, and how many other
// parts a prompt must have to be held for it.
func kindOf(suspect *rockwindpb.Suspect) string {
	switch {
	case !suspect.GetPart():
		return "request"
	case len(suspect.GetWith()) > 0:
		return fmt.Sprintf("part, with %d", len(suspect.GetWith()))
	}
	return "part"
}

// remainingHold formats how much longer a request content is held.
func remainingHold(suspect *rockwindpb.Suspect) string {
	if suspect.GetHeldMs() == 0 {
		return orDash("")
	}
	return (time.Duration(suspect.GetHeldMs()) * time.Millisecond).Round(time.Second).String()
}

// quarantineRelease is 'rockwind quarantine release'.
type quarantineRelease struct {
	Content string `arg:"" help:"The content or part, as 'rockwind quarantine list' shows it."`
}

// Help implements kong.HelpProvider.
func (*quarantineRelease) Help() string {
	return `What is known of the content or part is forgotten. It is held again once three more servers have ended
under it.`
}

// Run releases the content.
func (r *quarantineRelease) Run(s *session) error {
	decoded, err := hex.DecodeString(r.Content)
	if _, ok := fingerprint.FromBytes(decoded); err != nil || !ok {
		return fault.Newf(fault.InvalidArgument, "copy it from 'rockwind quarantine list'", "%q is not a content", r.Content)
	}
	ctx, cancel := s.withTimeout()
	defer cancel()
	var released *rockwindpb.ReleaseContentResponse
	err = s.callCoordinators(ctx, func(base string, httpClient rockwindpb.HTTPClient) (err error) {
		released, err = rockwindpb.NewQuarantineServiceProtobufClient(base, httpClient).Release(ctx, &rockwindpb.ReleaseContentRequest{Content: decoded})
		return err
	})
	if err != nil {
		return err
	}
	if !released.GetKnown() {
		return fault.Newf(fault.NotFound, "look at 'rockwind quarantine list'", "no server has ended under the content %s lately", r.Content)
	}
	return s.printer.line(released, "%s may run again", r.Content)
}

// callCoordinators calls one coordinator after the other until one is available.
func (s *session) callCoordinators(ctx context.Context, call func(base string, httpClient rockwindpb.HTTPClient) error) error {
	machines, err := s.connection.machines()
	if err != nil {
		return err
	}
	httpClient, err := s.connection.httpClient()
	if err != nil {
		return err
	}
	for _, machine := range machines {
		err = call(s.connection.baseURL(machine.GetAddress()), httpClient)
		if err == nil || !fault.Is(err, fault.Unavailable) || ctx.Err() != nil {
			return err
		}
	}
	return err
}
