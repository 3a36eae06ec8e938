package engine

import (
	"slices"
	"time"
)

func (e *Engine) emit(now time.Duration, seq *sequence, kind EventKind, count int) {
	e.pending = append(e.pending, Event{
		Kind:     kind,
		ID:       seq.request.ID,
		Tag:      seq.request.Tag,
		At:       now,
		Sequence: seq.produced,
		Count:    count,
	})
}

// insertRunning adds a sequence to the batch at its position in scheduling order.
func (e *Engine) insertRunning(seq *sequence) {
	index := len(e.running)
	for index > 0 && seq.before(e.running[index-1]) {
		index--
	}
	e.running = slices.Insert(e.running, index, seq)
}

// deschedule removes a sequence from the batch or the waiting queue but keeps its KV.
func (e *Engine) deschedule(seq *sequence) {
	e.waiting.remove(seq)
	if seq.state != stateRunning {
		return
	}
	e.kvTokens -= seq.plannedPrefill + seq.plannedDecode
	seq.plannedPrefill, seq.plannedDecode = 0, 0
	if index := slices.Index(e.running, seq); index >= 0 {
		e.running = slices.Delete(e.running, index, index+1)
	}
	if seq.computed > 0 {
		e.evictable = append(e.evictable, seq)
	}
}

// removeEvictable removes a sequence from the evictable list.
func (e *Engine) removeEvictable(seq *sequence) {
	if index := slices.Index(e.evictable, seq); index >= 0 {
		e.evictable = slices.Delete(e.evictable, index, index+1)
	}
}

// release frees the KV of a sequence.
func (e *Engine) release(seq *sequence) {
	e.removeEvictable(seq)
	e.kvTokens -= seq.computed + seq.plannedPrefill + seq.plannedDecode
	seq.computed, seq.plannedPrefill, seq.plannedDecode = 0, 0, 0
}

// abort ends a sequence before it has finished.
func (e *Engine) abort(now time.Duration, seq *sequence, kind EventKind) {
	e.deschedule(seq)
	e.release(seq)
	seq.state = stateFinished
	delete(e.sequences, seq.request.ID)
	switch kind {
	case EventCancelled:
		e.totals.Cancelled++
	case EventExpired:
		e.totals.Expired++
	default:
		e.totals.Lost++
	}
	e.emit(now, seq, kind, 0)
}

// finish ends a sequence that has produced all its tokens. finishStep removes it
// from the batch.
func (e *Engine) finish(now time.Duration, seq *sequence) {
	e.release(seq)
	seq.state = stateFinished
	e.totals.Finished++
	e.emit(now, seq, EventFinished, 0)
	e.retain(now, seq)
}

// retain keeps a finished sequence for the retention time, so that it can be resumed.
func (e *Engine) retain(now time.Duration, seq *sequence) {
	if e.config.Retention <= 0 {
		delete(e.sequences, seq.request.ID)
		return
	}
	seq.expiry = e.timers.add(timer{at: now + e.config.Retention, kind: timerForget, seq: seq})
}

// finishDelayed finishes a sequence but delays its last events.
func (e *Engine) finishDelayed(now time.Duration, seq *sequence, decoded int) {
	e.release(seq)
	seq.state = stateFinished
	seq.delayedTokens = decoded
	e.timers.add(timer{at: now + e.faults.finishDelay.duration, kind: timerDelayedFinish, seq: seq})
}

// emitDelayedFinish emits the delayed last events of a sequence.
func (e *Engine) emitDelayedFinish(now time.Duration, seq *sequence) {
	if e.sequences[seq.request.ID] != seq || seq.delayedTokens == 0 {
		return
	}
	e.emit(now, seq, EventTokens, seq.delayedTokens)
	seq.delayedTokens = 0
	e.totals.Finished++
	e.emit(now, seq, EventFinished, 0)
	e.retain(now, seq)
}

// ensureMemory frees memory for tokens of a sequence and reports whether there is
// enough. It evicts cached blocks first, then the KV of sequences outside the
// batch, then preempts running sequences that rank after the given one.
func (e *Engine) ensureMemory(now time.Duration, seq *sequence, tokens int) bool {
	for e.KVTokens()+tokens > e.config.KVCapacity {
		switch {
		case e.cache.evict(now):
		case e.evictSequence(seq):
		default:
			lowest := e.lowestRunningAfter(seq)
			if lowest == nil {
				return false
			}
			e.preempt(now, lowest)
		}
	}
	return true
}

// evictSequence frees the KV of the lowest-ranked evictable sequence.
func (e *Engine) evictSequence(other *sequence) bool {
	var lowest *sequence
	for _, seq := range e.evictable {
		if seq != other && (lowest == nil || lowest.before(seq)) {
			lowest = seq
		}
	}
	if lowest == nil {
		return false
	}
	e.release(lowest)
	return true
}

// storePrefix caches the blocks of a prompt as far as memory allows and returns
// the number of leading blocks that are cached.
func (e *Engine) storePrefix(now time.Duration, chain []uint64) int {
	chain = chain[:min(len(chain), e.config.PrefixBlocks)]
	stored := e.cache.match(chain)
	var parent uint64
	if stored > 0 {
		parent = chain[stored-1]
	}
	for _, hash := range chain[stored:] {
		for len(e.cache.blocks) >= e.config.PrefixBlocks {
			e.cache.evict(now)
		}
		if e.KVTokens()+TokensPerBlock > e.config.KVCapacity {
			break
		}
		e.cache.insert(now, hash, parent)
		parent = hash
		stored++
	}
	return e.cache.match(chain)
}
