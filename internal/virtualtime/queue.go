// Package virtualtime holds the event queue of the simulated fleets. Events
// happen in the order of their times, and events at one time in the order in
// which they were scheduled, so that one seed gives one run.
package virtualtime

import "time"

// Event is something that happens at a point of virtual time.
type Event struct {
	// Run is what happens; nil where an engine is to be advanced.
	Run func()
	// Engine is the index of the engine to advance where Run is nil.
	Engine int

	at    time.Duration
	order uint64
}

// before tells whether the event happens before another.
func (e *Event) before(other *Event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.order < other.order
}

// Queue holds the events to come, as a binary heap, and the present. Its zero
// value is an empty queue at time zero. It serves one goroutine.
type Queue struct {
	now    time.Duration
	events []Event
	last   uint64
}

// Now returns the present: the time of the event that was taken last.
func (q *Queue) Now() time.Duration { return q.now }

// At schedules run for a time; a time in the past counts as now.
func (q *Queue) At(at time.Duration, run func()) {
	q.push(Event{at: at, Run: run})
}

// After schedules run a delay from now.
func (q *Queue) After(delay time.Duration, run func()) {
	q.At(q.now+delay, run)
}

// Every schedules run a delay from now and then again at each interval, counted
// from the run before.
func (q *Queue) Every(first, interval time.Duration, run func()) {
	q.After(first, func() {
		run()
		q.Every(interval, interval, run)
	})
}

// Wake schedules that an engine is advanced; a time in the past counts as now.
func (q *Queue) Wake(at time.Duration, engine int) {
	q.push(Event{at: at, Engine: engine})
}

// Next takes the first event up to a time, that time included, and moves the
// present to it. Without such an event it returns false and the present stays.
func (q *Queue) Next(until time.Duration) (Event, bool) {
	if len(q.events) == 0 || q.events[0].at > until {
		return Event{}, false
	}
	first := q.events[0]
	last := len(q.events) - 1
	q.events[0] = q.events[last]
	q.events[last] = Event{}
	q.events = q.events[:last]
	q.sink()
	q.now = first.at
	return first, true
}

// push adds an event and moves it up to its place.
func (q *Queue) push(entry Event) {
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

// sink moves the root down to its place.
func (q *Queue) sink() {
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
