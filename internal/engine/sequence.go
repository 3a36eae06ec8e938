package engine

import "container/heap"

// sequenceState is where a request is in its life.
type sequenceState uint8

const (
	stateWaiting sequenceState = iota
	stateRunning
	statePaused
	// stateFinished: over, and known for a resume only.
	stateFinished
)

// notWaiting is the place of a sequence that is not in the waiting queue.
const notWaiting = -1

// sequence is a request inside the engine.
type sequence struct {
	request Request
	arrival uint64
	state   sequenceState
	// place is the index in the waiting queue.
	place int
	// computed is the number of tokens whose KV is in memory.
	computed int
	// produced is the number of answer tokens produced.
	produced int
	started  bool
	attached bool
	// truncateAt is the token after which a fault cuts the stream.
	truncateAt int
	// lateTokens are tokens of a finished answer that a fault holds back.
	lateTokens int
	// deadline is when a request without a reader expires.
	deadline timerID

	// plannedPrefill and plannedDecode are the tokens of the current step.
	plannedPrefill int
	plannedDecode  int
}

// batch tells whether the sequence counts as batch.
func (s *sequence) batch() bool {
	return s.request.Priority >= PriorityBatch
}

// remainingPrefill is the number of tokens whose KV must be computed before the
// sequence decodes.
func (s *sequence) remainingPrefill() int {
	return s.request.PromptTokens + s.produced - s.computed
}

// before tells whether the sequence goes before another.
func (s *sequence) before(other *sequence) bool {
	if s.request.Priority != other.request.Priority {
		return s.request.Priority < other.request.Priority
	}
	return s.arrival < other.arrival
}

// waitingQueue orders waiting sequences by priority and arrival.
type waitingQueue struct {
	items  waitingHeap
	online int
}

func (q *waitingQueue) length() int {
	return len(q.items)
}

func (q *waitingQueue) push(entry *sequence) {
	if !entry.batch() {
		q.online++
	}
	heap.Push(&q.items, entry)
}

func (q *waitingQueue) first() *sequence {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

func (q *waitingQueue) remove(entry *sequence) {
	if entry.place == notWaiting {
		return
	}
	if !entry.batch() {
		q.online--
	}
	heap.Remove(&q.items, entry.place)
}

type waitingHeap []*sequence

func (h waitingHeap) Len() int           { return len(h) }
func (h waitingHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place = i
	h[j].place = j
}

func (h *waitingHeap) Push(item any) {
	entry := item.(*sequence)
	entry.place = len(*h)
	*h = append(*h, entry)
}

func (h *waitingHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	entry.place = notWaiting
	return entry
}
