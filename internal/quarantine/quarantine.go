// Package quarantine implements the state machine that records which requests were
// running when servers crashed, by the fingerprints of their content and of the parts of their
// prompts, and decides which contents and parts are quarantined. It is part of the root group's state, so that it
// combines the reports of all routers and stores and survives their restarts. The
// package is pure: time is part of the commands.
//
// A crashing server takes down all of its requests, so each of them is suspected.
// Three kinds of evidence distinguish the one that causes crashes:
//   - responses: a content that a server has answered does not crash servers, and its
//     record is deleted;
//   - order: three crashes hold a content only if one of its runs started after an
//     earlier crash. A content that many clients send at the same time runs on several
//     servers that fail together, but is answered elsewhere before it is affected again;
//   - other quarantined contents: crashes that one of them explains do not count against
//     items of batch jobs. Such items are rerun immediately, so they may run beside the
//     same crashing request several times.
//
// Parts of prompts follow other rules, which are in blame.go: most requests of a crashed server share
// parts with the one that crashed it.
//
// Invariants:
//   - a crash counts once per content, no matter who reports it and how often;
//   - the number of records is bounded, and a content without new crashes expires;
//   - the revision increases whenever the notices to routers and stores change.
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
	// crashesToSuspect is the number of server crashes after which routers and stores
	// are notified of a content, and crashesToHold the number after which it is held.
	crashesToSuspect = 2
	crashesToHold    = 3
	// HoldDuration is how long a request is quarantined after the last crash. It may then run
	// once more; if the server crashes, the request is quarantined again.
	HoldDuration = 10 * time.Minute
	// suspectTTL and confirmedTTL are how long after its last crash a content is kept,
	// if it is suspected only and if it is confirmed.
	suspectTTL   = 10 * time.Minute
	confirmedTTL = time.Hour
	// noticeDelay is how long after a process has noticed a crash others know of it.
	noticeDelay = 30 * time.Millisecond
	// maximumSuspects bounds the number of contents, which take some 200 bytes each.
	maximumSuspects = 1024
	// maximumServers bounds the crashed servers that are recorded per content.
	maximumServers = 8
)

// itemHolds is how long an item of a batch job is quarantined after its third and fourth
// crash; later crashes hold it for HoldDuration. Only the store reruns an item, and a job
// waits for all of its items, so an item that may only have run alongside the cause is retried
// soon.
var itemHolds = []time.Duration{5 * time.Second, 15 * time.Second}

// Registry is the replicated state. Apply and Load may only be called by the goroutine
// that owns it; the View that it returns is immutable.
type Registry struct {
	revision uint64
	suspects map[fingerprint.Fingerprint]*rockwindpb.Suspect
	parts    map[fingerprint.Fingerprint]*rockwindpb.SuspectPart
	view     *View
	// evaluated is the time of the last command, in Unix milliseconds.
	evaluated int64
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{
		suspects: make(map[fingerprint.Fingerprint]*rockwindpb.Suspect), parts: make(map[fingerprint.Fingerprint]*rockwindpb.SuspectPart),
	}
	r.publish(&View{})
	return r
}

// View returns the current state.
func (r *Registry) View() *View { return r.view }

// Apply executes a committed command. It ignores contents that are not fingerprints.
func (r *Registry) Apply(command *rockwindpb.QuarantineCommand) {
	now := command.GetNowUnixMs()
	switch content := command.GetCommand().(type) {
	case *rockwindpb.QuarantineCommand_Report:
		for _, crash := range content.Report.GetEnds() {
			r.recordCrash(crash, now)
			r.recordPartCrashes(crash, now)
		}
		for _, answered := range content.Report.GetAnswered() {
			r.forget(answered)
		}
		for _, answered := range content.Report.GetAnsweredParts() {
			r.recordPartAnswer(answered, now)
		}
	case *rockwindpb.QuarantineCommand_Release:
		r.release(content.Release.GetContent())
	case *rockwindpb.QuarantineCommand_Trial:
		r.grantTrial(content.Trial, now)
	}
	r.dropExpired(now)
	r.evictSurplus()
	r.dropExpiredParts(now)
	r.evaluated = now
	r.publish(r.view)
}

// recordCrash records the crash of a server that ran a content.
func (r *Registry) recordCrash(crash *rockwindpb.ServerEnd, now int64) {
	content, ok := fingerprint.FromBytes(crash.GetContent())
	if !ok {
		return
	}
	known := r.suspects[content]
	if slices.Contains(known.GetServers(), crash.GetServer()) {
		return
	}
	next := &rockwindpb.Suspect{Content: crash.GetContent(), FirstUnixMs: knownAt(crash, now), Route: crash.GetRoute(), Tenant: crash.GetTenant(), Item: crash.GetItem()}
	if known != nil {
		next = proto.CloneOf(known)
		next.Later = next.GetLater() || now-int64(crash.GetBeganMsAgo()) >= next.GetFirstUnixMs()
	}
	next.LastUnixMs = now
	next.Servers = append(next.Servers, crash.GetServer())
	if surplus := len(next.Servers) - maximumServers; surplus > 0 {
		next.Servers = slices.Delete(next.Servers, 0, surplus)
	}
	r.suspects[content] = next
}

// knownAt returns when a crash was known, in Unix milliseconds. That of a report that waited for a leader was
// known to its reporter, and by the processes' exchange to all, long before.
func knownAt(crash *rockwindpb.ServerEnd, now int64) int64 {
	return min(now, now-int64(crash.GetEndedMsAgo())+noticeDelay.Milliseconds())
}

func (r *Registry) forget(encoded []byte) {
	if content, ok := fingerprint.FromBytes(encoded); ok {
		delete(r.suspects, content)
	}
}

// release forgets what is known of a content or of a part.
func (r *Registry) release(encoded []byte) {
	r.forget(encoded)
	if part, ok := fingerprint.FromBytes(encoded); ok {
		delete(r.parts, part)
	}
}

// dropExpired deletes contents without recent crashes.
func (r *Registry) dropExpired(now int64) {
	maps.DeleteFunc(r.suspects, func(_ fingerprint.Fingerprint, suspect *rockwindpb.Suspect) bool {
		kept := suspectTTL
		if confirmed(suspect) {
			kept = confirmedTTL
		}
		return now-suspect.GetLastUnixMs() > kept.Milliseconds()
	})
}

// evictSurplus deletes contents beyond maximumSuspects, those with the fewest crashes
// first and among these the oldest.
func (r *Registry) evictSurplus() {
	surplus := len(r.suspects) - maximumSuspects
	if surplus <= 0 {
		return
	}
	for _, suspect := range sortedByCrashes(r.suspects)[:surplus] {
		r.forget(suspect.GetContent())
	}
}

// sortedByCrashes returns the suspects in ascending order of crashes and then of their last
// crash.
func sortedByCrashes(suspects map[fingerprint.Fingerprint]*rockwindpb.Suspect) []*rockwindpb.Suspect {
	return slices.SortedFunc(maps.Values(suspects), func(a, b *rockwindpb.Suspect) int {
		return cmp.Or(cmp.Compare(len(a.GetServers()), len(b.GetServers())), cmp.Compare(a.GetLastUnixMs(), b.GetLastUnixMs()),
			slices.Compare(a.GetContent(), b.GetContent()))
	})
}

// confirmed reports whether enough servers crashed while running a content, and not all of
// them at the same time.
func confirmed(suspect *rockwindpb.Suspect) bool {
	return len(suspect.GetServers()) >= crashesToHold && suspect.GetLater()
}

// publish replaces the view. It increases the revision if the notices differ from those of the
// previous one.
func (r *Registry) publish(previous *View) {
	partNotices, nextHold := judgeParts(r.parts, r.evaluated)
	notices := noticesOf(r.suspects, r.attributedToParts(partNotices))
	if !slices.Equal(previous.notices, notices) || !slices.EqualFunc(previous.partNotices, partNotices, partNotice.equal) {
		r.revision++
	}
	r.view = &View{
		revision: r.revision, suspects: maps.Clone(r.suspects), notices: notices, parts: maps.Clone(r.parts), partNotices: partNotices,
		nextHold: nextHold,
	}
}

// attributedToParts returns the servers whose crashes are attributed to a held part.
func (r *Registry) attributedToParts(notices []partNotice) map[string]bool {
	attributed := make(map[string]bool)
	for _, each := range notices {
		if each.heldUntil == 0 {
			continue
		}
		for _, crash := range r.parts[each.part].GetCrashes() {
			attributed[crash.GetServer()] = true
		}
	}
	return attributed
}

// Save returns the whole state in a fixed order.
func (r *Registry) Save() *rockwindpb.QuarantineSnapshot {
	return &rockwindpb.QuarantineSnapshot{Revision: r.revision, Suspects: sortedByCrashes(r.suspects), Parts: sortedParts(r.parts), EvaluatedUnixMs: r.evaluated}
}

// Load replaces the whole state with one returned by Save.
func (r *Registry) Load(snapshot *rockwindpb.QuarantineSnapshot) {
	r.suspects = make(map[fingerprint.Fingerprint]*rockwindpb.Suspect, len(snapshot.GetSuspects()))
	for _, suspect := range snapshot.GetSuspects() {
		if content, ok := fingerprint.FromBytes(suspect.GetContent()); ok {
			r.suspects[content] = suspect
		}
	}
	r.parts = make(map[fingerprint.Fingerprint]*rockwindpb.SuspectPart, len(snapshot.GetParts()))
	for _, record := range snapshot.GetParts() {
		if part, ok := fingerprint.FromBytes(record.GetPart()); ok {
			r.parts[part] = record
		}
	}
	r.evaluated = snapshot.GetEvaluatedUnixMs()
	r.publish(&View{})
	// The same state has the same revision in all replicas.
	r.revision = snapshot.GetRevision()
	r.view.revision = r.revision
}
