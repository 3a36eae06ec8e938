package engine

import (
	"container/heap"
	"time"
)

// timerID names a timer; zero names none.
type timerID uint64

// timerKind is what a timer is for.
type timerKind uint8

const (
	// timerExpire ends a request without a reader.
	timerExpire timerKind = iota
	// timerForget drops a finished request.
	timerForget
	// timerLate delivers a finish that a fault held back.
	timerLate
	// timerLoaded ends a loading order.
	timerLoaded
	// timerFault ends a fault.
	timerFault
)

type timer struct {
	id      timerID
	at      time.Duration
	kind    timerKind
	subject *sequence
	loading loadingOrder
}

// timerQueue holds timers by time. A sequence's timer is void once the
// sequence names another one.
type timerQueue struct {
	items timerHeap
	last  timerID
}

func (q *timerQueue) add(entry timer) timerID {
	q.last++
	entry.id = q.last
	heap.Push(&q.items, entry)
	return entry.id
}

func (q *timerQueue) next() time.Duration {
	if len(q.items) == 0 {
		return Never
	}
	return q.items[0].at
}

func (q *timerQueue) pop() timer {
	return heap.Pop(&q.items).(timer)
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].id < h[j].id
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(item any) {
	*h = append(*h, item.(timer))
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = timer{}
	*h = (*h)[:last]
	return entry
}

// fire runs the first timer.
func (e *Engine) fire(at time.Duration) {
	entry := e.timers.pop()
	subject := entry.subject
	switch entry.kind {
	case timerExpire:
		if subject.deadline == entry.id && !subject.attached && subject.state != stateFinished {
			e.end(at, subject, EventExpired)
		}
	case timerForget:
		if subject.deadline == entry.id {
			delete(e.known, subject.request.ID)
		}
	case timerLate:
		e.emitLate(at, subject)
	case timerLoaded:
		e.finishLoading(at, entry.loading)
	case timerFault:
		if e.faults.recovery == entry.id {
			e.recover(at)
		}
	}
}
