package routingfleet

import "time"

// event is something that happens at a point of virtual time. Events at one
// time happen in the order in which they were scheduled.
type event struct {
	at    time.Duration
	order uint64
	// engine is the engine to advance where run is nil.
	engine int
	run    func()
}

// before tells whether the event happens before another.
func (e *event) before(other *event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.order < other.order
}

// queue holds the events to come, as a binary heap, and the present.
type queue struct {
	now    time.Duration
	events []event
	last   uint64
}

// at schedules run for a time; a time in the past counts as now.
func (q *queue) at(at time.Duration, run func()) {
	q.push(event{at: at, run: run})
}

// after schedules run a delay from now.
func (q *queue) after(delay time.Duration, run func()) {
	q.at(q.now+delay, run)
}

// wake schedules that an engine is advanced.
func (q *queue) wake(at time.Duration, engine int) {
	q.push(event{at: at, engine: engine})
}

func (q *queue) push(entry event) {
	entry.at = max(entry.at, q.now)
	q.last++
	entry.order = q.last
	q.events = append(q.events, entry)
	child := len(q.events) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !q.events[child].before(&q.events[parent]) {
			break
		}
		q.events[child], q.events[parent] = q.events[parent], q.events[child]
		child = parent
	}
}

// next takes the first event up to a time and moves the present to it.
func (q *queue) next(until time.Duration) (event, bool) {
	if len(q.events) == 0 || q.events[0].at > until {
		return event{}, false
	}
	first := q.events[0]
	last := len(q.events) - 1
	q.events[0] = q.events[last]
	q.events[last] = event{}
	q.events = q.events[:last]
	q.sink()
	q.now = first.at
	return first, true
}

// sink moves the root down to its place.
func (q *queue) sink() {
	parent := 0
	for {
		least := 2*parent + 1
		if least >= len(q.events) {
			return
		}
		if right := least + 1; right < len(q.events) && q.events[right].before(&q.events[least]) {
			least = right
		}
		if !q.events[least].before(&q.events[parent]) {
			return
		}
		q.events[parent], q.events[least] = q.events[least], q.events[parent]
		parent = least
	}
}
