package quarantine

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// View is the register at one moment. It is immutable and may be used by any goroutine; the
// messages that it returns must not be changed.
type View struct {
	revision uint64
	suspects map[fingerprint.Fingerprint]*rockwindpb.Suspect
	notices  []notice
}

// notice is what routers and stores have to know of a content.
type notice struct {
	content fingerprint.Fingerprint
	// heldUntil is in Unix milliseconds, zero for one that is not held.
	heldUntil int64
}

// Revision counts the changes of what routers and stores have to know.
func (v *View) Revision() uint64 { return v.revision }

// Notices lists what routers and stores have to know.
func (v *View) Notices(now time.Time) []*rockwindpb.SuspectNotice {
	told := make([]*rockwindpb.SuspectNotice, 0, len(v.notices))
	for _, each := range v.notices {
		told = append(told, &rockwindpb.SuspectNotice{Content: each.content.Bytes(), HeldMs: heldMs(each.heldUntil, now)})
	}
	return told
}

// HeldFor is for how much longer a content is held, zero where it may run.
func (v *View) HeldFor(content fingerprint.Fingerprint, now time.Time) time.Duration {
	found, _ := v.notice(content)
	return time.Duration(heldMs(found.heldUntil, now)) * time.Millisecond
}

// notice is that of a content, where there is one.
func (v *View) notice(content fingerprint.Fingerprint) (found notice, known bool) {
	place := slices.IndexFunc(v.notices, func(each notice) bool { return each.content == content })
	if place < 0 {
		return notice{}, false
	}
	return v.notices[place], true
}

// List returns all contents that are remembered, those with the most ends first.
func (v *View) List(now time.Time) []*rockwindpb.Suspect {
	var listed []*rockwindpb.Suspect
	for _, suspect := range slices.Backward(byWeight(v.suspects)) {
		shown := proto.CloneOf(suspect)
		shown.HeldMs = uint64(v.HeldFor(fingerprint.Fingerprint(suspect.GetContent()), now).Milliseconds())
		listed = append(listed, shown)
	}
	return listed
}

// Suspect returns what is known of a content.
func (v *View) Suspect(content fingerprint.Fingerprint) (*rockwindpb.Suspect, bool) {
	suspect, known := v.suspects[content]
	return suspect, known
}

func heldMs(until int64, now time.Time) uint64 { return uint64(max(0, until-now.UnixMilli())) }

// noticesOf lists the contents under which several servers ended, sorted.
func noticesOf(suspects map[fingerprint.Fingerprint]*rockwindpb.Suspect) []notice {
	explained := explainedEnds(suspects)
	var notices []notice
	for _, content := range slices.SortedFunc(maps.Keys(suspects), compareFingerprints) {
		suspect := suspects[content]
		if len(suspect.GetServers()) >= endsToSuspect {
			notices = append(notices, notice{content: content, heldUntil: heldUntil(suspect, explained)})
		}
	}
	return notices
}

func compareFingerprints(a, b fingerprint.Fingerprint) int { return slices.Compare(a[:], b[:]) }

// explainedEnds holds the servers whose ends a request that is held explains.
func explainedEnds(suspects map[fingerprint.Fingerprint]*rockwindpb.Suspect) map[string]bool {
	explained := make(map[string]bool)
	for _, suspect := range suspects {
		if suspect.GetItem() || !convicted(suspect) {
			continue
		}
		for _, server := range suspect.GetServers() {
			explained[server] = true
		}
	}
	return explained
}

// heldUntil is until when a content is held, in Unix milliseconds, zero for one that is not.
func heldUntil(suspect *rockwindpb.Suspect, explained map[string]bool) int64 {
	if !convicted(suspect) {
		return 0
	}
	if !suspect.GetItem() {
		return suspect.GetLastUnixMs() + holdFor.Milliseconds()
	}
	ends := 0
	for _, server := range suspect.GetServers() {
		if !explained[server] {
			ends++
		}
	}
	if ends < endsToHold {
		return 0
	}
	held := holdFor
	if trial := ends - endsToHold; trial < len(itemTrials) {
		held = itemTrials[trial]
	}
	return suspect.GetLastUnixMs() + held.Milliseconds()
}
