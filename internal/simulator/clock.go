// Package simulator runs the decision packages over the engine model in virtual
// time: gateways with lagging views of their own, zones with delays, bursts of
// batch work, bursts of online requests and faults. One seed gives one run, to
// the last event.
package simulator

import (
	"container/heap"
	"time"
)

// clock is the queue of events in virtual time.
type clock struct {
	now    time.Duration
	events eventHeap
	last   uint64
}

// event is something that happens at a time. Events at one time happen in the
// order in which they were scheduled.
type event struct {
	at    time.Duration
	order uint64
	// engine is the engine to advance where run is nil.
	engine int
	run    func()
}

// at schedules run for a time that is not in the past.
func (c *clock) at(at time.Duration, run func()) {
	c.push(event{at: max(at, c.now), run: run})
}

// after schedules run a delay from now.
func (c *clock) after(delay time.Duration, run func()) {
	c.at(c.now+delay, run)
}

// wake schedules that an engine is advanced.
func (c *clock) wake(at time.Duration, engine int) {
	c.push(event{at: max(at, c.now), engine: engine})
}

func (c *clock) push(entry event) {
	c.last++
	entry.order = c.last
	heap.Push(&c.events, entry)
}

// next takes the first event up to a time and moves the clock to it.
func (c *clock) next(until time.Duration) (event, bool) {
	if len(c.events) == 0 || c.events[0].at > until {
		c.now = max(c.now, until)
		return event{}, false
	}
	entry := heap.Pop(&c.events).(event)
	c.now = entry.at
	return entry, true
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(entry any) { *h = append(*h, entry.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return entry
}
