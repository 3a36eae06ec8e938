package ledger

import "container/heap"

// dueQueue orders keys by a time. Entries may be outdated: whoever pops one
// checks it against the state. The order is total, so that a queue that was
// rebuilt from a snapshot pops like the original one.
type dueQueue[K comparable] struct {
	entries []dueEntry[K]
	less    func(left, right K) bool
}

type dueEntry[K comparable] struct {
	time int64
	key  K
}

// add puts a key into the queue.
func (q *dueQueue[K]) add(time int64, key K) {
	heap.Push(q, dueEntry[K]{time: time, key: key})
}

// take removes and returns the first entry if its time is at most limit.
func (q *dueQueue[K]) take(limit int64) (dueEntry[K], bool) {
	if len(q.entries) == 0 || q.entries[0].time > limit {
		return dueEntry[K]{}, false
	}
	return heap.Pop(q).(dueEntry[K]), true
}

// first returns the earliest time in the queue.
func (q *dueQueue[K]) first() (int64, bool) {
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
