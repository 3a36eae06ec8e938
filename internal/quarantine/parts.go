package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// maxSuspectParts bounds the recorded parts of prompts, maxPartCrashes the crashes of each, and
	// maxCompanions the companions of each crash. A typical record takes 300 bytes.
	maxSuspectParts = 512
	maxPartCrashes  = 16
	maxCompanions   = 48
	// recentAnswer is how long before the first crash an answer makes a part one that is asked all
	// the time, whose next answer is worth waiting for.
	recentAnswer = 30 * time.Second
	// minAnswerGrace and maxAnswerGrace bound how long after the first crash the next answer of such
	// a part is waited for.
	minAnswerGrace = 1500 * time.Millisecond
	maxAnswerGrace = 3 * time.Second
	// reportSpread is how long after a crash was known the processes that had requests on the server report it.
	reportSpread = 500 * time.Millisecond
	// answeredTTL is how long a part without crashes is kept after its last answer.
	answeredTTL = time.Minute
)

// trialBackoff is how long after a crash or a trial the next request with a held part may be sent as a
// trial, by the number of trials before. Each trial costs a server if the part is to blame.
var trialBackoff = []time.Duration{3 * time.Second, 20 * time.Second, 2 * time.Minute, HoldDuration}

// recordPartCrashes records the crash of a server for each part of the prompt that it ran.
func (r *Registry) recordPartCrashes(crash *rockwindpb.ServerEnd, now int64) {
	for index, encoded := range crash.GetParts() {
		part, ok := fingerprint.FromBytes(encoded)
		if !ok || index >= fingerprint.MaxParts {
			continue
		}
		known := r.parts[part]
		next := &rockwindpb.SuspectPart{Part: encoded, Route: crash.GetRoute(), Tenant: crash.GetTenant()}
		if known != nil {
			next = proto.CloneOf(known)
		}
		if ages := crash.GetPartAnsweredMsAgo(); index < len(ages) && ages[index] > 0 {
			setAnswered(next, int64(ages[index]), now)
		}
		addPartCrash(next, crash, now)
		clearAnswered(next)
		r.parts[part] = next
	}
}

// addPartCrash adds a crash to the record of a part, or merges it with an earlier report of the same
// crash: several requests with the part may have run on the server.
func addPartCrash(record *rockwindpb.SuspectPart, crash *rockwindpb.ServerEnd, now int64) {
	began := now - int64(crash.GetBeganMsAgo())
	place := slices.IndexFunc(record.Crashes, func(known *rockwindpb.PartCrash) bool { return known.GetServer() == crash.GetServer() })
	if place < 0 {
		record.Crashes = append(record.Crashes, &rockwindpb.PartCrash{Server: crash.GetServer(), BeganUnixMs: began, KnownUnixMs: knownAt(crash, now)})
		if surplus := len(record.Crashes) - maxPartCrashes; surplus > 0 {
			record.Crashes = slices.Delete(record.Crashes, 0, surplus)
		}
		place = len(record.Crashes) - 1
	}
	merged := record.Crashes[place]
	merged.BeganUnixMs = max(merged.GetBeganUnixMs(), began)
	for _, companion := range crash.GetParts() {
		if _, ok := fingerprint.FromBytes(companion); !ok {
			continue
		}
		known := func(other []byte) bool { return slices.Equal(other, companion) }
		switch {
		case known(record.GetPart()) || slices.ContainsFunc(merged.Companions, known):
		case len(merged.Companions) < maxCompanions:
			merged.Companions = append(merged.Companions, companion)
		default:
			merged.CompanionsOmitted = true
		}
	}
}

// recordPartAnswer records that a server answered a request with a suspected part.
func (r *Registry) recordPartAnswer(answer *rockwindpb.PartAnswer, now int64) {
	part, ok := fingerprint.FromBytes(answer.GetPart())
	known := r.parts[part]
	if !ok || known == nil {
		return
	}
	next := proto.CloneOf(known)
	setAnswered(next, int64(answer.GetSentMsAgo()), now)
	clearAnswered(next)
	r.parts[part] = next
}

// setAnswered records that a request that was sent the given time ago was answered.
func setAnswered(record *rockwindpb.SuspectPart, agoMs, now int64) {
	if sent := now - agoMs; sent > record.GetAnsweredUnixMs() {
		record.AnsweredUnixMs, record.AnswerAgeMs = sent, agoMs
	}
}

// clearAnswered deletes the crashes of requests that were sent before an answered one: the part did
// not cause them.
func clearAnswered(record *rockwindpb.SuspectPart) {
	record.Crashes = slices.DeleteFunc(record.Crashes, func(crash *rockwindpb.PartCrash) bool {
		return crash.GetBeganUnixMs() <= record.GetAnsweredUnixMs()
	})
	if len(record.Crashes) == 0 {
		record.Trials, record.TrialUnixMs, record.Claim = 0, 0, ""
	}
}

// grantTrial records that the claim may send one request, if the trials of all its parts are due.
func (r *Registry) grantTrial(request *rockwindpb.ClaimTrialRequest, now int64) {
	if !r.view.TrialDue(request.GetParts(), time.UnixMilli(now)) {
		return
	}
	for _, encoded := range request.GetParts() {
		part := fingerprint.Fingerprint(encoded)
		next := proto.CloneOf(r.parts[part])
		next.Trials++
		next.TrialUnixMs, next.Claim = now, request.GetClaim()
		r.parts[part] = next
	}
}

// dropExpiredParts deletes parts without recent crashes and answers, and those with the fewest crashes
// beyond maxSuspectParts.
func (r *Registry) dropExpiredParts(now int64) {
	maps.DeleteFunc(r.parts, func(_ fingerprint.Fingerprint, record *rockwindpb.SuspectPart) bool {
		switch crashes := len(record.GetCrashes()); {
		case crashes == 0:
			return now-record.GetAnsweredUnixMs() > answeredTTL.Milliseconds()
		case crashes >= crashesToHold:
			return now-lastCrash(record).GetKnownUnixMs() > confirmedTTL.Milliseconds()
		}
		return now-lastCrash(record).GetKnownUnixMs() > suspectTTL.Milliseconds()
	})
	if surplus := len(r.parts) - maxSuspectParts; surplus > 0 {
		for _, record := range sortedParts(r.parts)[:surplus] {
			delete(r.parts, fingerprint.Fingerprint(record.GetPart()))
		}
	}
}

// sortedParts returns the parts in ascending order of crashes and then of their last crash.
func sortedParts(parts map[fingerprint.Fingerprint]*rockwindpb.SuspectPart) []*rockwindpb.SuspectPart {
	return slices.SortedFunc(maps.Values(parts), func(a, b *rockwindpb.SuspectPart) int {
		return cmp.Or(cmp.Compare(len(a.GetCrashes()), len(b.GetCrashes())),
			cmp.Compare(lastCrash(a).GetKnownUnixMs(), lastCrash(b).GetKnownUnixMs()),
			cmp.Compare(a.GetAnsweredUnixMs(), b.GetAnsweredUnixMs()), slices.Compare(a.GetPart(), b.GetPart()))
	})
}

// lastCrash returns the crash of a part that was reported last, nil if there is none.
func lastCrash(record *rockwindpb.SuspectPart) *rockwindpb.PartCrash {
	if len(record.GetCrashes()) == 0 {
		return nil
	}
	return record.GetCrashes()[len(record.GetCrashes())-1]
}
