package engine

import (
	"math"
	"time"
)

// startStep plans and starts a step if none is in progress and there is work.
func (e *Engine) startStep(now time.Duration) {
	if e.stepInProgress || e.faults.dead || e.faults.hung {
		return
	}
	e.admit(now)
	if len(e.running) == 0 {
		return
	}
	cost := e.plan(now)
	if cost == 0 {
		return
	}
	e.stepInProgress = true
	e.stepBegin = now
	e.stepEnd = max(now, e.faults.stalledUntil) + e.faults.slowed(cost, now)
}

// admit moves waiting sequences into the batch, in scheduling order.
func (e *Engine) admit(now time.Duration) {
	for {
		candidate := e.waiting.first()
		if candidate == nil {
			return
		}
		if len(e.running) >= e.config.MaxSequences && !e.preemptFor(now, candidate) {
			return
		}
		if !e.fits(candidate) {
			return
		}
		e.waiting.remove(candidate)
		e.startSequence(now, candidate)
	}
}

// fits reports whether there is enough memory for the candidate next to the
// running sequences of the same or a higher priority.
func (e *Engine) fits(candidate *sequence) bool {
	needed := candidate.request.PromptTokens + candidate.produced + e.config.TokensPerStep
	// Reserves a block per sequence for growth, which prevents sequences from
	// preempting each other at every step.
	needed += len(e.running) * TokensPerBlock
	for _, seq := range e.running {
		if seq.before(candidate) || seq.request.Priority == candidate.request.Priority {
			needed += max(seq.request.PromptTokens+seq.produced, seq.computed)
		}
	}
	return needed <= e.config.KVCapacity || len(e.running) == 0
}

func (e *Engine) startSequence(now time.Duration, seq *sequence) {
	seq.state = stateRunning
	e.insertRunning(seq)
	e.removeEvictable(seq)
	if seq.computed == 0 {
		e.reuseCachedPrefix(now, seq)
	}
	if !seq.started {
		seq.started = true
		e.faults.markTruncated(seq)
		e.emit(now, seq, EventStarted, 0)
	}
}

// reuseCachedPrefix takes the KV of the cached prefix of a prompt over into the
// sequence. The last token of the prompt is always computed.
func (e *Engine) reuseCachedPrefix(now time.Duration, seq *sequence) {
	blocks := e.cache.match(seq.request.Blocks)
	tokens := min(blocks*TokensPerBlock, seq.request.PromptTokens-1)
	if tokens <= 0 || !e.ensureMemory(now, seq, tokens) {
		return
	}
	seq.computed = tokens
	e.kvTokens += tokens
	e.totals.PrefixTokens += uint64(tokens)
}

// preemptFor preempts the lowest-ranked running sequence if it is a batch sequence
// with a lower priority than the candidate, and reports whether it did.
func (e *Engine) preemptFor(now time.Duration, candidate *sequence) bool {
	lowest := e.lowestRunningAfter(candidate)
	if lowest == nil || !lowest.batch() || lowest.request.Priority <= candidate.request.Priority {
		return false
	}
	e.preempt(now, lowest)
	return true
}

// lowestRunningAfter returns the lowest-ranked running sequence after another, or nil.
func (e *Engine) lowestRunningAfter(other *sequence) *sequence {
	var lowest *sequence
	for _, seq := range e.running {
		if seq != other && other.before(seq) && (lowest == nil || lowest.before(seq)) {
			lowest = seq
		}
	}
	return lowest
}

// preempt returns a running sequence to the waiting queue; its KV becomes evictable.
func (e *Engine) preempt(now time.Duration, seq *sequence) {
	e.deschedule(seq)
	seq.state = stateWaiting
	e.waiting.push(seq)
	e.totals.Preempted++
	e.emit(now, seq, EventPreempted, 0)
}

// plan assigns the tokens of a step to the running sequences and returns the
// duration of the step, or zero if no sequence can make progress.
func (e *Engine) plan(now time.Duration) time.Duration {
	budget := e.batchBudget()
	prefill := e.config.PrefillChunk
	for _, seq := range e.planOrder() {
		if seq.state == stateRunning {
			e.planSequence(now, seq, &prefill, &budget)
		}
	}
	return e.cost()
}

// planOrder returns the running sequences in planning order. While online sequences
// are running, batch sequences are rotated so that a small budget starves none.
func (e *Engine) planOrder() []*sequence {
	e.stepOrder = append(e.stepOrder[:0], e.running...)
	online := 0
	for online < len(e.running) && !e.running[online].batch() {
		online++
	}
	batch := e.running[online:]
	if online == 0 || len(batch) < 2 {
		return e.stepOrder
	}
	e.rotation++
	turn := e.rotation % len(batch)
	copy(e.stepOrder[online:], batch[turn:])
	copy(e.stepOrder[len(e.stepOrder)-turn:], batch[:turn])
	return e.stepOrder
}

// batchBudget returns the maximum number of batch tokens in the step.
func (e *Engine) batchBudget() int {
	budget := math.MaxInt
	online := false
	for _, seq := range e.running {
		if !seq.batch() {
			online = true
		} else if seq.request.BatchTokenBudget > 0 {
			budget = min(budget, seq.request.BatchTokenBudget)
		}
	}
	if !online {
		return math.MaxInt
	}
	return budget
}

// planSequence assigns a sequence its tokens of the step and reserves their KV.
func (e *Engine) planSequence(now time.Duration, seq *sequence, prefill, budget *int) {
	decode := min(e.config.TokensPerStep, seq.request.MaxTokens-seq.produced)
	chunk := seq.remainingPrefill()
	limit := *prefill
	if seq.batch() {
		limit = min(limit, *budget)
		decode = min(decode, *budget)
	}
	if chunk > limit {
		chunk = limit
		decode = 0
	} else if chunk > 0 {
		// The step that completes the prefill also produces the first tokens.
		decode = min(e.config.TokensPerStep, seq.request.MaxTokens-seq.produced)
	}
	if chunk+decode == 0 || !e.ensureMemory(now, seq, chunk+decode) {
		return
	}
	seq.plannedPrefill = chunk
	seq.plannedDecode = decode
	e.kvTokens += chunk + decode
	*prefill -= chunk
	if !seq.batch() {
		return
	}
	if chunk > 0 {
		*budget -= chunk
	} else {
		*budget -= decode
	}
}

// cost returns the duration of the planned step.
func (e *Engine) cost() time.Duration {
	decoding, prefilled, attended := 0, 0, 0
	for _, seq := range e.running {
		if seq.plannedPrefill+seq.plannedDecode == 0 {
			continue
		}
		attended += seq.computed
		prefilled += seq.plannedPrefill
		if seq.plannedPrefill == 0 {
			decoding++
		}
	}
	if decoding+prefilled == 0 {
		return 0
	}
	cost := e.config.BaseStep +
		time.Duration(decoding)*e.config.PerSequence +
		time.Duration(prefilled)*e.config.PerPrefillToken +
		time.Duration(attended)*e.config.PerAttendedToken
	if e.config.StepJitter > 0 {
		cost += time.Duration(float64(cost) * e.config.StepJitter * e.random.Float64())
	}
	return cost
}

// finishStep applies the planned tokens of the step that ends at now.
func (e *Engine) finishStep(now time.Duration) {
	e.stepInProgress = false
	e.lastStep = now - e.stepBegin
	e.totals.Busy += e.lastStep
	remaining := e.running[:0]
	for _, seq := range e.running {
		e.applyTokens(now, seq)
		if seq.state == stateRunning {
			remaining = append(remaining, seq)
		}
	}
	clear(e.running[len(remaining):])
	e.running = remaining
}

// applyTokens applies the planned tokens of a sequence.
func (e *Engine) applyTokens(now time.Duration, seq *sequence) {
	prefilled, decoded := seq.plannedPrefill, seq.plannedDecode
	seq.plannedPrefill, seq.plannedDecode = 0, 0
	seq.computed += prefilled + decoded
	e.totals.PrefillTokens += uint64(prefilled)
	if decoded == 0 {
		return
	}
	if seq.produced == 0 {
		e.storePrefix(now, seq.request.Blocks)
	}
	seq.produced += decoded
	if seq.batch() {
		e.totals.TokensBatch += uint64(decoded)
	} else {
		e.totals.TokensOnline += uint64(decoded)
	}
	done := seq.produced == seq.request.MaxTokens
	if done && e.faults.takeFinishDelay() {
		e.finishDelayed(now, seq, decoded)
		return
	}
	first := seq.produced == decoded
	if first || done || e.config.reportsTokens(seq) {
		e.emit(now, seq, EventTokens, decoded)
	}
	e.truncate(now, seq)
	if done {
		e.finish(now, seq)
	}
}
