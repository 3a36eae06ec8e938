// Package jobadmission decides whether a further job can be done by its due time, from the open items
// that run or wait before it, the slots that they can use and the expected run times. It is pure: times
// are arguments.
//
// The decision errs towards accepting. Work that is unknown to the caller, or that may run elsewhere or
// later, is left out, so the time at which an item starts is never overestimated for that reason.
package jobadmission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Item is an item that waits, or one of a further job.
type Item struct {
	due time.Time
	// runTime is the expected run time, and required the time before the due time at which the item has
	// to start to be treated as one that can be on time. Package backlog adds a safety factor there.
	runTime, required time.Duration
	// limit is when the item has to be done for the caller, if that is earlier than the due time.
	limit time.Time
}

// NewItem returns an item. required is the time before the due time at which the item has to start to
// be treated as one that can be on time.
func NewItem(due time.Time, runTime, required time.Duration) Item {
	return Item{due: due, runTime: runTime, required: max(runTime, required)}
}

// WithLimit returns an item that has to be done by an earlier time than its due time, which still
// determines the order: the due time of a job that is submitted again counts from that submission.
func (i Item) WithLimit(limit time.Time) Item {
	i.limit = limit
	return i
}

// latestStart returns the time until which the item may start.
func (i Item) latestStart() time.Time {
	if !i.limit.IsZero() && i.limit.Before(i.due) {
		return i.limit.Add(-i.required)
	}
	return i.due.Add(-i.required)
}

// onTime reports whether an item that starts at the given time can be on time.
func (i Item) onTime(start time.Time) bool { return !start.After(i.latestStart()) }

// Backlog is the work that shares slots with a further job.
type Backlog struct {
	slots   int
	running []time.Duration
	waiting []Item
}

// NewBacklog returns a backlog. slots is the largest number of slots that the work may use at once, or
// zero if it is not known. running holds the expected remaining times of the running items, and waiting
// the waiting items, in any order.
func NewBacklog(slots int, running []time.Duration, waiting []Item) Backlog {
	return Backlog{slots: slots, running: running, waiting: waiting}
}

// Decision is a decision about a further job.
type Decision struct {
	accepted   bool
	slack      time.Duration
	retryAfter time.Duration
	work       time.Duration
}

// Accepted reports whether the job may still be on time.
func (d Decision) Accepted() bool { return d.accepted }

// Late returns by how much the last item of a refused job would start too late.
func (d Decision) Late() time.Duration { return max(0, -d.slack) }

// RetryAfter returns when the backlog has room for a refused job.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Work returns the sum of the run times of the job's items.
func (d Decision) Work() time.Duration { return d.work }

// accept is the decision on a job about which too little is known.
var accept = Decision{accepted: true}

// minRetryAfter is the shortest delay before a refused job is to be submitted again. It is several
// scheduling passes of a store.
const minRetryAfter = 200 * time.Millisecond

// Decide decides on a job with the given items. ahead is the work of jobs that were refused before and
// are expected to be submitted again earlier.
//
// It assigns the items to slots in the order in which they are started: those that can be on time, by due
// time. An accepted job starts after waiting items that are due earlier, and before all others. Items that
// can't be on time start after it. The job is refused if its last item would start so late that it is treated
// as one that can't be on time: it would then start after all items that can, also those of later jobs.
func Decide(backlog Backlog, job []Item, ahead time.Duration, now time.Time) Decision {
	if backlog.slots <= 0 || len(job) == 0 || slices.ContainsFunc(job, func(i Item) bool { return i.due.IsZero() || i.runTime <= 0 }) {
		return accept
	}
	due := slices.MaxFunc(job, func(a, b Item) int { return a.due.Compare(b.due) }).due
	slots := newSlots(backlog, now)
	for _, each := range backlog.before(due) {
		if each.runTime > 0 && each.onTime(slots.nextFree()) {
			slots.assign(each.runTime)
		}
	}
	decision := Decision{accepted: true, slack: due.Sub(now)}
	for _, each := range job {
		decision.slack = min(decision.slack, each.latestStart().Sub(slots.nextFree()))
		decision.work += each.runTime
		slots.assign(each.runTime)
	}
	// A job that would be late without any backlog is not late because of it: there is no time at which
	// it can be submitted instead.
	if decision.slack >= 0 || !fits(backlog.slots, job, now) {
		return accept
	}
	decision.accepted = false
	decision.retryAfter = max(minRetryAfter, decision.Late()+ahead/time.Duration(backlog.slots))
	for _, each := range job {
		if !each.limit.IsZero() && each.limit.Before(each.due) {
			// The job can't be on time for its caller, so it is to come back as a new one.
			decision.retryAfter = max(decision.retryAfter, each.limit.Sub(now))
		}
	}
	return decision
}

// fits reports whether all items of a job are on time by their due times if no other work uses the slots.
func fits(slots int, job []Item, now time.Time) bool {
	free := newSlots(NewBacklog(slots, nil, nil), now)
	for _, each := range job {
		if !each.WithLimit(time.Time{}).onTime(free.nextFree()) {
			return false
		}
		free.assign(each.runTime)
	}
	return true
}

// before returns the waiting items that are due at a time or earlier, by due time.
func (b Backlog) before(due time.Time) []Item {
	var earlier []Item
	for _, each := range b.waiting {
		if !each.due.IsZero() && !each.due.After(due) {
			earlier = append(earlier, each)
		}
	}
	slices.SortStableFunc(earlier, func(a, b Item) int { return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.runTime, b.runTime)) })
	return earlier
}

// slotTimes holds the times at which slots become free. Slots that have not been used yet are counted
// only, as there may be many more of them than items.
type slotTimes struct {
	now    time.Time
	unused int
	used   timeHeap
}

// newSlots returns the slots of a backlog with its running items.
func newSlots(backlog Backlog, now time.Time) *slotTimes {
	created := &slotTimes{now: now, unused: max(0, backlog.slots-len(backlog.running))}
	for _, remaining := range backlog.running {
		created.used = append(created.used, now.Add(max(0, remaining)))
	}
	heap.Init(&created.used)
	return created
}

// nextFree returns the time at which the next slot is free.
func (s *slotTimes) nextFree() time.Time {
	if s.unused > 0 {
		return s.now
	}
	return s.used[0]
}

// assign runs an item in the next free slot.
func (s *slotTimes) assign(runTime time.Duration) {
	start := s.nextFree()
	if s.unused > 0 {
		s.unused--
		heap.Push(&s.used, start.Add(runTime))
		return
	}
	s.used[0] = start.Add(runTime)
	heap.Fix(&s.used, 0)
}

// timeHeap is a heap of times, the earliest first.
type timeHeap []time.Time

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i].Before(h[j]) }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timeHeap) Push(x any)        { *h = append(*h, x.(time.Time)) }
func (h *timeHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
