// Package quarantine is the state machine that remembers the requests under which servers
// ended, by the fingerprint of their content, and decides which of them are held. It is part
// of the root group's state, so that what the routers and stores saw adds up, and outlives
// each of them. The package is pure: time comes in the commands.
//
// A server that ends takes all its requests along, so that each of them is suspected. Three
// things tell the one that ends servers from those that ran beside it:
//   - an answer: a request that a server has answered does not end servers, and what was held
//     against it is forgotten;
//   - order: three ends hold a request only if one of its runs began after an earlier end. A
//     request that many clients send at once is at several servers that fail together; it is
//     answered elsewhere before it is at another one;
//   - another request that is held: it explains the ends of its servers, which do not count
//     against items of jobs any more. These are run again at once, so that they are beside the
//     same request several times.
//
// Invariants:
//   - an end counts once for a content, whoever tells of it and how often;
//   - the memory is bounded, and a content without new ends is forgotten;
//   - the revision rises whenever what routers and stores have to know changes.
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
	// endsToSuspect is how many servers have to end under a content before routers and
	// stores are told of it, and endsToHold how many before it is held.
	endsToSuspect = 2
	endsToHold    = 3
	// holdFor is how long a request is held after the last end. Then one more run is its
	// trial: if the server ends, it is held again.
	holdFor = 10 * time.Minute
	// suspectFor and convictFor are how long after its last end a content is remembered, that
	// of a request which was not held and of one that was.
	suspectFor = 10 * time.Minute
	convictFor = time.Hour
	// maximumSuspects bounds the contents that are remembered: some 200 bytes each.
	maximumSuspects = 1024
	// maximumServers bounds the servers that are remembered for a content.
	maximumServers = 8
)

// itemTrials is for how long an item of a job is held after its third, fourth end and so on; later
// ones hold it for holdFor. Nobody sends an item again but the store, and a job waits for each of
// its items, so that one that ran beside others is tried again soon.
var itemTrials = []time.Duration{5 * time.Second, 15 * time.Second}

// Registry is the replicated state. Its owner goroutine alone may call Apply and Load; the
// View that it hands out is immutable.
type Registry struct {
	revision uint64
	suspects map[fingerprint.Fingerprint]*rockwindpb.Suspect
	view     *View
}

// New returns an empty register.
func New() *Registry {
	r := &Registry{suspects: make(map[fingerprint.Fingerprint]*rockwindpb.Suspect)}
	r.publish(nil)
	return r
}

// View is the register at one moment.
func (r *Registry) View() *View { return r.view }

// Apply executes a committed command. Contents that are no fingerprints are passed over.
func (r *Registry) Apply(command *rockwindpb.QuarantineCommand) {
	now := command.GetNowUnixMs()
	switch content := command.GetCommand().(type) {
	case *rockwindpb.QuarantineCommand_Report:
		for _, end := range content.Report.GetEnds() {
			r.end(end, now)
		}
		for _, answered := range content.Report.GetAnswered() {
			r.forget(answered)
		}
	case *rockwindpb.QuarantineCommand_Release:
		r.forget(content.Release.GetContent())
	}
	r.dropOld(now)
	r.bound()
	r.publish(r.view.notices)
}

// end takes the end of a server under a content.
func (r *Registry) end(end *rockwindpb.ServerEnd, now int64) {
	content, ok := fingerprint.FromBytes(end.GetContent())
	if !ok {
		return
	}
	known := r.suspects[content]
	if slices.Contains(known.GetServers(), end.GetServer()) {
		return
	}
	next := &rockwindpb.Suspect{Content: end.GetContent(), FirstUnixMs: now, Route: end.GetRoute(), Tenant: end.GetTenant(), Item: end.GetItem()}
	if known != nil {
		next = proto.CloneOf(known)
		next.Later = next.GetLater() || now-int64(end.GetBeganMsAgo()) >= next.GetFirstUnixMs()
	}
	next.LastUnixMs = now
	next.Servers = append(next.Servers, end.GetServer())
	if surplus := len(next.Servers) - maximumServers; surplus > 0 {
		next.Servers = slices.Delete(next.Servers, 0, surplus)
	}
	r.suspects[content] = next
}

func (r *Registry) forget(encoded []byte) {
	if content, ok := fingerprint.FromBytes(encoded); ok {
		delete(r.suspects, content)
	}
}

// dropOld forgets contents without ends for long.
func (r *Registry) dropOld(now int64) {
	maps.DeleteFunc(r.suspects, func(_ fingerprint.Fingerprint, suspect *rockwindpb.Suspect) bool {
		kept := suspectFor
		if convicted(suspect) {
			kept = convictFor
		}
		return now-suspect.GetLastUnixMs() > kept.Milliseconds()
	})
}

// bound forgets those with the fewest ends, and of these the oldest, beyond what is remembered.
func (r *Registry) bound() {
	surplus := len(r.suspects) - maximumSuspects
	if surplus <= 0 {
		return
	}
	for _, suspect := range byWeight(r.suspects)[:surplus] {
		r.forget(suspect.GetContent())
	}
}

// byWeight lists suspects, those with the fewest ends and of these the oldest first.
func byWeight(suspects map[fingerprint.Fingerprint]*rockwindpb.Suspect) []*rockwindpb.Suspect {
	return slices.SortedFunc(maps.Values(suspects), func(a, b *rockwindpb.Suspect) int {
		return cmp.Or(cmp.Compare(len(a.GetServers()), len(b.GetServers())), cmp.Compare(a.GetLastUnixMs(), b.GetLastUnixMs()),
			slices.Compare(a.GetContent(), b.GetContent()))
	})
}

// convicted tells whether enough servers have ended under a content, not all of them at once.
func convicted(suspect *rockwindpb.Suspect) bool {
	return len(suspect.GetServers()) >= endsToHold && suspect.GetLater()
}

// publish replaces the view, and raises the revision where routers and stores have to know
// more or less than the given notices told them.
func (r *Registry) publish(told []notice) {
	notices := noticesOf(r.suspects)
	if !slices.Equal(told, notices) {
		r.revision++
	}
	r.view = &View{revision: r.revision, suspects: maps.Clone(r.suspects), notices: notices}
}

// Save returns the whole state, sorted.
func (r *Registry) Save() *rockwindpb.QuarantineSnapshot {
	return &rockwindpb.QuarantineSnapshot{Revision: r.revision, Suspects: byWeight(r.suspects)}
}

// Load replaces the whole state with one that Save returned.
func (r *Registry) Load(snapshot *rockwindpb.QuarantineSnapshot) {
	r.suspects = make(map[fingerprint.Fingerprint]*rockwindpb.Suspect, len(snapshot.GetSuspects()))
	for _, suspect := range snapshot.GetSuspects() {
		if content, ok := fingerprint.FromBytes(suspect.GetContent()); ok {
			r.suspects[content] = suspect
		}
	}
	r.revision = snapshot.GetRevision()
	r.publish(noticesOf(r.suspects))
}
