package quarantine

import (
	"time"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// List is the quarantine as known to a router or store. It is immutable and safe for
// concurrent use; a nil list is empty.
type List struct {
	revision uint64
	// held maps each suspected content to the time until which it is quarantined, zero if it is not.
	held map[fingerprint.Fingerprint]time.Time
}

// NewList returns the list that a coordinator sent at the given time.
func NewList(revision uint64, notices []*rockwindpb.SuspectNotice, now time.Time) *List {
	list := &List{revision: revision, held: make(map[fingerprint.Fingerprint]time.Time, len(notices))}
	for _, each := range notices {
		content, ok := fingerprint.FromBytes(each.GetContent())
		if !ok {
			continue
		}
		list.held[content] = time.Time{}
		if each.GetHeldMs() > 0 {
			list.held[content] = now.Add(time.Duration(each.GetHeldMs()) * time.Millisecond)
		}
	}
	return list
}

// Revision returns the revision of the registry that the list was made from.
func (l *List) Revision() uint64 {
	if l == nil {
		return 0
	}
	return l.revision
}

// Empty reports whether no content is suspected, so that fingerprints are not needed.
func (l *List) Empty() bool { return l == nil || len(l.held) == 0 }

// Suspected reports whether a content is suspected. A response to it must be reported.
func (l *List) Suspected(content fingerprint.Fingerprint) bool {
	if l == nil {
		return false
	}
	_, suspected := l.held[content]
	return suspected
}

// QuarantinedFor returns for how much longer a content is quarantined, zero if it may run.
func (l *List) QuarantinedFor(content fingerprint.Fingerprint, now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	return max(0, l.held[content].Sub(now))
}

// Notices returns the list in the form in which it is sent to others.
func (l *List) Notices(now time.Time) []*rockwindpb.SuspectNotice {
	if l == nil {
		return nil
	}
	notices := make([]*rockwindpb.SuspectNotice, 0, len(l.held))
	for content, until := range l.held {
		left := max(0, until.Sub(now))
		notices = append(notices, &rockwindpb.SuspectNotice{Content: content.Bytes(), HeldMs: uint64(left.Milliseconds())})
	}
	return notices
}

// Quarantined returns the number of quarantined contents.
func (l *List) Quarantined(now time.Time) int {
	held := 0
	if l == nil {
		return held
	}
	for _, until := range l.held {
		if until.After(now) {
			held++
		}
	}
	return held
}
