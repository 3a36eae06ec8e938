package leaderregion

import "time"

const (
	// maxLag is how long a voter may take to sync an entry and still count as current. It covers a round
	// trip between regions and normal syncs. A leader gives up leadership if its syncs take about as long,
	// so voters with slow disks are no targets while the group writes.
	maxLag = 150 * time.Millisecond
	// The pause after a transfer grows from firstPause to maxPause while transfers fail. One that fails stops
	// the group for an election timeout, 0.3 s in a store.
	firstPause, maxPause = 2 * time.Second, 10 * time.Minute
	// targetMemory is how long the target of the last transfer is avoided if there is another one.
	targetMemory = 2 * maxPause
	// returnTime is how soon after a transfer the new leader has lost leadership for its own fault.
	returnTime = 2 * time.Minute
	// The exclusion of a voter that gave up leadership grows from firstExclusion to maxExclusion. A slow
	// disk shows only under writes.
	firstExclusion, maxExclusion = 5 * time.Minute, time.Hour
)

// Voter is a voter as the leader sees it.
type Voter struct {
	ID uint64
	// Region is empty if it is not known.
	Region string
	// Active reports whether the leader is in contact with the voter.
	Active bool
	// Match is the index of the last entry that the voter is known to have synced.
	Match uint64
	// Leaving reports whether the voter must leave the group.
	Leaving bool
}

// View is what a replica sees of its group at one time.
type View struct {
	Self uint64
	Term uint64
	// Leader is the known leader, or 0. The other fields are only set if it is this replica.
	Leader uint64
	// Last and Commit are the indexes of the last entry of the log and of the last committed one.
	Last, Commit uint64
	// Voters lists all voters in the order of the membership.
	Voters []Voter
	// Transferring reports whether a transfer is in preparation or in progress.
	Transferring bool
	// Stable reports whether the membership is committed and the leader's lease is valid.
	Stable bool
}

func (v View) leading() bool { return v.Leader == v.Self && v.Self != 0 }

// Tracker collects over time what Decide needs about one group. The zero value is ready for use.
type Tracker struct {
	// predecessor is the last known leader other than this replica, or 0.
	predecessor uint64
	// term is that in which this replica leads, or 0, and ledSince when it began.
	term     uint64
	ledSince time.Time
	// yielding is the voter that led before this replica and has not been inactive since, until
	// leadingTime has passed. After half of that time it must have synced the log as it was at the start
	// of this leadership, of which startLast is the last index: a voter that failed may count as active
	// until then, and may have restarted later.
	yielding  uint64
	startLast uint64
	// lengths holds the last index of the log at earlier times.
	lengths []length
	// currentSince holds since when voters have been active and current.
	currentSince map[uint64]time.Time
	// target is that of the last transfer, which began at attempted. pending is set until its outcome is
	// known.
	target    uint64
	attempted time.Time
	pending   bool
	pause     backoff
	// exclusions are those of voters that gave up leadership.
	exclusions map[uint64]backoff
}

// length is the last index of the log at a time.
type length struct {
	at   time.Time
	last uint64
}

// Observe records the state of the group. It is called at short intervals by leaders and followers. It
// returns the target of a transfer that has just turned out to have failed, otherwise 0.
func (t *Tracker) Observe(now time.Time, view View) (failed uint64) {
	if !view.leading() {
		t.observeLeader(view)
		return 0
	}
	if t.pending && !view.Transferring {
		t.pending, failed = false, t.target
	}
	if t.term != view.Term {
		t.beginLeadership(now, view)
	}
	t.observeYielding(now, view)
	t.observeVoters(now, view)
	return failed
}

// observeLeader records the leader of a group that this replica does not lead. A transfer that succeeded
// ends the pauses.
func (t *Tracker) observeLeader(view View) {
	t.term = 0
	if view.Leader == 0 {
		return
	}
	if t.pending && view.Leader == t.target {
		t.pause = backoff{}
	}
	t.predecessor, t.pending = view.Leader, false
}

func (t *Tracker) beginLeadership(now time.Time, view View) {
	t.term, t.ledSince = view.Term, now
	t.yielding, t.predecessor, t.startLast = t.predecessor, 0, view.Last
	t.lengths, t.currentSince = nil, make(map[uint64]time.Time)
}

// observeYielding excludes the predecessor if it gave up leadership without a failure, as a leader with a
// slow disk or before a planned stop does, or if it lost a leadership that it got from this replica a
// short time ago.
func (t *Tracker) observeYielding(now time.Time, view View) {
	if t.yielding == 0 {
		return
	}
	voter, found := view.voter(t.yielding)
	returned := t.yielding == t.target && now.Sub(t.attempted) < returnTime
	led := now.Sub(t.ledSince)
	failed := !voter.Active || led >= leadingTime/2 && led < leadingTime && voter.Match < t.startLast
	if !found || (failed && !returned) {
		t.yielding = 0
		return
	}
	if led < leadingTime {
		return
	}
	if t.exclusions == nil {
		t.exclusions = make(map[uint64]backoff)
	}
	t.exclusions[t.yielding] = t.exclusions[t.yielding].next(now, firstExclusion, maxExclusion)
	t.yielding = 0
}

func (t *Tracker) observeVoters(now time.Time, view View) {
	t.lengths = append(t.lengths, length{now, view.Last})
	for len(t.lengths) > 1 && now.Sub(t.lengths[1].at) >= maxLag {
		t.lengths = t.lengths[1:]
	}
	required := uint64(0)
	if now.Sub(t.lengths[0].at) >= maxLag {
		required = t.lengths[0].last
	}
	for _, voter := range view.Voters {
		if !voter.Active || voter.Match < required {
			delete(t.currentSince, voter.ID)
		} else if _, known := t.currentSince[voter.ID]; !known {
			t.currentSince[voter.ID] = now
		}
	}
	for id, exclusion := range t.exclusions {
		if _, found := view.voter(id); !found || exclusion.forgotten(now, maxExclusion) {
			delete(t.exclusions, id)
		}
	}
}

// Target returns the voter to which the leader transfers leadership now, zero if to none. It follows a
// call of Observe with the same arguments.
func (t *Tracker) Target(now time.Time, view View) uint64 {
	if !mayTransfer(view) {
		return 0
	}
	return Decide(now, t.situation(now, view))
}

// DrainTarget returns the voter to which a draining leader transfers leadership, zero if any voter will do.
// What earlier calls of Observe recorded of the voters must be of this leadership.
func (t *Tracker) DrainTarget(now time.Time, view View) uint64 {
	if !mayTransfer(view) || t.term != view.Term {
		return 0
	}
	return DecideDrain(now, t.situation(now, view))
}

func mayTransfer(view View) bool { return view.leading() && !view.Transferring && view.Stable }

func (t *Tracker) situation(now time.Time, view View) Situation {
	situation := Situation{Self: view.Self, LedSince: t.ledSince, NotBefore: t.pause.until}
	if now.Sub(t.attempted) < targetMemory {
		situation.Avoided = t.target
	}
	for _, voter := range view.Voters {
		situation.Voters = append(situation.Voters, t.candidate(view, voter))
	}
	return situation
}

// Eligible reports whether a voter is still a target of a transfer that is in preparation. It may lack
// entries of the preparation, which it gets before the election.
func (t *Tracker) Eligible(now time.Time, view View, target uint64) bool {
	voter, found := view.voter(target)
	return found && view.leading() && view.Stable && eligible(now, t.candidate(view, voter))
}

func (t *Tracker) candidate(view View, voter Voter) Candidate {
	since, current := t.currentSince[voter.ID]
	return Candidate{
		ID: voter.ID, Region: voter.Region, Current: current && voter.Active, CurrentSince: since,
		Complete: voter.Match >= view.Commit, Leaving: voter.Leaving, ExcludedUntil: t.exclusions[voter.ID].until,
	}
}

// Begin records that a transfer begins. From then on a View must report Transferring until it has ended.
func (t *Tracker) Begin(now time.Time, target uint64) {
	t.target, t.attempted, t.pending = target, now, true
	t.pause = t.pause.next(now, firstPause, maxPause)
}

func (v View) voter(id uint64) (Voter, bool) {
	for _, voter := range v.Voters {
		if voter.ID == id {
			return voter, true
		}
	}
	return Voter{}, false
}

// backoff is a pause that doubles each time. The zero value has none.
type backoff struct {
	pause time.Duration
	until time.Time
}

// next returns the pause that begins now. It starts again with the first one if the last pause ended
// longest or more ago.
func (b backoff) next(now time.Time, first, longest time.Duration) backoff {
	pause := first
	if b.pause != 0 && !b.forgotten(now, longest) {
		pause = min(2*b.pause, longest)
	}
	return backoff{pause: pause, until: now.Add(pause)}
}

// forgotten reports whether the pause ended at least the given time ago.
func (b backoff) forgotten(now time.Time, after time.Duration) bool { return now.Sub(b.until) >= after }
