package coordinator

import (
	"context"
	"encoding/hex"
	"slices"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featurelevel"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/quarantine"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// quarantineService accepts reports of requests during which servers ended, and lists the
// suspects for operators.
type quarantineService struct{ coordinator *Coordinator }

// Report implements rockwindpb.QuarantineService. It returns once the report is committed.
func (s quarantineService) Report(ctx context.Context, request *rockwindpb.ReportQuarantineRequest) (*rockwindpb.ReportQuarantineResponse, error) {
	elsewhere := func(ctx context.Context, base string) (*rockwindpb.ReportQuarantineResponse, error) {
		return s.coordinator.quarantineAt(base).Report(ctx, request)
	}
	if s.coordinator.isNonMember() {
		response, err := forward(ctx, s.coordinator, untilCommitted, elsewhere)
		return response, fault.ToTwirp(err)
	}
	response, err := callOnLeader(ctx, s.coordinator, func() (*rockwindpb.ReportQuarantineResponse, error) {
		return &rockwindpb.ReportQuarantineResponse{}, s.coordinator.commitQuarantineReport(ctx, request)
	}, elsewhere)
	return response, fault.ToTwirp(err)
}

// List implements rockwindpb.QuarantineService. The leader answers, since it has all committed
// reports. If no leader answers, this coordinator returns its own list.
func (s quarantineService) List(ctx context.Context, request *rockwindpb.ListQuarantineRequest) (*rockwindpb.ListQuarantineResponse, error) {
	elsewhere := func(ctx context.Context, base string) (*rockwindpb.ListQuarantineResponse, error) {
		return s.coordinator.quarantineAt(base).List(ctx, request)
	}
	if s.coordinator.isNonMember() {
		response, err := forward(ctx, s.coordinator, forwardTimeout, elsewhere)
		return response, fault.ToTwirp(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	response, err := callOnLeader(callCtx, s.coordinator, s.localList, elsewhere)
	if err != nil {
		log.WithError(err).Warn("no leader answered; listing the quarantine from local state")
		response, err = s.localList()
	}
	return response, fault.ToTwirp(err)
}

// localList returns the list from the local replica.
func (s quarantineService) localList() (*rockwindpb.ListQuarantineResponse, error) {
	_, view, err := s.coordinator.currentState()
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
	if s.coordinator.isNonMember() {
		response, err := forward(ctx, s.coordinator, untilCommitted, elsewhere)
		return response, fault.ToTwirp(err)
	}
	content, ok := fingerprint.FromBytes(request.GetContent())
	if !ok {
		return nil, fault.ToTwirp(fault.Newf(fault.InvalidArgument, "use a content fingerprint from the quarantine list",
			"a content fingerprint has %d bytes, not %d", fingerprint.Size, len(request.GetContent())))
	}
	response, err := callOnLeader(ctx, s.coordinator, func() (*rockwindpb.ReleaseContentResponse, error) {
		return s.coordinator.releaseContent(ctx, content)
	}, elsewhere)
	return response, fault.ToTwirp(err)
}

// releaseContent releases a content from the quarantine; this coordinator must be the leader.
func (c *Coordinator) releaseContent(ctx context.Context, content fingerprint.Fingerprint) (*rockwindpb.ReleaseContentResponse, error) {
	_, view, err := c.currentState()
	if err != nil {
		return nil, err
	}
	_, known := view.quarantine.Suspect(content)
	_, knownPart := view.quarantine.Part(content)
	known = known || knownPart
	command := &rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Release{
		Release: &rockwindpb.ReleaseContentRequest{Content: content.Bytes()},
	}}
	if err := c.commitQuarantine(ctx, command); err != nil {
		return nil, err
	}
	log.WithField("content", content.String()).WithField("known", known).Info("content released")
	return &rockwindpb.ReleaseContentResponse{Known: known}, nil
}

// ClaimTrial implements rockwindpb.QuarantineService.
func (s quarantineService) ClaimTrial(ctx context.Context, request *rockwindpb.ClaimTrialRequest) (*rockwindpb.ClaimTrialResponse, error) {
	elsewhere := func(ctx context.Context, base string) (*rockwindpb.ClaimTrialResponse, error) {
		return s.coordinator.quarantineAt(base).ClaimTrial(ctx, request)
	}
	if s.coordinator.isNonMember() {
		response, err := forward(ctx, s.coordinator, untilCommitted, elsewhere)
		return response, fault.ToTwirp(err)
	}
	response, err := callOnLeader(ctx, s.coordinator, func() (*rockwindpb.ClaimTrialResponse, error) {
		return s.coordinator.grantTrial(ctx, request)
	}, elsewhere)
	return response, fault.ToTwirp(err)
}

// grantTrial grants the trial of held parts to one claim; this coordinator must be the leader.
func (c *Coordinator) grantTrial(ctx context.Context, request *rockwindpb.ClaimTrialRequest) (*rockwindpb.ClaimTrialResponse, error) {
	_, view, err := c.currentState()
	if err != nil {
		return nil, err
	}
	if request.GetClaim() == "" || !view.quarantine.TrialDue(request.GetParts(), time.Now()) {
		return &rockwindpb.ClaimTrialResponse{}, nil
	}
	if err := c.commitQuarantine(ctx, &rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Trial{Trial: request}}); err != nil {
		return nil, err
	}
	_, machine, err := c.rootGroup()
	if err != nil {
		return nil, err
	}
	return &rockwindpb.ClaimTrialResponse{Granted: machine.view().quarantine.Claimed(request.GetParts(), request.GetClaim())}, nil
}

// commitQuarantineReport commits a report as the leader and records the resulting decisions. Answers
// to unknown contents are dropped, since they change nothing.
func (c *Coordinator) commitQuarantineReport(ctx context.Context, reported *rockwindpb.ReportQuarantineRequest) error {
	_, view, err := c.currentState()
	if err != nil {
		return err
	}
	report := &rockwindpb.ReportQuarantineRequest{
		Ends: reported.GetEnds(), Answered: knownContents(view.quarantine, reported.GetAnswered()),
		AnsweredParts: clearingAnswers(view.quarantine, reported.GetAnsweredParts(), time.Now()),
	}
	if !c.featureOpen(view, featurelevel.PromptParts) {
		report = withoutParts(report)
	}
	if len(report.GetEnds())+len(report.GetAnswered())+len(report.GetAnsweredParts()) == 0 {
		return nil
	}
	if err := c.commitQuarantine(ctx, &rockwindpb.QuarantineCommand{Command: &rockwindpb.QuarantineCommand_Report{Report: report}}); err != nil {
		return err
	}
	_, machine, err := c.rootGroup()
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
	for _, answer := range report.GetAnsweredParts() {
		if part, ok := fingerprint.FromBytes(answer.GetPart()); ok && view.quarantine.ClearedBy(answer, time.Now()) {
			record, _ := machine.view().quarantine.Part(part)
			decision.Default.Record(decision.ContentCleared, part.String(), log.Fields{
				"reason": "a server answered a request with this part", "sent_ms_ago": answer.GetSentMsAgo(), "crashes": len(record.GetCrashes()),
			})
		}
	}
	return nil
}

// holdUnanswered commits an empty report once a suspected part has not been answered in time, by which it
// is held; this coordinator must be the leader.
func (c *Coordinator) holdUnanswered(ctx context.Context, view *rootView, now time.Time) {
	if !view.quarantine.HoldDue(now) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, maintenanceCallTimeout)
	defer cancel()
	report := &rockwindpb.QuarantineCommand_Report{Report: &rockwindpb.ReportQuarantineRequest{}}
	if err := c.commitQuarantine(callCtx, &rockwindpb.QuarantineCommand{Command: report}); err != nil {
		log.WithError(err).Debug("failed to hold a suspected prompt part")
	}
}

// clearingAnswers returns the answers if one of them clears crashes. The others are those to parts of the
// same requests.
func clearingAnswers(view *quarantine.View, answers []*rockwindpb.PartAnswer, now time.Time) []*rockwindpb.PartAnswer {
	if !slices.ContainsFunc(answers, func(answer *rockwindpb.PartAnswer) bool { return view.ClearedBy(answer, now) }) {
		return nil
	}
	return answers
}

// withoutParts returns a report without what coordinators of earlier versions do not apply: all
// replicas of the root group must have the same state.
func withoutParts(report *rockwindpb.ReportQuarantineRequest) *rockwindpb.ReportQuarantineRequest {
	reduced := proto.CloneOf(report)
	reduced.AnsweredParts = nil
	for _, end := range reduced.GetEnds() {
		end.Parts, end.PartAnsweredMsAgo, end.EndedMsAgo = nil, nil, 0
	}
	return reduced
}

// knownContents returns the encoded contents that the quarantine knows.
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

// recordEnd records the end of a server under a content in the decision log.
func recordEnd(view *quarantine.View, end *rockwindpb.ServerEnd) {
	// Without a content, only the parts are suspected.
	content, _ := fingerprint.FromBytes(end.GetContent())
	suspect, _ := view.Suspect(content)
	fields := log.Fields{
		"server": end.GetServer(), "route": end.GetRoute(), "tenant": end.GetTenant(), "item": end.GetItem(),
		"began_ms_ago": end.GetBeganMsAgo(), "ends": len(suspect.GetServers()), "later": suspect.GetLater(),
		"held_ms": view.QuarantinedFor(content, time.Now()).Milliseconds(),
	}
	if len(end.GetParts()) > 0 {
		fields["parts"] = hexStrings(end.GetParts())
		addPartFields(fields, view, end.GetParts())
	}
	decision.Default.Record(decision.ServerEnded, content.String(), fields)
}

// addPartFields adds the crashes of each part, how long it is held and in which company.
func addPartFields(fields log.Fields, view *quarantine.View, parts [][]byte) {
	var crashes []int
	held := make(map[string]string)
	for _, encoded := range parts {
		part, ok := fingerprint.FromBytes(encoded)
		if !ok {
			continue
		}
		record, _ := view.Part(part)
		crashes = append(crashes, len(record.GetCrashes()))
		if left := view.PartHeldFor(part, time.Now()); left > 0 {
			held[part.String()] = left.String()
		}
	}
	fields["part_crashes"] = crashes
	if len(held) > 0 {
		fields["held_parts"] = held
	}
}

// hexStrings returns encoded fingerprints in hexadecimal.
func hexStrings(encoded [][]byte) []string {
	strings := make([]string, 0, len(encoded))
	for _, each := range encoded {
		strings = append(strings, hex.EncodeToString(each))
	}
	return strings
}

// commitQuarantine proposes a quarantine command; this coordinator must be the leader.
func (c *Coordinator) commitQuarantine(ctx context.Context, command *rockwindpb.QuarantineCommand) error {
	command.NowUnixMs = time.Now().UnixMilli()
	return c.propose(ctx, &rockwindpb.RootCommand{Command: &rockwindpb.RootCommand_Quarantine{Quarantine: command}})
}
