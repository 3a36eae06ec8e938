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
	notices := make([]*rockwindpb.SuspectNotice, 0, len(v.notices))
	for _, each := range v.notices {
		notices = append(notices, &rockwindpb.SuspectNotice{Content: each.content.Bytes(), HeldMs: heldMs(each.heldUntil, now)})
	}
	return notices
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

// List returns all suspects, those with the most crashes first.
func (v *View) List(now time.Time) []*rockwindpb.Suspect {
	var listed []*rockwindpb.Suspect
	for _, suspect := range slices.Backward(sortedByCrashes(v.suspects)) {
		shown := proto.CloneOf(suspect)
		shown.HeldMs = uint64(v.QuarantinedFor(fingerprint.Fingerprint(suspect.GetContent()), now).Milliseconds())
		listed = append(listed, shown)
	}
	return listed
}

// Suspect returns the record of a content.
func (v *View) Suspect(content fingerprint.Fingerprint) (*rockwindpb.Suspect, bool) {
	suspect, known := v.suspects[content]
	return suspect, known
}

func heldMs(until int64, now time.Time) uint64 { return uint64(max(0, until-now.UnixMilli())) }

// noticesOf returns the notices of all suspected contents, sorted by content.
func noticesOf(suspects map[fingerprint.Fingerprint]*rockwindpb.Suspect) []notice {
	attributed := attributedCrashes(suspects)
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
