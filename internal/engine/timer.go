package engine

import (
	"container/heap"
	"time"
)

// timerID identifies a timer; zero means none.
type timerID uint64

// timerKind is the action of a timer.
type timerKind uint8

const (
	// timerExpire expires a request without a reader.
	timerExpire timerKind = iota
	// timerForget removes a finished request after the retention time.
	timerForget
	// timerDelayedFinish emits a finish delayed by a fault.
	timerDelayedFinish
	// timerLoaded completes a load.
	timerLoaded
	// timerFault ends FaultDie or FaultHang.
	timerFault
)

type timer struct {
	id      timerID
	at      time.Duration
	kind    timerKind
	seq     *sequence
	loading pendingLoad
}

// timerQueue is a queue of timers ordered by time. Timers are not removed from it:
// a timer has no effect once its sequence refers to another one.
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

// runTimer removes the first timer and runs its action.
func (e *Engine) runTimer(at time.Duration) {
	entry := e.timers.pop()
	seq := entry.seq
	switch entry.kind {
	case timerExpire:
		if seq.expiry == entry.id && !seq.hasReader && seq.state != stateFinished {
			e.abort(at, seq, EventExpired)
		}
	case timerForget:
		if seq.expiry == entry.id {
			delete(e.sequences, seq.request.ID)
		}
	case timerDelayedFinish:
		e.emitDelayedFinish(at, seq)
	case timerLoaded:
		e.finishLoading(at, entry.loading)
	case timerFault:
		if e.faults.recovery == entry.id {
			e.recover(at)
		}
	}
}
