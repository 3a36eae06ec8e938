package engine

import (
	"math"
	"time"
)

// begin plans and starts a step when none is in progress and there is work.
func (e *Engine) begin(now time.Duration) {
	if e.stepping || e.faults.dead || e.faults.hung {
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
	e.stepping = true
	e.stepBegin = now
	e.stepEnd = max(now, e.faults.stalledUntil) + e.faults.slowed(cost, now)
}

// admit gives places to waiting sequences, best first.
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
		e.start(now, candidate)
	}
}

// fits tells whether the prompts of the sequences that go before the candidate
// leave room for its own.
func (e *Engine) fits(candidate *sequence) bool {
	needed := candidate.request.PromptTokens + candidate.produced + e.config.TokensPerStep
	// A block of room for each sequence to grow into keeps them from taking each
	// other's memory at every step.
	needed += len(e.running) * TokensPerBlock
	for _, entry := range e.running {
		if entry.before(candidate) || entry.request.Priority == candidate.request.Priority {
			needed += max(entry.request.PromptTokens+entry.produced, entry.computed)
		}
	}
	return needed <= e.config.KVCapacity || len(e.running) == 0
}

func (e *Engine) start(now time.Duration, entry *sequence) {
	entry.state = stateRunning
	e.insertRunning(entry)
	e.unkeep(entry)
	if entry.computed == 0 {
		e.usePrefix(now, entry)
	}
	if !entry.started {
		entry.started = true
		e.faults.mark(entry)
		e.emit(now, entry, EventStarted, 0)
	}
}

// usePrefix takes the cached prefix of a prompt over into the sequence. The last
// token of the prompt is always computed.
func (e *Engine) usePrefix(now time.Duration, entry *sequence) {
	blocks := e.cache.match(entry.request.Blocks)
	tokens := min(blocks*TokensPerBlock, entry.request.PromptTokens-1)
	if tokens <= 0 || !e.makeRoom(now, entry, tokens) {
		return
	}
	entry.computed = tokens
	e.kvTokens += tokens
	e.totals.PrefixTokens += uint64(tokens)
}

// preemptFor takes the place of the worst batch sequence that the candidate goes
// before by priority, and tells whether there was one.
func (e *Engine) preemptFor(now time.Duration, candidate *sequence) bool {
	worst := e.worstRunning(candidate)
	if worst == nil || !worst.batch() || worst.request.Priority <= candidate.request.Priority {
		return false
	}
	e.preempt(now, worst)
	return true
}

// worstRunning returns the last running sequence that goes after another.
func (e *Engine) worstRunning(other *sequence) *sequence {
	var worst *sequence
	for _, entry := range e.running {
		if entry != other && other.before(entry) && (worst == nil || worst.before(entry)) {
			worst = entry
		}
	}
	return worst
}

// preempt takes a sequence out of the step; its KV stays while memory lasts.
func (e *Engine) preempt(now time.Duration, entry *sequence) {
	e.leavePlace(entry)
	entry.state = stateWaiting
	e.waiting.push(entry)
	e.totals.Preempted++
	e.emit(now, entry, EventPreempted, 0)
}

// plan shares the step among the running sequences and returns its cost, zero
// when no sequence can do anything.
func (e *Engine) plan(now time.Duration) time.Duration {
	budget := e.batchBudget()
	prefill := e.config.PrefillChunk
	for _, entry := range e.planOrder() {
		if entry.state == stateRunning {
			e.planSequence(now, entry, &prefill, &budget)
		}
	}
	return e.cost()
}

// planOrder returns the running sequences, best first. Batch sequences take
// turns at the front of their part, so that a small budget starves none.
func (e *Engine) planOrder() []*sequence {
	e.order = append(e.order[:0], e.running...)
	online := 0
	for online < len(e.running) && !e.running[online].batch() {
		online++
	}
	batch := e.running[online:]
	if online == 0 || len(batch) < 2 {
		return e.order
	}
	e.rotation++
	turn := e.rotation % len(batch)
	copy(e.order[online:], batch[turn:])
	copy(e.order[len(e.order)-turn:], batch[:turn])
	return e.order
}

// batchBudget returns how many batch tokens the step may hold.
func (e *Engine) batchBudget() int {
	budget := math.MaxInt
	online := false
	for _, entry := range e.running {
		if !entry.batch() {
			online = true
		} else if entry.request.BatchTokenBudget > 0 {
			budget = min(budget, entry.request.BatchTokenBudget)
		}
	}
	if !online {
		return math.MaxInt
	}
	return budget
}

// planSequence gives a sequence its tokens of the step and reserves their KV.
func (e *Engine) planSequence(now time.Duration, entry *sequence, prefill, budget *int) {
	decode := min(e.config.TokensPerStep, entry.request.MaxTokens-entry.produced)
	chunk := entry.remainingPrefill()
	limit := *prefill
	if entry.batch() {
		limit = min(limit, *budget)
		decode = min(decode, *budget)
	}
	if chunk > limit {
		chunk = limit
		decode = 0
	} else if chunk > 0 {
		// The step that completes the prefill also yields the first tokens.
		decode = min(e.config.TokensPerStep, entry.request.MaxTokens-entry.produced)
	}
	if chunk+decode == 0 || !e.makeRoom(now, entry, chunk+decode) {
		return
	}
	entry.plannedPrefill = chunk
	entry.plannedDecode = decode
	e.kvTokens += chunk + decode
	*prefill -= chunk
	if !entry.batch() {
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
	for _, entry := range e.running {
		if entry.plannedPrefill+entry.plannedDecode == 0 {
			continue
		}
		attended += entry.computed
		prefilled += entry.plannedPrefill
		if entry.plannedPrefill == 0 {
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

// finishStep applies the planned tokens of the step that ends now.
func (e *Engine) finishStep(now time.Duration) {
	e.stepping = false
	e.lastStep = now - e.stepBegin
	e.totals.Busy += e.lastStep
	remaining := e.running[:0]
	for _, entry := range e.running {
		e.applyTokens(now, entry)
		if entry.state == stateRunning {
			remaining = append(remaining, entry)
		}
	}
	clear(e.running[len(remaining):])
	e.running = remaining
}

// applyTokens gives a sequence the tokens planned for it.
func (e *Engine) applyTokens(now time.Duration, entry *sequence) {
	prefilled, decoded := entry.plannedPrefill, entry.plannedDecode
	entry.plannedPrefill, entry.plannedDecode = 0, 0
	entry.computed += prefilled + decoded
	e.totals.PrefillTokens += uint64(prefilled)
	if decoded == 0 {
		return
	}
	if entry.produced == 0 {
		e.storePrefix(now, entry.request.Blocks)
	}
	entry.produced += decoded
	if entry.batch() {
		e.totals.TokensBatch += uint64(decoded)
	} else {
		e.totals.TokensOnline += uint64(decoded)
	}
	done := entry.produced == entry.request.MaxTokens
	if done && e.faults.takeLate() {
		e.finishLate(now, entry, decoded)
		return
	}
	first := entry.produced == decoded
	if first || done || e.config.reportsTokens(entry) {
		e.emit(now, entry, EventTokens, decoded)
	}
	e.truncate(now, entry)
	if done {
		e.finish(now, entry)
	}
}
