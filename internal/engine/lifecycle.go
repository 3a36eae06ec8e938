package engine

import (
	"slices"
	"time"
)

func (e *Engine) emit(now time.Duration, entry *sequence, kind EventKind, count int) {
	e.pending = append(e.pending, Event{
		Kind:     kind,
		ID:       entry.request.ID,
		Tag:      entry.request.Tag,
		At:       now,
		Sequence: entry.produced,
		Count:    count,
	})
}

// insertRunning keeps the running sequences in order.
func (e *Engine) insertRunning(entry *sequence) {
	index := len(e.running)
	for index > 0 && entry.before(e.running[index-1]) {
		index--
	}
	e.running = slices.Insert(e.running, index, entry)
}

// leavePlace takes a sequence out of the step or the queue. Its KV is kept.
func (e *Engine) leavePlace(entry *sequence) {
	e.waiting.remove(entry)
	if entry.state != stateRunning {
		return
	}
	e.kvTokens -= entry.plannedPrefill + entry.plannedDecode
	entry.plannedPrefill, entry.plannedDecode = 0, 0
	if index := slices.Index(e.running, entry); index >= 0 {
		e.running = slices.Delete(e.running, index, index+1)
	}
	if entry.computed > 0 {
		e.kept = append(e.kept, entry)
	}
}

// unkeep takes a sequence off the list of those whose KV may be dropped.
func (e *Engine) unkeep(entry *sequence) {
	if index := slices.Index(e.kept, entry); index >= 0 {
		e.kept = slices.Delete(e.kept, index, index+1)
	}
}

// release gives the KV of a sequence back.
func (e *Engine) release(entry *sequence) {
	e.unkeep(entry)
	e.kvTokens -= entry.computed + entry.plannedPrefill + entry.plannedDecode
	entry.computed, entry.plannedPrefill, entry.plannedDecode = 0, 0, 0
}

// end stops a sequence that is not finished.
func (e *Engine) end(now time.Duration, entry *sequence, kind EventKind) {
	e.leavePlace(entry)
	e.release(entry)
	entry.state = stateFinished
	delete(e.known, entry.request.ID)
	switch kind {
	case EventCancelled:
		e.totals.Cancelled++
	case EventExpired:
		e.totals.Expired++
	default:
		e.totals.Lost++
	}
	e.emit(now, entry, kind, 0)
}

// finish ends a sequence that has all its tokens. finishStep takes it off the
// running sequences.
func (e *Engine) finish(now time.Duration, entry *sequence) {
	e.release(entry)
	entry.state = stateFinished
	e.totals.Finished++
	e.emit(now, entry, EventFinished, 0)
	e.retain(now, entry)
}

// retain keeps a finished sequence known for a resume.
func (e *Engine) retain(now time.Duration, entry *sequence) {
	if e.config.Retention <= 0 {
		delete(e.known, entry.request.ID)
		return
	}
	entry.deadline = e.timers.add(timer{at: now + e.config.Retention, kind: timerForget, subject: entry})
}

// finishLate holds the end of an answer back.
func (e *Engine) finishLate(now time.Duration, entry *sequence, decoded int) {
	e.release(entry)
	entry.state = stateFinished
	entry.lateTokens = decoded
	e.timers.add(timer{at: now + e.faults.late.duration, kind: timerLate, subject: entry})
}

// emitLate delivers an end that was held back.
func (e *Engine) emitLate(now time.Duration, entry *sequence) {
	if e.known[entry.request.ID] != entry || entry.lateTokens == 0 {
		return
	}
	e.emit(now, entry, EventTokens, entry.lateTokens)
	entry.lateTokens = 0
	e.totals.Finished++
	e.emit(now, entry, EventFinished, 0)
	e.retain(now, entry)
}

// makeRoom frees memory for tokens of a sequence, or leaves things as they are
// at the point where only better sequences hold memory, and tells whether there
// is room.
func (e *Engine) makeRoom(now time.Duration, entry *sequence, tokens int) bool {
	for e.KVTokens()+tokens > e.config.KVCapacity {
		switch {
		case e.cache.evict(now):
		case e.dropKept(entry):
		default:
			worst := e.worstRunning(entry)
			if worst == nil {
				return false
			}
			e.preempt(now, worst)
		}
	}
	return true
}

// dropKept drops the KV of the worst sequence without a place.
func (e *Engine) dropKept(other *sequence) bool {
	var worst *sequence
	for _, entry := range e.kept {
		if entry != other && (worst == nil || worst.before(entry)) {
			worst = entry
		}
	}
	if worst == nil {
		return false
	}
	e.release(worst)
	return true
}

// storePrefix puts the blocks of a prompt into the cache as far as there is
// memory for them.
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
