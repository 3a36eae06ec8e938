// Package virtualtime provides the event queue of discrete-event simulations.
// Events run in order of time, and events with the same time in the order in
// which they were scheduled, so that runs are deterministic.
package virtualtime

import "time"

// Event is a scheduled event.
type Event struct {
	// Run is the function to call; nil if an engine is to be advanced.
	Run func()
	// Engine is the index of the engine to advance if Run is nil.
	Engine int

	at    time.Duration
	order uint64
}

// before reports whether the event precedes another.
func (e *Event) before(other *Event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.order < other.order
}

// Queue is a priority queue of events and the current virtual time. The zero
// value is an empty queue at time zero. It is not safe for concurrent use.
type Queue struct {
	now    time.Duration
	events []Event
	// last is the order of the newest event.
	last uint64
}

// Now returns the current virtual time: the time of the last event taken.
func (q *Queue) Now() time.Duration { return q.now }

// At schedules run at a time, or now if that has passed.
func (q *Queue) At(at time.Duration, run func()) {
	q.push(Event{at: at, Run: run})
}

// After schedules run after a delay.
func (q *Queue) After(delay time.Duration, run func()) {
	q.At(q.now+delay, run)
}

// Every schedules run after a first delay and then repeatedly, one interval
// after each run.
func (q *Queue) Every(first, interval time.Duration, run func()) {
	q.After(first, func() {
		run()
		q.Every(interval, interval, run)
	})
}

// Wake schedules an engine to be advanced at a time, or now if that has passed.
func (q *Queue) Wake(at time.Duration, engine int) {
	q.push(Event{at: at, Engine: engine})
}

// Next removes and returns the first event at or before a time and advances the
// current time to it. If there is none, it returns false and the time stays.
func (q *Queue) Next(until time.Duration) (Event, bool) {
	if len(q.events) == 0 || q.events[0].at > until {
		return Event{}, false
	}
	first := q.events[0]
	last := len(q.events) - 1
	q.events[0] = q.events[last]
	q.events[last] = Event{}
	q.events = q.events[:last]
	q.siftDown()
	q.now = first.at
	return first, true
}

// push adds an event to the heap.
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

// siftDown restores the heap order after the root was replaced.
func (q *Queue) siftDown() {
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
