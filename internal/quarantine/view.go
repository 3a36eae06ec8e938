package quarantine

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// View is the registry at one moment. It is immutable and safe for concurrent use; the
// messages that it returns must not be modified.
type View struct {
	revision uint64
	suspects map[fingerprint.Fingerprint]*rockwindpb.Suspect
	notices  []notice
	// parts and partNotices are those of parts of prompts, the notices sorted by part.
	parts       map[fingerprint.Fingerprint]*rockwindpb.SuspectPart
	partNotices []partNotice
	// nextHold is when the next part has to be held if it is not answered by then, in Unix
	// milliseconds; zero if there is none.
	nextHold int64
}

// notice is what routers and stores need to know of a content.
type notice struct {
	content fingerprint.Fingerprint
	// heldUntil is in Unix milliseconds, zero if the content is not held.
	heldUntil int64
}

// Revision counts the changes of the notices.
func (v *View) Revision() uint64 { return v.revision }

// Notices returns what routers and stores need to know.
func (v *View) Notices(now time.Time) []*rockwindpb.SuspectNotice {
	notices := make([]*rockwindpb.SuspectNotice, 0, len(v.notices)+len(v.partNotices))
	for _, each := range v.notices {
		notices = append(notices, &rockwindpb.SuspectNotice{Content: each.content.Bytes(), HeldMs: heldMs(each.heldUntil, now)})
	}
	for _, each := range v.partNotices {
		notices = append(notices, &rockwindpb.SuspectNotice{
			Content: each.part.Bytes(), Part: true, HeldMs: heldMs(each.heldUntil, now),
			With: fingerprint.BytesOf(each.with), SinceMsAgo: uint64(max(0, now.UnixMilli()-each.since)), TrialInMs: heldMs(each.trialAt, now),
		})
	}
	return notices
}

// partNotice returns the notice of a part, if there is one.
func (v *View) partNotice(part fingerprint.Fingerprint) (found partNotice, known bool) {
	place, known := slices.BinarySearchFunc(v.partNotices, part, func(each partNotice, wanted fingerprint.Fingerprint) int {
		return compareFingerprints(each.part, wanted)
	})
	if !known {
		return partNotice{}, false
	}
	return v.partNotices[place], true
}

// PartHeldFor returns for how much longer a part is held, zero if it is not.
func (v *View) PartHeldFor(part fingerprint.Fingerprint, now time.Time) time.Duration {
	found, _ := v.partNotice(part)
	return time.Duration(heldMs(found.heldUntil, now)) * time.Millisecond
}

// HoldDue reports whether a command is due, since a part has to be held that was not answered in time.
func (v *View) HoldDue(now time.Time) bool { return v.nextHold > 0 && now.UnixMilli() >= v.nextHold }

// TrialDue reports whether a request with the given held parts, which are all of its held parts, may
// be sent as a trial.
func (v *View) TrialDue(parts [][]byte, now time.Time) bool {
	for _, encoded := range parts {
		part, ok := fingerprint.FromBytes(encoded)
		found, known := v.partNotice(part)
		if !ok || !known || found.trialAt == 0 || found.trialAt > now.UnixMilli() {
			return false
		}
	}
	return len(parts) > 0
}

// Claimed reports whether the last trial of each of the parts was granted to a claim.
func (v *View) Claimed(parts [][]byte, claim string) bool {
	for _, encoded := range parts {
		part, ok := fingerprint.FromBytes(encoded)
		if !ok || v.parts[part].GetClaim() != claim {
			return false
		}
	}
	return len(parts) > 0
}

// ClearedBy reports whether an answer to a request that was sent the given time ago clears crashes of
// a part.
func (v *View) ClearedBy(answer *rockwindpb.PartAnswer, now time.Time) bool {
	part, ok := fingerprint.FromBytes(answer.GetPart())
	record := v.parts[part]
	if !ok || len(record.GetCrashes()) == 0 {
		return false
	}
	sent := now.UnixMilli() - int64(answer.GetSentMsAgo())
	return slices.ContainsFunc(record.GetCrashes(), func(crash *rockwindpb.PartCrash) bool { return crash.GetBeganUnixMs() <= sent })
}

// QuarantinedFor returns for how much longer a content is quarantined, zero if it may run.
func (v *View) QuarantinedFor(content fingerprint.Fingerprint, now time.Time) time.Duration {
	found, _ := v.notice(content)
	return time.Duration(heldMs(found.heldUntil, now)) * time.Millisecond
}

// notice returns the notice of a content, if there is one.
func (v *View) notice(content fingerprint.Fingerprint) (found notice, known bool) {
	place := slices.IndexFunc(v.notices, func(each notice) bool { return each.content == content })
	if place < 0 {
		return notice{}, false
	}
	return v.notices[place], true
}

// List returns all suspects, those with the most crashes first and parts before contents.
func (v *View) List(now time.Time) []*rockwindpb.Suspect {
	listed := v.listParts(now)
	for _, suspect := range slices.Backward(sortedByCrashes(v.suspects)) {
		shown := proto.CloneOf(suspect)
		shown.HeldMs = uint64(v.QuarantinedFor(fingerprint.Fingerprint(suspect.GetContent()), now).Milliseconds())
		listed = append(listed, shown)
	}
	return listed
}

// listParts returns all parts with crashes, those with the most crashes first.
func (v *View) listParts(now time.Time) []*rockwindpb.Suspect {
	var listed []*rockwindpb.Suspect
	for _, record := range slices.Backward(sortedParts(v.parts)) {
		if len(record.GetCrashes()) == 0 {
			continue
		}
		part := fingerprint.Fingerprint(record.GetPart())
		found, _ := v.partNotice(part)
		shown := &rockwindpb.Suspect{
			Content: record.GetPart(), Part: true, Route: record.GetRoute(), Tenant: record.GetTenant(), Later: isCandidate(record),
			FirstUnixMs: record.GetCrashes()[0].GetKnownUnixMs(), LastUnixMs: lastCrash(record).GetKnownUnixMs(),
			HeldMs: uint64(v.PartHeldFor(part, now).Milliseconds()), With: fingerprint.BytesOf(found.with),
		}
		for _, crash := range record.GetCrashes() {
			shown.Servers = append(shown.Servers, crash.GetServer())
		}
		listed = append(listed, shown)
	}
	return listed
}

// Part returns the record of a part.
func (v *View) Part(part fingerprint.Fingerprint) (*rockwindpb.SuspectPart, bool) {
	record, known := v.parts[part]
	return record, known
}

// Suspect returns the record of a content.
func (v *View) Suspect(content fingerprint.Fingerprint) (*rockwindpb.Suspect, bool) {
	suspect, known := v.suspects[content]
	return suspect, known
}

func heldMs(until int64, now time.Time) uint64 { return uint64(max(0, until-now.UnixMilli())) }

// noticesOf returns the notices of all suspected contents, sorted by content. Crashes that are
// attributed to a part or to an online request do not count against items.
func noticesOf(suspects map[fingerprint.Fingerprint]*rockwindpb.Suspect, attributedToParts map[string]bool) []notice {
	attributed := attributedCrashes(suspects)
	maps.Copy(attributed, attributedToParts)
	var notices []notice
	for _, content := range slices.SortedFunc(maps.Keys(suspects), compareFingerprints) {
		suspect := suspects[content]
		if len(suspect.GetServers()) >= crashesToSuspect {
			notices = append(notices, notice{content: content, heldUntil: heldUntil(suspect, attributed)})
		}
	}
	return notices
}

func compareFingerprints(a, b fingerprint.Fingerprint) int { return slices.Compare(a[:], b[:]) }

// attributedCrashes returns the servers whose crashes are attributed to a quarantined request.
func attributedCrashes(suspects map[fingerprint.Fingerprint]*rockwindpb.Suspect) map[string]bool {
	attributed := make(map[string]bool)
	for _, suspect := range suspects {
		if suspect.GetItem() || !confirmed(suspect) {
			continue
		}
		for _, server := range suspect.GetServers() {
			attributed[server] = true
		}
	}
	return attributed
}

// heldUntil returns until when a content is quarantined, in Unix milliseconds, zero if it is not.
func heldUntil(suspect *rockwindpb.Suspect, attributed map[string]bool) int64 {
	if !confirmed(suspect) {
		return 0
	}
	if !suspect.GetItem() {
		return suspect.GetLastUnixMs() + HoldDuration.Milliseconds()
	}
	crashes := 0
	for _, server := range suspect.GetServers() {
		if !attributed[server] {
			crashes++
		}
	}
	if crashes < crashesToHold {
		return 0
	}
	held := HoldDuration
	if trial := crashes - crashesToHold; trial < len(itemHolds) {
		held = itemHolds[trial]
	}
	return suspect.GetLastUnixMs() + held.Milliseconds()
}
