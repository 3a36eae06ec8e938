package quarantine

import (
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Unreported is what one process saw itself and has not told a coordinator yet. While the root group
// has no leader nobody adds up the ends of servers, and each process judges by the ends that it
// saw, in the same way. Once all is told it knows nothing more: the list of the coordinators
// counts then. It belongs to one goroutine at a time.
type Unreported struct {
	seen    *Registry
	waiting int
}

// NewUnreported returns an Untold that has seen nothing.
func NewUnreported() *Unreported { return &Unreported{seen: New()} }

// RecordCrash notes the end of a server under a request that began so long ago, which is to be told.
func (u *Unreported) RecordCrash(end *rockwindpb.ServerEnd, ago time.Duration, now time.Time) {
	seen := proto.CloneOf(end)
	seen.BeganMsAgo = uint64(max(0, ago.Milliseconds()))
	u.waiting++
	u.apply(&rockwindpb.ReportQuarantineRequest{Ends: []*rockwindpb.ServerEnd{seen}}, now)
}

// RecordAnswer notes that a server answered a content, which is to be told.
func (u *Unreported) RecordAnswer(content fingerprint.Fingerprint, now time.Time) {
	u.waiting++
	u.apply(&rockwindpb.ReportQuarantineRequest{Answered: [][]byte{content.Bytes()}}, now)
}

func (u *Unreported) apply(report *rockwindpb.ReportQuarantineRequest, now time.Time) {
	u.seen.Apply(&rockwindpb.QuarantineCommand{
		NowUnixMs: now.UnixMilli(), Command: &rockwindpb.QuarantineCommand_Report{Report: report},
	})
}

// MarkReported notes that so many observations have been told, or never will be.
func (u *Unreported) MarkReported(count int) {
	u.waiting = max(0, u.waiting-count)
	if u.waiting == 0 {
		u.seen = New()
	}
}

// Empty tells whether no content is suspected: then nobody needs to compute fingerprints.
func (u *Unreported) Empty() bool { return len(u.seen.View().notices) == 0 }

// Suspected tells whether several servers ended under a content.
func (u *Unreported) Suspected(content fingerprint.Fingerprint) bool {
	_, suspected := u.seen.View().notice(content)
	return suspected
}

// HeldFor is for how much longer a content is held, zero where it may run.
func (u *Unreported) HeldFor(content fingerprint.Fingerprint, now time.Time) time.Duration {
	return u.seen.View().HeldFor(content, now)
}
