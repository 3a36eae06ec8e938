package ledger

import "container/heap"

// dueQueue is a priority queue of keys ordered by due time. Entries may be stale, so
// callers check them against the state. Ties are broken by key, so that a queue
// rebuilt from a snapshot pops entries in the same order as the original.
type dueQueue[K comparable] struct {
	entries []dueEntry[K]
	less    func(left, right K) bool
}

type dueEntry[K comparable] struct {
	time int64
	key  K
}

func (q *dueQueue[K]) add(time int64, key K) {
	heap.Push(q, dueEntry[K]{time: time, key: key})
}

// popDue removes and returns the earliest entry if its time is at most limit.
func (q *dueQueue[K]) popDue(limit int64) (dueEntry[K], bool) {
	if len(q.entries) == 0 || q.entries[0].time > limit {
		return dueEntry[K]{}, false
	}
	return heap.Pop(q).(dueEntry[K]), true
}

// earliest returns the earliest time in the queue, or false if the queue is empty.
func (q *dueQueue[K]) earliest() (int64, bool) {
	if len(q.entries) == 0 {
		return 0, false
	}
	return q.entries[0].time, true
}

// Len implements heap.Interface.
func (q *dueQueue[K]) Len() int { return len(q.entries) }

// Less implements heap.Interface.
func (q *dueQueue[K]) Less(i, j int) bool {
	left, right := q.entries[i], q.entries[j]
	if left.time != right.time {
		return left.time < right.time
	}
	return q.less(left.key, right.key)
}

// Swap implements heap.Interface.
func (q *dueQueue[K]) Swap(i, j int) {
	q.entries[i], q.entries[j] = q.entries[j], q.entries[i]
}

// Push implements heap.Interface.
func (q *dueQueue[K]) Push(entry any) {
	q.entries = append(q.entries, entry.(dueEntry[K]))
}

// Pop implements heap.Interface.
func (q *dueQueue[K]) Pop() any {
	last := len(q.entries) - 1
	entry := q.entries[last]
	q.entries = q.entries[:last]
	return entry
}
