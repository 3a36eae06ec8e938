package engine

import "container/heap"

// sequenceState is the lifecycle state of a sequence.
type sequenceState uint8

const (
	stateWaiting sequenceState = iota
	stateRunning
	statePaused
	// stateFinished: ended, and kept only to be resumed.
	stateFinished
)

// notQueued is the queue index of a sequence that is not in the waiting queue.
const notQueued = -1

// sequence is the engine's state of one request.
type sequence struct {
	request Request
	arrival uint64
	state   sequenceState
	// queueIndex is the index in the waiting queue.
	queueIndex int
	// computed is the number of tokens with KV in memory.
	computed int
	// produced is the number of output tokens produced.
	produced  int
	started   bool
	hasReader bool
	// truncateAt is the token after which a fault breaks the stream; zero for none.
	truncateAt int
	// delayedTokens is the number of last tokens that a fault delays.
	delayedTokens int
	// expiry is the timer that expires or removes the sequence.
	expiry timerID

	// plannedPrefill and plannedDecode are the tokens planned for the current step.
	plannedPrefill int
	plannedDecode  int
}

// batch reports whether the sequence has batch priority.
func (s *sequence) batch() bool {
	return s.request.Priority >= PriorityBatch
}

// remainingPrefill returns the number of tokens whose KV must be computed before
// the sequence can decode.
func (s *sequence) remainingPrefill() int {
	return s.request.PromptTokens + s.produced - s.computed
}

// before reports whether the sequence is scheduled before another.
func (s *sequence) before(other *sequence) bool {
	if s.request.Priority != other.request.Priority {
		return s.request.Priority < other.request.Priority
	}
	return s.arrival < other.arrival
}

// waitingQueue is a queue of sequences ordered by priority and arrival.
type waitingQueue struct {
	items  waitingHeap
	online int
}

func (q *waitingQueue) length() int {
	return len(q.items)
}

func (q *waitingQueue) push(seq *sequence) {
	if !seq.batch() {
		q.online++
	}
	heap.Push(&q.items, seq)
}

func (q *waitingQueue) first() *sequence {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

func (q *waitingQueue) remove(seq *sequence) {
	if seq.queueIndex == notQueued {
		return
	}
	if !seq.batch() {
		q.online--
	}
	heap.Remove(&q.items, seq.queueIndex)
}

type waitingHeap []*sequence

func (h waitingHeap) Len() int           { return len(h) }
func (h waitingHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queueIndex = i
	h[j].queueIndex = j
}

func (h *waitingHeap) Push(item any) {
	seq := item.(*sequence)
	seq.queueIndex = len(*h)
	*h = append(*h, seq)
}

func (h *waitingHeap) Pop() any {
	last := len(*h) - 1
	seq := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	seq.queueIndex = notQueued
	return seq
}
