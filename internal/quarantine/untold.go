package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
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
	// knownAfter is how long after an end was noticed it counts as known: the 20 ms that it takes to
	// tell a coordinator, and 30 ms for datagrams that are late, whose ends are dated late. Runs that
	// began before began at the same time.
	knownAfter = 50 * time.Millisecond
	// mostTold bounds the observations that others are told of at a time: 40 bytes each. A
	// process sees few ends of servers that it did not bring about itself.
	mostTold = 16
	// mostObserved bounds those that are remembered, some 200 bytes each: as many as wait for a
	// coordinator at most.
	mostObserved = 512
	// keptObserved is how many of these are kept once there are more: sorting them for each one
	// beyond would take most of the time where hundreds of processes tell of many.
	keptObserved = mostObserved * 7 / 8
)

// Untold is what processes saw and no coordinator has taken yet: this process itself, and the
// others, which tell it beside their load digests. While the root group has no leader nobody adds up
// the ends of servers, and each process does so itself, by the rules of the Register, but takes runs
// for simultaneous that began up to knownAfter after an end. Each observation counts until it is
// told here and no other process has told of it for heardFor: the list of the coordinators counts
// then. It belongs to one goroutine at a time.
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
	// answer tells answers apart, zero for an end: a message that is late is no other answer.
	answer uint64
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
	// own tells that this process saw it, and told when it last told others so.
	own  bool
	told time.Time
	// cleared tells that an answer came after this end.
	cleared bool
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
	u.add(key, observation{noticed: now, began: now.Add(-max(0, ago)), item: end.GetItem()})
}

// Answered notes that a server answered a content, which is to be told.
func (u *Untold) Answered(content fingerprint.Fingerprint, now time.Time) {
	named := binary.BigEndian.AppendUint64(content.Bytes(), uint64(now.UnixNano()))
	u.add(observationKey{content: content, answer: max(1, xxhash.Sum64(named))}, observation{noticed: now, began: now})
}

// Answering tells whether the newest observation of a content that waits is an answer, which
// says all that another one would.
func (u *Untold) Answering(content fingerprint.Fingerprint) bool {
	for _, key := range slices.Backward(u.waiting) {
		if key.content == content {
			return key.server == 0
		}
	}
	return false
}

// shortName is the name of an incarnation in digests.
func shortName(server string) uint64 { return max(1, xxhash.Sum64String(server)) }

func (u *Untold) add(key observationKey, seen observation) {
	u.waiting = append(u.waiting, key)
	known := u.observed[key]
	if known == nil {
		known = &seen
		u.observed[key] = known
	}
	known.own = true
	known.waiting++
	u.judge(key.content)
}

// Done notes that so many of the oldest observations have been told, or never will be.
func (u *Untold) Done(count int, now time.Time) {
	told := min(count, len(u.waiting))
	for _, key := range u.waiting[:told] {
		u.given(key)
	}
	u.waiting = slices.Delete(u.waiting, 0, told)
	u.expire(now)
}

// Drop notes that the newest observation never will be told.
func (u *Untold) Drop(now time.Time) {
	last := len(u.waiting) - 1
	if last < 0 {
		return
	}
	u.given(u.waiting[last])
	u.waiting = u.waiting[:last]
	u.expire(now)
}

// given notes that an observation waits once less.
func (u *Untold) given(key observationKey) {
	if known := u.observed[key]; known != nil {
		known.waiting--
	}
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
	key := observationKey{content: content, server: told.GetServer(), answer: told.GetAnswer()}
	noticed := now.Add(-age)
	began := now.Add(-time.Duration(told.GetBeganMsAgo()) * time.Millisecond)
	known := u.observed[key]
	if known == nil {
		u.observed[key] = &observation{noticed: noticed, began: began, item: told.GetItem(), heard: now}
		return true
	}
	known.heard = now
	// The message that was on its way for the shortest time dates it best.
	if known.own || !noticed.Before(known.noticed) {
		return false
	}
	known.noticed, known.began = noticed, began
	return true
}

// judge adds up anew what was observed of some contents.
func (u *Untold) judge(contents ...fingerprint.Fingerprint) {
	ordered := make(map[fingerprint.Fingerprint][]observationKey)
	for _, content := range append(contents, u.bound()...) {
		ordered[content] = nil
	}
	for key := range u.observed {
		if keys, changed := ordered[key.content]; changed {
			ordered[key.content] = append(keys, key)
		}
	}
	for content, keys := range ordered {
		u.sort(keys)
		u.judgeOne(content, keys)
	}
	u.seen.publish(nil)
}

// judgeOne adds up the observations of a content, in the order in which they were noticed. Ends
// before an answer count no more, also once the answer itself has lapsed.
func (u *Untold) judgeOne(content fingerprint.Fingerprint, keys []observationKey) {
	delete(u.seen.suspects, content)
	u.clearAnswered(keys)
	var first *observation
	for _, key := range keys {
		seen := u.observed[key]
		if key.server == 0 || seen.cleared {
			continue
		}
		if first == nil {
			first = seen
		}
		seen.later = seen != first && !seen.began.Before(first.noticed.Add(knownAfter))
		// The register takes a run for a later one that began no longer ago than the first end.
		at, ago := seen.noticed.UnixMilli(), uint64(math.MaxInt32)
		if seen.later {
			at, ago = max(at, u.seen.suspects[content].GetFirstUnixMs()), 0
		}
		u.seen.end(&rockwindpb.ServerEnd{
			Content: content.Bytes(), Server: strconv.FormatUint(key.server, 16), BeganMsAgo: ago, Item: seen.item,
		}, at)
	}
}

// clearAnswered marks those of some observations in their order that an answer came after.
func (u *Untold) clearAnswered(keys []observationKey) {
	answered := false
	for _, key := range slices.Backward(keys) {
		answered = answered || key.server == 0
		u.observed[key].cleared = u.observed[key].cleared || answered
	}
}

// sort sorts observations, the oldest first.
func (u *Untold) sort(keys []observationKey) {
	slices.SortFunc(keys, func(a, b observationKey) int {
		return cmp.Or(u.observed[a].noticed.Compare(u.observed[b].noticed), compareKeys(a, b))
	})
}

func compareKeys(a, b observationKey) int {
	return cmp.Or(compareFingerprints(a.content, b.content), cmp.Compare(a.server, b.server), cmp.Compare(a.answer, b.answer))
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
	for _, key := range u.byWeight(slices.Collect(maps.Keys(u.observed)))[keptObserved:] {
		delete(u.observed, key)
		forgotten = append(forgotten, key.content)
	}
	return forgotten
}

// Tell lists for others what this process saw itself: what was told the longest ago first, and of
// what was never told the answers first. It is empty while coordinators take what they are told.
// An answer that a coordinator took is told on for heardFor where others are heard: the coordinators
// can't tell them.
func (u *Untold) Tell(now time.Time) []*rockwindpb.UntoldObservation {
	u.expire(now)
	if !u.spreads(now) {
		return nil
	}
	var keys []observationKey
	for key, seen := range u.observed {
		if seen.waiting > 0 || seen.own && key.server == 0 {
			keys = append(keys, key)
		}
	}
	keys = u.byWeight(keys)
	slices.SortStableFunc(keys, func(a, b observationKey) int {
		return cmp.Or(u.observed[a].told.Compare(u.observed[b].told), cmp.Compare(min(1, a.server), min(1, b.server)))
	})
	var told []*rockwindpb.UntoldObservation
	for _, key := range keys[:min(mostTold, len(keys))] {
		seen := u.observed[key]
		seen.told = now
		told = append(told, &rockwindpb.UntoldObservation{
			Content: key.content.Bytes(), Server: key.server, Answer: key.answer, Item: seen.item,
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

// expire forgets what was told here and is told by no other process any more, and judges the
// contents anew.
func (u *Untold) expire(now time.Time) {
	var lapsed []fingerprint.Fingerprint
	for key, seen := range u.observed {
		if now.Sub(seen.heard) > heardFor {
			seen.heard = time.Time{}
		}
		kept := seen.own && key.server == 0 && now.Sub(seen.noticed) <= heardFor
		if seen.waiting > 0 || !seen.heard.IsZero() || kept {
			continue
		}
		delete(u.observed, key)
		lapsed = append(lapsed, key.content)
	}
	if len(lapsed) > 0 {
		u.judge(lapsed...)
	}
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

// HeldFor is for how much longer a content is held, zero where it may run. It is heardFor at
// most: nobody knows for how long there is no leader, and then it decides.
func (u *Untold) HeldFor(content fingerprint.Fingerprint, now time.Time) time.Duration {
	return min(heardFor, u.seen.View().HeldFor(content, now))
}

// HeldBy is for how much longer a content is held that the coordinators suspect: the list tells
// of two ends, and a run that began after the list was taken has ended another server, which
// they don't know yet. It needs no news from them, and lasts for heardFor after that end; a list
// that is older than that at the end holds nothing. Items of jobs are left to the coordinators,
// which know what ran beside them.
func (u *Untold) HeldBy(list *List, content fingerprint.Fingerprint, now time.Time) time.Duration {
	if _, ended := u.seen.View().Suspect(content); !ended || !list.Suspected(content) {
		return 0
	}
	held := time.Duration(0)
	for key, seen := range u.observed {
		if key.content != content || key.server == 0 || seen.cleared || seen.item || seen.began.Before(list.taken) || seen.noticed.Sub(list.taken) > heardFor {
			continue
		}
		held = max(held, heardFor-now.Sub(seen.noticed))
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
