package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// partNotice is what routers and stores need to know of a part. Times are in Unix milliseconds.
type partNotice struct {
	part fingerprint.Fingerprint
	// heldUntil is zero if the part is not held.
	heldUntil int64
	// since is when the request was sent that an answered one must be later than to clear the part.
	since int64
	// trialAt is when one request may be sent as a trial; zero if the part is not held.
	trialAt int64
	// with holds the parts that a prompt must have as well to be held, sorted.
	with []fingerprint.Fingerprint
}

func (n partNotice) equal(other partNotice) bool {
	return n.part == other.part && n.heldUntil == other.heldUntil && n.since == other.since &&
		n.trialAt == other.trialAt && slices.Equal(n.with, other.with)
}

// blame finds the parts that explain the crashes.
//
// All parts of all requests of a crashed server are suspected, and a part that most requests share
// has more crashes than the one to blame. What tells them apart:
//   - answers: the crashes of requests that were sent before an answered one are cleared (see
//     clearAnswered). A part that is answered all the time has time until its next answer, unless
//     another part of the same requests has been answered since the first crash: then this one should
//     have been, too;
//   - other parts: crashes that a held part explains do not count against parts with fewer crashes;
//   - reports: the processes that had requests on a server report its crash one after the other. A part whose company
//     of the earlier crashes is missing at the one that would hold it is not held before all of them may have reported;
//   - company: a prompt is held for a part only if it has all other parts that stood beside this part
//     at each crash and have not been answered since. While nothing tells these parts apart, requests
//     with only some of them run, and clear or convict them.
type blame struct {
	parts map[fingerprint.Fingerprint]*rockwindpb.SuspectPart
	// explained maps each server to whether a part that was never answered explains its crash; servers
	// whose crash nothing explains are missing.
	explained map[string]bool
	// now is the time of the last command, in Unix milliseconds.
	now int64
}

// judgeParts returns the notices of all parts with crashesToSuspect crashes, sorted by part, and when
// the next part will have to be held if it is not answered by then, zero if there is none.
func judgeParts(parts map[fingerprint.Fingerprint]*rockwindpb.SuspectPart, now int64) (notices []partNotice, nextHold int64) {
	b := &blame{parts: parts, explained: make(map[string]bool), now: now}
	var candidates []*rockwindpb.SuspectPart
	held := make(map[fingerprint.Fingerprint]bool)
	for _, record := range parts {
		if isCandidate(record) {
			candidates = append(candidates, record)
		}
	}
	slices.SortFunc(candidates, b.compare)
	for _, record := range candidates {
		if b.unexplained(record) < crashesToHold {
			continue
		}
		if end := b.holdAt(record); end > 0 {
			if nextHold == 0 || end < nextHold {
				nextHold = end
			}
			continue
		}
		held[fingerprint.Fingerprint(record.GetPart())] = true
		b.explain(record)
	}
	for _, part := range slices.SortedFunc(maps.Keys(parts), compareFingerprints) {
		record := parts[part]
		if len(record.GetCrashes()) < crashesToSuspect {
			continue
		}
		notices = append(notices, b.notice(part, record, held[part]))
	}
	return notices, nextHold
}

func (b *blame) notice(part fingerprint.Fingerprint, record *rockwindpb.SuspectPart, isHeld bool) partNotice {
	crashes := record.GetCrashes()
	created := partNotice{part: part, since: crashes[max(0, len(crashes)-crashesToHold)].GetBeganUnixMs()}
	if !isHeld {
		return created
	}
	last := lastCrash(record).GetKnownUnixMs()
	backoff := trialBackoff[min(int(record.GetTrials()), len(trialBackoff)-1)]
	created.heldUntil = last + HoldDuration.Milliseconds()
	created.trialAt = max(last, record.GetTrialUnixMs()) + backoff.Milliseconds()
	created.with = b.company(record)
	return created
}

// isCandidate reports whether enough servers crashed under a part, and not all of them at the same time.
func isCandidate(record *rockwindpb.SuspectPart) bool {
	crashes := record.GetCrashes()
	return len(crashes) >= crashesToHold && slices.ContainsFunc(crashes[1:], func(crash *rockwindpb.PartCrash) bool {
		return crash.GetBeganUnixMs() >= crashes[0].GetKnownUnixMs()
	})
}

// compare orders candidates that are ready before the others, then by descending crashes, then those
// that were never answered first, then by their last answer.
func (b *blame) compare(one, other *rockwindpb.SuspectPart) int {
	ready := func(record *rockwindpb.SuspectPart) int {
		if b.isReady(record) {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(ready(one), ready(other)), cmp.Compare(len(other.GetCrashes()), len(one.GetCrashes())),
		cmp.Compare(one.GetAnsweredUnixMs(), other.GetAnsweredUnixMs()), slices.Compare(one.GetPart(), other.GetPart()))
}

// holdAt returns until when a candidate is not held yet, since its next answer or further reports of its last crash are
// waited for, and zero if it is held now.
func (b *blame) holdAt(record *rockwindpb.SuspectPart) int64 {
	if !b.isReady(record) {
		return graceEnd(record)
	}
	if reported := lastCrash(record).GetKnownUnixMs() + reportSpread.Milliseconds(); b.now < reported && b.lacksCompany(record) {
		return reported
	}
	return 0
}

// lacksCompany reports whether the crash that makes a part a candidate lacks a part that stood beside it at all earlier
// ones and has not been answered since the first.
func (b *blame) lacksCompany(record *rockwindpb.SuspectPart) bool {
	crashes := record.GetCrashes()
	if len(crashes) > crashesToHold {
		return false
	}
	last := crashes[len(crashes)-1]
	return slices.ContainsFunc(b.companyAt(record, crashes[:len(crashes)-1]), func(part fingerprint.Fingerprint) bool {
		return !isBeside(last, part.Bytes())
	})
}

// isReady reports whether a candidate is held without waiting longer for its next answer.
func (b *blame) isReady(record *rockwindpb.SuspectPart) bool {
	if !answeredRecently(record) || b.now >= graceEnd(record) {
		return true
	}
	for _, crash := range record.GetCrashes() {
		for _, companion := range crash.GetCompanions() {
			if b.answeredSince(companion, record) {
				return true
			}
		}
	}
	return false
}

// answeredRecently reports whether a part was answered shortly before its first crash.
func answeredRecently(record *rockwindpb.SuspectPart) bool {
	answered := record.GetAnsweredUnixMs()
	return answered > 0 && answered >= record.GetCrashes()[0].GetBeganUnixMs()-recentAnswer.Milliseconds()
}

// answeredSince reports whether a companion was answered since the first crash of a part.
func (b *blame) answeredSince(companion []byte, record *rockwindpb.SuspectPart) bool {
	known := b.parts[fingerprint.Fingerprint(companion)]
	return known.GetAnsweredUnixMs() >= record.GetCrashes()[0].GetBeganUnixMs()
}

// graceEnd returns until when the next answer of a part is waited for: twice as long as the newest known
// answer took.
func graceEnd(record *rockwindpb.SuspectPart) int64 {
	grace := min(maxAnswerGrace.Milliseconds(), max(minAnswerGrace.Milliseconds(), 2*record.GetAnswerAgeMs()))
	return record.GetCrashes()[0].GetKnownUnixMs() + grace
}

// unexplained counts the crashes of a part that no held part explains. A part that was answered does
// not explain the crashes of one that never was.
func (b *blame) unexplained(record *rockwindpb.SuspectPart) int {
	count := 0
	for _, crash := range record.GetCrashes() {
		byNeverAnswered, explained := b.explained[crash.GetServer()]
		if !explained || (!byNeverAnswered && record.GetAnsweredUnixMs() == 0) {
			count++
		}
	}
	return count
}

// explain records that a held part explains its crashes.
func (b *blame) explain(record *rockwindpb.SuspectPart) {
	for _, crash := range record.GetCrashes() {
		b.explained[crash.GetServer()] = b.explained[crash.GetServer()] || record.GetAnsweredUnixMs() == 0
	}
}

// company returns the parts that stood beside a part at each of its crashes and have not been answered
// since the first one.
func (b *blame) company(record *rockwindpb.SuspectPart) []fingerprint.Fingerprint {
	return b.companyAt(record, record.GetCrashes())
}

// companyAt is company for some of the crashes. Crashes whose companions are not all known are passed over.
func (b *blame) companyAt(record *rockwindpb.SuspectPart, crashes []*rockwindpb.PartCrash) []fingerprint.Fingerprint {
	known := slices.DeleteFunc(slices.Clone(crashes), (*rockwindpb.PartCrash).GetCompanionsOmitted)
	if len(known) == 0 {
		return nil
	}
	var company []fingerprint.Fingerprint
	for _, companion := range known[0].GetCompanions() {
		isAbsent := func(crash *rockwindpb.PartCrash) bool { return !isBeside(crash, companion) }
		if !slices.ContainsFunc(known, isAbsent) && !b.answeredSince(companion, record) {
			company = append(company, fingerprint.Fingerprint(companion))
		}
	}
	slices.SortFunc(company, compareFingerprints)
	return company[:min(len(company), fingerprint.MaxParts)]
}

// isBeside reports whether a part is a companion of a crash.
func isBeside(crash *rockwindpb.PartCrash, part []byte) bool {
	return slices.ContainsFunc(crash.GetCompanions(), func(other []byte) bool { return slices.Equal(other, part) })
}
