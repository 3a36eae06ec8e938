package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// tellAfter is how long the oldest observation has waited for a coordinator before the other
	// processes are told: a root group with a leader takes it in some 20 ms, and then they
	// are told nothing.
	tellAfter = 100 * time.Millisecond
	// heardFor is for how long an observation of another process counts after it was told
	// last: the list of the coordinators takes its place within that time. It is told again
	// each 400 ms, or each two seconds on sites of hundreds of processes where many ended.
	heardFor = 3 * time.Second
	// oldestHeard is the age of an observation that is not taken any more: its process has given up
	// telling it by then.
	oldestHeard = 35 * time.Second
	// knownAfter is how long after an end was noticed by another process it counts as known: as
	// long as it takes to tell a coordinator. Runs that began before began at the same time.
	knownAfter = 20 * time.Millisecond
	// mostTold bounds the observations that others are told of at a time: 40 bytes each. A
	// process sees few ends of servers that it did not bring about itself.
	mostTold = 16
	// mostObserved bounds those that are remembered, some 200 bytes each: as many as wait for a
	// coordinator at most.
	mostObserved = 512
)

// Untold is what processes saw and no coordinator has taken yet: this process itself, and the
// others, which tell it beside their load digests. While the root group has no leader nobody adds up
// the ends of servers, and each process does so itself, by the rules of the Register. Once all
// is told it knows nothing more: the list of the coordinators counts then. It belongs to one
// goroutine at a time.
type Untold struct {
	observed map[observationKey]*observation
	// waiting are the own observations that are to be told to a coordinator, in their order.
	waiting []observationKey
	// seen is what all of them come to.
	seen *Register
}

// observationKey names an observation, whoever made it.
type observationKey struct {
	content fingerprint.Fingerprint
	// server is the short name of the incarnation that ended, zero for an answer.
	server uint64
}

// observation is the end of a server under a content, or an answer to it.
type observation struct {
	noticed time.Time
	// began is when the run began that ended the server.
	began time.Time
	item  bool
	// later tells that the run began after an earlier end under the content was known.
	later bool
	// waiting counts how often this process has still to tell it.
	waiting int
	// heard is when another process told of it last, zero for never or for long ago.
	heard time.Time
}

// NewUntold returns an Untold that has seen nothing.
func NewUntold() *Untold {
	return &Untold{observed: make(map[observationKey]*observation), seen: New()}
}

// Ended notes the end of a server under a request that began so long ago, which is to be told.
func (u *Untold) Ended(end *rockwindpb.ServerEnd, ago time.Duration, now time.Time) {
	content, ok := fingerprint.FromBytes(end.GetContent())
	if !ok {
		return
	}
	key := observationKey{content: content, server: shortName(end.GetServer())}
	u.own(key, observation{noticed: now, began: now.Add(-max(0, ago)), item: end.GetItem()})
}

// Answered notes that a server answered a content, which is to be told.
func (u *Untold) Answered(content fingerprint.Fingerprint, now time.Time) {
	u.own(observationKey{content: content}, observation{noticed: now, began: now})
}

// shortName is the name of an incarnation in digests.
func shortName(server string) uint64 { return max(1, xxhash.Sum64String(server)) }

func (u *Untold) own(key observationKey, seen observation) {
	u.waiting = append(u.waiting, key)
	known := u.observed[key]
	switch {
	case known == nil:
		known = &seen
		u.observed[key] = known
	case key.server == 0:
		known.noticed, known.began = seen.noticed, seen.began
	}
	known.waiting++
	u.judge(key.content)
}

// Done notes that so many of the oldest observations have been told, or never will be.
func (u *Untold) Done(count int) {
	told := min(count, len(u.waiting))
	for _, key := range u.waiting[:told] {
		if known := u.observed[key]; known != nil {
			known.waiting--
		}
	}
	u.waiting = slices.Delete(u.waiting, 0, told)
	u.clear()
}

// clear forgets everything once all is told and no other process tells of anything.
func (u *Untold) clear() {
	if len(u.waiting) > 0 || len(u.observed) == 0 {
		return
	}
	for _, known := range u.observed {
		if !known.heard.IsZero() {
			return
		}
	}
	clear(u.observed)
	u.seen = New()
}

// Hear takes what another process told. What is no observation is passed over.
func (u *Untold) Hear(told []*rockwindpb.UntoldObservation, now time.Time) {
	var changed []fingerprint.Fingerprint
	for _, each := range told {
		content, ok := fingerprint.FromBytes(each.GetContent())
		if ok && u.hear(content, each, now) {
			changed = append(changed, content)
		}
	}
	if len(changed) > 0 {
		u.judge(changed...)
	}
}

// hear takes one observation about a content, and tells whether it says something new.
func (u *Untold) hear(content fingerprint.Fingerprint, told *rockwindpb.UntoldObservation, now time.Time) bool {
	age := time.Duration(told.GetNoticedMsAgo()) * time.Millisecond
	if age > oldestHeard {
		return false
	}
	key := observationKey{content: content, server: told.GetServer()}
	noticed := now.Add(-age)
	began := now.Add(-time.Duration(told.GetBeganMsAgo()) * time.Millisecond)
	known := u.observed[key]
	if known == nil {
		u.observed[key] = &observation{noticed: noticed, began: began, item: told.GetItem(), heard: now}
		return true
	}
	known.heard = now
	if known.waiting > 0 || !better(key, noticed, known) {
		return false
	}
	known.noticed, known.began = noticed, began
	return true
}

// better tells whether an observation is to be dated anew: an end by the message that was
// on its way for the shortest time, an answer by the newest one.
func better(key observationKey, noticed time.Time, known *observation) bool {
	if key.server == 0 {
		return noticed.After(known.noticed)
	}
	return noticed.Before(known.noticed)
}

// judge adds up anew what was observed of some contents.
func (u *Untold) judge(contents ...fingerprint.Fingerprint) {
	for _, content := range append(contents, u.bound()...) {
		u.judgeOne(content)
	}
	u.seen.publish(nil)
}

// judgeOne adds up the observations of a content in the order in which they were noticed.
func (u *Untold) judgeOne(content fingerprint.Fingerprint) {
	delete(u.seen.suspects, content)
	for _, key := range u.inOrder(content) {
		seen := u.observed[key]
		if key.server == 0 {
			delete(u.seen.suspects, content)
			continue
		}
		at := seen.known()
		first, earlier := u.seen.suspects[content]
		seen.later = earlier && seen.began.UnixMilli() >= first.GetFirstUnixMs()
		u.seen.end(&rockwindpb.ServerEnd{
			Content: content.Bytes(), Server: strconv.FormatUint(key.server, 16),
			BeganMsAgo: uint64(max(0, at.UnixMilli()-seen.began.UnixMilli())), Item: seen.item,
		}, at.UnixMilli())
	}
}

// known is from when on an end counts as known.
func (o *observation) known() time.Time {
	if o.waiting > 0 {
		return o.noticed
	}
	return o.noticed.Add(knownAfter)
}

// inOrder lists the observations of a content, the oldest first.
func (u *Untold) inOrder(content fingerprint.Fingerprint) []observationKey {
	var keys []observationKey
	for key := range u.observed {
		if key.content == content {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b observationKey) int {
		return cmp.Or(u.observed[a].noticed.Compare(u.observed[b].noticed), compareKeys(a, b))
	})
	return keys
}

func compareKeys(a, b observationKey) int {
	return cmp.Or(compareFingerprints(a.content, b.content), cmp.Compare(a.server, b.server))
}

// byWeight lists observations, those of the contents with the most of them first, and of these the
// newest.
func (u *Untold) byWeight(keys []observationKey) []observationKey {
	counts := make(map[fingerprint.Fingerprint]int)
	for _, key := range keys {
		counts[key.content]++
	}
	return slices.SortedFunc(slices.Values(keys), func(a, b observationKey) int {
		return cmp.Or(cmp.Compare(counts[b.content], counts[a.content]), u.observed[b].noticed.Compare(u.observed[a].noticed), compareKeys(a, b))
	})
}

// bound forgets what weighs least beyond what is remembered, and returns its contents.
func (u *Untold) bound() []fingerprint.Fingerprint {
	if len(u.observed) <= mostObserved {
		return nil
	}
	var forgotten []fingerprint.Fingerprint
	for _, key := range u.byWeight(slices.Collect(maps.Keys(u.observed)))[mostObserved:] {
		delete(u.observed, key)
		forgotten = append(forgotten, key.content)
	}
	return forgotten
}

// Tell lists for others what this process saw itself. It is empty while coordinators take what they
// are told.
func (u *Untold) Tell(now time.Time) []*rockwindpb.UntoldObservation {
	u.expire(now)
	if !u.spreads(now) {
		return nil
	}
	var keys []observationKey
	for key, seen := range u.observed {
		if seen.waiting > 0 {
			keys = append(keys, key)
		}
	}
	keys = u.byWeight(keys)
	var told []*rockwindpb.UntoldObservation
	for _, key := range keys[:min(mostTold, len(keys))] {
		seen := u.observed[key]
		told = append(told, &rockwindpb.UntoldObservation{
			Content: key.content.Bytes(), Server: key.server, Item: seen.item,
			NoticedMsAgo: milliseconds(now.Sub(seen.noticed)), BeganMsAgo: milliseconds(now.Sub(seen.began)),
		})
	}
	return told
}

func milliseconds(age time.Duration) uint32 { return uint32(max(0, age.Milliseconds())) }

// Later tells whether a run that ended a server began after an earlier end under its content was
// known, which coordinators can't tell that hear of both together: after they took nothing for
// a while.
func (u *Untold) Later(end *rockwindpb.ServerEnd, now time.Time) bool {
	content, _ := fingerprint.FromBytes(end.GetContent())
	seen := u.observed[observationKey{content: content, server: shortName(end.GetServer())}]
	return seen != nil && seen.later && now.Sub(seen.noticed) >= tellAfter
}

// expire notes which observations no other process tells any more.
func (u *Untold) expire(now time.Time) {
	for _, seen := range u.observed {
		if now.Sub(seen.heard) > heardFor {
			seen.heard = time.Time{}
		}
	}
	u.clear()
}

// spreads tells whether coordinators don't take what they are told: here, or at others.
func (u *Untold) spreads(now time.Time) bool {
	for _, seen := range u.observed {
		if !seen.heard.IsZero() || seen.waiting > 0 && now.Sub(seen.noticed) >= tellAfter {
			return true
		}
	}
	return false
}

// Empty tells whether no content is suspected: then nobody needs to compute fingerprints.
func (u *Untold) Empty() bool { return len(u.seen.View().notices) == 0 }

// Suspected tells whether several servers ended under a content.
func (u *Untold) Suspected(content fingerprint.Fingerprint) bool {
	_, suspected := u.seen.View().notice(content)
	return suspected
}

// HeldFor is for how much longer a content is held, zero where it may run.
func (u *Untold) HeldFor(content fingerprint.Fingerprint, now time.Time) time.Duration {
	return u.seen.View().HeldFor(content, now)
}

// HeldBy is for how much longer a content is held that the coordinators suspect: the list tells
// of two ends, and a run that began after the list was taken has ended another server, which
// they don't know yet. It needs no news from them. Items of jobs are left to the coordinators,
// which know what ran beside them.
func (u *Untold) HeldBy(list *List, content fingerprint.Fingerprint, now time.Time) time.Duration {
	if _, ended := u.seen.View().Suspect(content); !ended || !list.Suspected(content) {
		return 0
	}
	held := time.Duration(0)
	for key, seen := range u.observed {
		if key.content != content || key.server == 0 || seen.item || seen.began.Before(list.taken) {
			continue
		}
		held = max(held, holdFor-now.Sub(seen.noticed))
	}
	return held
}

// Held counts the contents that are held by what is not told.
func (u *Untold) Held(now time.Time) int {
	held := 0
	for _, each := range u.seen.View().notices {
		if heldMs(each.heldUntil, now) > 0 {
			held++
		}
	}
	return held
}
