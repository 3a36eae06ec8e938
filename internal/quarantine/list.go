package quarantine

import (
	"time"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// List is what a router or store knows of the quarantine. It is immutable and may be used by
// any goroutine; a nil list is empty.
type List struct {
	revision uint64
	// held holds until when each suspected content is held, zero for one that is not.
	held map[fingerprint.Fingerprint]time.Time
}

// NewList returns what a coordinator told at the given moment.
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

// Revision is that of the register which the list was taken from.
func (l *List) Revision() uint64 {
	if l == nil {
		return 0
	}
	return l.revision
}

// Empty tells whether no content is suspected: then nobody needs to compute fingerprints.
func (l *List) Empty() bool { return l == nil || len(l.held) == 0 }

// Suspected tells whether several servers ended under a content. An answer to it is to be
// told.
func (l *List) Suspected(content fingerprint.Fingerprint) bool {
	if l == nil {
		return false
	}
	_, suspected := l.held[content]
	return suspected
}

// HeldFor is for how much longer a content is held, zero where it may run.
func (l *List) HeldFor(content fingerprint.Fingerprint, now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	return max(0, l.held[content].Sub(now))
}

// Notices lists what others have to know.
func (l *List) Notices(now time.Time) []*rockwindpb.SuspectNotice {
	if l == nil {
		return nil
	}
	told := make([]*rockwindpb.SuspectNotice, 0, len(l.held))
	for content, until := range l.held {
		left := max(0, until.Sub(now))
		told = append(told, &rockwindpb.SuspectNotice{Content: content.Bytes(), HeldMs: uint64(left.Milliseconds())})
	}
	return told
}

// Held counts the contents that are held.
func (l *List) Held(now time.Time) int {
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
