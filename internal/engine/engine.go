// Package engine models an inference engine with continuous batching: requests
// wait in a priority queue, steps mix decoding with chunked prefill, KV memory is
// bounded, and prompt prefixes are cached. Time and randomness are supplied by
// the caller, so the same code runs behind HTTP in real time and in simulations
// in virtual time.
//
// All times are durations since an origin chosen by the caller and must not
// decrease. Call Advance with the current time before calling other methods. An
// Engine is not safe for concurrent use.
package engine

import (
	"math/rand"
	"time"
)

// Engine is the state of one engine.
type Engine struct {
	config Config
	random *rand.Rand

	// sequences holds all requests that have not been removed yet, by request ID.
	sequences map[string]*sequence
	waiting   waitingQueue
	// running holds the sequences in the batch, in scheduling order.
	running []*sequence
	// evictable holds sequences outside the batch whose KV is still in memory.
	evictable []*sequence
	cache     *prefixCache
	// kvTokens is the KV held by sequences in tokens, without cached blocks.
	kvTokens int
	arrivals uint64
	rotation int
	// stepOrder is a buffer reused by every step.
	stepOrder []*sequence

	stepInProgress bool
	stepEnd        time.Duration
	stepBegin      time.Duration
	lastStep       time.Duration

	timers  timerQueue
	pending []Event
	orders  orderState
	faults  faultState
	reports reportHistory
	totals  Totals
}

// Totals holds counters accumulated since the engine was created.
type Totals struct {
	Submitted, Refused                   uint64
	Finished, Cancelled, Expired, Lost   uint64
	Preempted, TokensOnline, TokensBatch uint64
	// PrefillTokens were computed; PrefixTokens were served from the prefix cache.
	PrefillTokens, PrefixTokens uint64
	// Busy is the time spent in steps.
	Busy time.Duration
}

// New returns an idle engine, which takes ownership of the random source.
func New(config Config, random *rand.Rand) *Engine {
	config = config.normalized()
	engine := &Engine{
		config:    config,
		random:    random,
		sequences: map[string]*sequence{},
		cache:     newPrefixCache(config, random.Float64),
	}
	engine.orders = newOrderState(config)
	engine.reports = newReportHistory(config.ReportLag)
	engine.recordReport(0)
	return engine
}

// Totals returns the counters accumulated since the engine was created.
func (e *Engine) Totals() Totals {
	return e.totals
}

// Submit adds a request to the engine. A refused request does not run and
// produces no events.
func (e *Engine) Submit(now time.Duration, request Request) (Refusal, bool) {
	if refusal := e.refusal(now, request); refusal != RefusalNone {
		e.totals.Refused++
		return refusal, false
	}
	request.PromptTokens = max(request.PromptTokens, 1)
	e.arrivals++
	seq := &sequence{request: request, arrival: e.arrivals, queueIndex: notQueued, hasReader: true}
	e.sequences[request.ID] = seq
	e.totals.Submitted++
	e.waiting.push(seq)
	e.startStep(now)
	e.recordReport(now)
	return RefusalNone, true
}

func (e *Engine) refusal(now time.Duration, request Request) Refusal {
	switch {
	case e.faults.dead:
		return RefusalDead
	case e.faults.refuses(now):
		return RefusalFault
	case request.ID == "" || request.MaxTokens < 1:
		return RefusalInvalid
	case e.sequences[request.ID] != nil:
		return RefusalDuplicate
	case request.PromptTokens+request.MaxTokens > e.config.KVCapacity:
		return RefusalTooLong
	case e.orders.draining:
		return RefusalDraining
	case !e.orders.serves(request.Model):
		return RefusalNotLoaded
	case !e.orders.role.admits(request.Priority):
		return RefusalRole
	case e.waiting.length() >= e.config.MaxWaiting && len(e.running) >= e.config.MaxSequences:
		return RefusalQueueFull
	default:
		return RefusalNone
	}
}

// NextEvent returns the time at which Advance has work to do next, or false if
// nothing is scheduled.
func (e *Engine) NextEvent() (time.Duration, bool) {
	if len(e.pending) > 0 {
		return e.pending[0].At, true
	}
	next := e.timers.next()
	if e.stepInProgress && !e.faults.hung {
		next = min(next, e.stepEnd)
	}
	return next, next != Never
}

// Advance processes everything scheduled up to now and returns events with the
// resulting events appended. The caller owns the buffer.
func (e *Engine) Advance(now time.Duration, events []Event) []Event {
	for {
		if len(e.pending) > 0 {
			events = append(events, e.pending...)
			e.pending = e.pending[:0]
		}
		at, ok := e.NextEvent()
		if !ok || at > now {
			return events
		}
		if e.stepInProgress && !e.faults.hung && e.stepEnd == at {
			e.finishStep(at)
		} else {
			e.runTimer(at)
		}
		e.startStep(at)
		e.recordReport(at)
	}
}

// Cancel stops a request and reports whether it was still in progress. The event
// is returned by the next Advance.
func (e *Engine) Cancel(now time.Duration, id string) bool {
	seq := e.sequences[id]
	if seq == nil || seq.state == stateFinished {
		return false
	}
	e.abort(now, seq, EventCancelled)
	e.startStep(now)
	e.recordReport(now)
	return true
}

// Pause suspends a request; its KV stays in memory until the memory is needed. It
// reports whether the request was running or waiting.
func (e *Engine) Pause(now time.Duration, id string) bool {
	seq := e.sequences[id]
	if seq == nil || (seq.state != stateRunning && seq.state != stateWaiting) {
		return false
	}
	e.deschedule(seq)
	seq.state = statePaused
	e.startStep(now)
	e.recordReport(now)
	return true
}

// Unpause returns a paused request to the waiting queue. It reports whether the
// request was paused.
func (e *Engine) Unpause(now time.Duration, id string) bool {
	seq := e.sequences[id]
	if seq == nil || seq.state != statePaused {
		return false
	}
	seq.state = stateWaiting
	e.waiting.push(seq)
	e.startStep(now)
	e.recordReport(now)
	return true
}

// Progress returns the number of prompt tokens processed and output tokens
// produced for a request, and whether the request is in progress.
func (e *Engine) Progress(id string) (prompt, output int, ok bool) {
	seq := e.sequences[id]
	if seq == nil || seq.state == stateFinished {
		return 0, 0, false
	}
	return min(seq.computed, seq.request.PromptTokens), seq.produced, true
}

// Running returns the number of requests in the batch.
func (e *Engine) Running() int {
	return len(e.running)
}

// Waiting returns the length of the waiting queue.
func (e *Engine) Waiting() int {
	return e.waiting.length()
}

// KVTokens returns the KV memory in use in tokens, including the prefix cache.
func (e *Engine) KVTokens() int {
	return e.kvTokens + len(e.cache.blocks)*TokensPerBlock
}
