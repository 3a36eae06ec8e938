package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// quarantineService takes what routers and stores saw of requests under which servers ended,
// and shows operators which of them are held.
type quarantineService struct{ coordinator *Coordinator }

// Report implements rockwindpb.QuarantineService. It returns once the report is committed.
func (s quarantineService) Report(ctx context.Context, request *rockwindpb.ReportQuarantineRequest) (*rockwindpb.ReportQuarantineResponse, error) {
	elsewhere := func(ctx context.Context, base string) (*rockwindpb.ReportQuarantineResponse, error) {
		return s.coordinator.quarantineAt(base).Report(ctx, request)
	}
	if s.coordinator.outside() {
		response, err := passOn(ctx, s.coordinator, toCommit, elsewhere)
		return response, fault.ToTwirp(err)
	}
	response, err := fromLeader(ctx, s.coordinator, func() (*rockwindpb.ReportQuarantineResponse, error) {
		return &rockwindpb.ReportQuarantineResponse{}, s.coordinator.commitReport(ctx, request)
	}, elsewhere)
	return response, fault.ToTwirp(err)
}

// List implements rockwindpb.QuarantineService. The leader answers, which knows what was reported a moment ago;
// while there is none this coordinator tells what it knows itself.
func (s quarantineService) List(ctx context.Context, request *rockwindpb.ListQuarantineRequest) (*rockwindpb.ListQuarantineResponse, error) {
	elsewhere := func(ctx context.Context, base string) (*rockwindpb.ListQuarantineResponse, error) {
		return s.coordinator.quarantineAt(base).List(ctx, request)
	}
	if s.coordinator.outside() {
		response, err := passOn(ctx, s.coordinator, passTimeout, elsewhere)
		return response, fault.ToTwirp(err)
	}
	asking, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	response, err := fromLeader(asking, s.coordinator, s.listed, elsewhere)
	if err != nil {
		log.WithError(err).Warn("the quarantine is listed as this coordinator knows it: no leader answers")
		response, err = s.listed()
	}
	return response, fault.ToTwirp(err)
}

// listed is the list as this coordinator knows it.
func (s quarantineService) listed() (*rockwindpb.ListQuarantineResponse, error) {
	_, view, err := s.coordinator.current()
	if err != nil {
		return nil, err
	}
	return &rockwindpb.ListQuarantineResponse{Suspects: view.quarantine.List(time.Now())}, nil
}

// Release implements rockwindpb.QuarantineService.
func (s quarantineService) Release(ctx context.Context, request *rockwindpb.ReleaseContentRequest) (*rockwindpb.ReleaseContentResponse, error) {
	elsewhere := func(ctx context.Context, base string) (*rockwindpb.ReleaseContentResponse, error) {
		return s.coordinator.quarantineAt(base).Release(ctx, request)
	}
	if s.coordinator.outside() {
		response, err := passOn(ctx, s.coordinator, toCommit, elsewhere)
		return response, fault.ToTwirp(err)
	}
	content, ok := fingerprint.FromBytes(request.GetContent())
	if !ok {
		return nil, fault.ToTwirp(fault.Newf(fault.InvalidArgument, "take the content from the list of the quarantine",
			"a content has %d bytes, not %d", fingerprint.Size, len(request.GetContent())))
	}
	response, err := fromLeader(ctx, s.coordinator, func() (*rockwindpb.ReleaseContentResponse, error) {
		return s.coordinator.release(ctx, content)
	}, elsewhere)
	return response, fault.ToTwirp(err)
}

// release forgets a content as the leader, whose state shows whether it was known.
func (c *Coordinator) release(ctx context.Context, content fingerprint.Fingerprint) (*rockwindpb.ReleaseContentResponse, error) {
	_, view, err := c.current()
	if err != nil {
		return nil, err
	}
	_, known := view.quarantine.Suspect(content)
	command := &rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Release{
		Release: &rockwindpb.ReleaseContentRequest{Content: content.Bytes()},
	}}
	if err := c.commitQuarantine(ctx, command); err != nil {
		return nil, err
	}
	log.WithField("content", content.String()).WithField("known", known).Info("content released")
	return &rockwindpb.ReleaseContentResponse{Known: known}, nil
}

// commitReport proposes a report as the leader, and writes what was decided by it. Answers to
// contents of which nothing is known need no entry in the log.
func (c *Coordinator) commitReport(ctx context.Context, told *rockwindpb.ReportQuarantineRequest) error {
	_, before, err := c.current()
	if err != nil {
		return err
	}
	report := &rockwindpb.ReportQuarantineRequest{Ends: told.GetEnds(), Answered: knownContents(before.quarantine, told.GetAnswered())}
	if len(report.GetEnds())+len(report.GetAnswered()) == 0 {
		return nil
	}
	if err := c.commitQuarantine(ctx, &rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Report{Report: report}}); err != nil {
		return err
	}
	_, machine, err := c.group()
	if err != nil {
		return err
	}
	for _, end := range report.GetEnds() {
		recordEnd(machine.view().quarantine, end)
	}
	for _, answered := range report.GetAnswered() {
		if content, ok := fingerprint.FromBytes(answered); ok {
			decision.Default.Record(decision.ContentCleared, content.String(), log.Fields{"reason": "a server answered it"})
		}
	}
	return nil
}

// knownContents returns those of the encoded contents of which something is known.
func knownContents(view *quarantine.View, encoded [][]byte) [][]byte {
	return slices.DeleteFunc(slices.Clone(encoded), func(each []byte) bool {
		content, ok := fingerprint.FromBytes(each)
		if !ok {
			return true
		}
		_, known := view.Suspect(content)
		return !known
	})
}

// recordEnd writes that a server ended under a content, and what follows.
func recordEnd(view *quarantine.View, end *rockwindpb.ServerEnd) {
	content, ok := fingerprint.FromBytes(end.GetContent())
	if !ok {
		return
	}
	suspect, _ := view.Suspect(content)
	decision.Default.Record(decision.ServerEnded, content.String(), log.Fields{
		"server": end.GetServer(), "route": end.GetRoute(), "tenant": end.GetTenant(), "item": end.GetItem(),
		"began_ms_ago": end.GetBeganMsAgo(), "ends": len(suspect.GetServers()), "later": suspect.GetLater(),
		"held_ms": view.HeldFor(content, time.Now()).Milliseconds(),
	})
}

// commitQuarantine proposes a command of the quarantine as the leader.
func (c *Coordinator) commitQuarantine(ctx context.Context, command *rockwindpb.QuarantineCommand) error {
	command.NowUnixMs = time.Now().UnixMilli()
	return c.propose(ctx, &rockwindpb.RootCommand{Command: &rockwindpb.RootCommand_Quarantine{Quarantine: command}})
}
