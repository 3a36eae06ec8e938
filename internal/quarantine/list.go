package quarantine

import (
	"maps"
	"slices"
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
	// parts holds the suspected parts of prompts.
	parts map[fingerprint.Fingerprint]suspectedPart
}

// suspectedPart is what is known of a part of prompts.
type suspectedPart struct {
	// heldUntil is zero if it is not held.
	heldUntil time.Time
	// since is when the request was sent that an answered one must be later than to clear the part.
	since time.Time
	// trialAt is when one request may be sent as a trial.
	trialAt time.Time
	// with holds the parts that a prompt must have as well to be held.
	with []fingerprint.Fingerprint
}

// NewList returns the list that a coordinator sent at the given time.
func NewList(revision uint64, notices []*rockwindpb.SuspectNotice, now time.Time) *List {
	list := &List{
		revision: revision, held: make(map[fingerprint.Fingerprint]time.Time, len(notices)),
		parts: make(map[fingerprint.Fingerprint]suspectedPart),
	}
	for _, each := range notices {
		content, ok := fingerprint.FromBytes(each.GetContent())
		if !ok {
			continue
		}
		if each.GetPart() {
			list.parts[content] = newSuspectedPart(each, now)
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

// Empty reports whether no content is suspected, so that fingerprints of contents are not needed.
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

func newSuspectedPart(notice *rockwindpb.SuspectNotice, now time.Time) suspectedPart {
	after := func(ms uint64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	part := suspectedPart{since: now.Add(-time.Duration(notice.GetSinceMsAgo()) * time.Millisecond)}
	if notice.GetHeldMs() == 0 {
		return part
	}
	part.heldUntil, part.trialAt = after(notice.GetHeldMs()), after(notice.GetTrialInMs())
	for _, encoded := range notice.GetWith() {
		if company, ok := fingerprint.FromBytes(encoded); ok {
			part.with = append(part.with, company)
		}
	}
	return part
}

// HeldParts is why a prompt is held.
type HeldParts struct {
	// For is how much longer the prompt is held, zero if it may run.
	For time.Duration
	// Parts are its held parts.
	Parts []fingerprint.Fingerprint
	// TrialIn is after which time it may be sent as a trial, and TrialDue is set if it may be now.
	TrialIn  time.Duration
	TrialDue bool
}

// HeldParts returns why a prompt with the given parts is held. answeredSince reports whether this
// process knows an answer to a request with a part that was sent later than the given time; such a
// part is not held. It may be nil.
func (l *List) HeldParts(parts []fingerprint.Fingerprint, answeredSince func(part fingerprint.Fingerprint, since time.Time) bool, now time.Time) HeldParts {
	var held HeldParts
	if l == nil || len(l.parts) == 0 {
		return HeldParts{}
	}
	for _, part := range parts {
		known := l.parts[part]
		if !known.holds(parts, now) || (answeredSince != nil && answeredSince(part, known.since)) {
			continue
		}
		held.For = max(held.For, known.heldUntil.Sub(now))
		held.Parts = append(held.Parts, part)
		held.TrialIn = max(held.TrialIn, known.trialAt.Sub(now))
	}
	if len(held.Parts) == 0 {
		return HeldParts{}
	}
	held.TrialDue = held.TrialIn == 0
	return held
}

// holds reports whether a prompt with the given parts is held for this one.
func (p suspectedPart) holds(parts []fingerprint.Fingerprint, now time.Time) bool {
	if !now.Before(p.heldUntil) {
		return false
	}
	for _, company := range p.with {
		if !slices.Contains(parts, company) {
			return false
		}
	}
	return true
}

// SuspectsParts reports whether any part is suspected.
func (l *List) SuspectsParts() bool { return l != nil && len(l.parts) > 0 }

// SuspectedPart returns when the request was sent that an answered one must be later than to clear a
// part, and false if the part is not suspected.
func (l *List) SuspectedPart(part fingerprint.Fingerprint) (since time.Time, suspected bool) {
	if l == nil {
		return time.Time{}, false
	}
	known, suspected := l.parts[part]
	return known.since, suspected
}

// SuspectedParts returns the suspected parts in no particular order.
func (l *List) SuspectedParts() []fingerprint.Fingerprint {
	if l == nil {
		return nil
	}
	return slices.Collect(maps.Keys(l.parts))
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
	for part, known := range l.parts {
		notices = append(notices, &rockwindpb.SuspectNotice{
			Content: part.Bytes(), Part: true, HeldMs: msUntil(known.heldUntil, now),
			With: fingerprint.BytesOf(known.with), SinceMsAgo: uint64(max(0, now.Sub(known.since).Milliseconds())), TrialInMs: msUntil(known.trialAt, now),
		})
	}
	return notices
}

func msUntil(at, now time.Time) uint64 { return uint64(max(0, at.Sub(now).Milliseconds())) }

// Quarantined returns the number of quarantined contents and parts.
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
	for _, part := range l.parts {
		if now.Before(part.heldUntil) {
			held++
		}
	}
	return held
}
