package quarantine

import (
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Unreported holds the observations that one process has not yet reported to a
// coordinator. While the root group has no leader, each process decides by its own
// observations under the same rules. Once all are reported, it is empty and the list of
// the coordinators applies. It is not safe for concurrent use.
type Unreported struct {
	registry *Registry
	pending  int
	// list is made from the registry.
	list *List
}

// NewUnreported returns an empty Unreported.
func NewUnreported() *Unreported { return &Unreported{registry: New(), list: &List{}} }

// RecordCrash records the crash of a server while it ran a request that started the given
// time ago.
func (u *Unreported) RecordCrash(crash *rockwindpb.ServerEnd, ago time.Duration, now time.Time) {
	observed := proto.CloneOf(crash)
	observed.BeganMsAgo = uint64(max(0, ago.Milliseconds()))
	u.pending++
	u.apply(&rockwindpb.ReportQuarantineRequest{Ends: []*rockwindpb.ServerEnd{observed}}, now)
}

// RecordAnswer records that a server answered a request with the given content.
func (u *Unreported) RecordAnswer(content fingerprint.Fingerprint, now time.Time) {
	u.pending++
	u.apply(&rockwindpb.ReportQuarantineRequest{Answered: [][]byte{content.Bytes()}}, now)
}

// RecordPartAnswers records that servers answered requests with the given parts.
func (u *Unreported) RecordPartAnswers(answers []*rockwindpb.PartAnswer, now time.Time) {
	u.pending++
	u.apply(&rockwindpb.ReportQuarantineRequest{AnsweredParts: answers}, now)
}

// List returns what the observations hold. The list is immutable.
func (u *Unreported) List(now time.Time) *List {
	if u.registry.View().HoldDue(now) {
		u.apply(&rockwindpb.ReportQuarantineRequest{}, now)
	}
	return u.list
}

func (u *Unreported) apply(report *rockwindpb.ReportQuarantineRequest, now time.Time) {
	u.registry.Apply(&rockwindpb.QuarantineCommand{
		NowUnixMs: now.UnixMilli(), Command: &rockwindpb.QuarantineCommand_Report{Report: report},
	})
	view := u.registry.View()
	u.list = NewList(view.Revision(), view.Notices(now), now)
}

// MarkReported records that the given number of observations were reported or dropped.
func (u *Unreported) MarkReported(count int) {
	u.pending = max(0, u.pending-count)
	if u.pending == 0 {
		u.registry, u.list = New(), &List{}
	}
}

// Empty reports whether no content is suspected, so that fingerprints are not needed.
func (u *Unreported) Empty() bool { return len(u.registry.View().notices) == 0 }

// Suspected reports whether a content is suspected.
func (u *Unreported) Suspected(content fingerprint.Fingerprint) bool {
	_, suspected := u.registry.View().notice(content)
	return suspected
}

// QuarantinedFor returns for how much longer a content is quarantined, zero if it may run.
func (u *Unreported) QuarantinedFor(content fingerprint.Fingerprint, now time.Time) time.Duration {
	return u.registry.View().QuarantinedFor(content, now)
}
