// Package engine models a model engine that batches continuously: requests wait
// by priority for a place, steps mix decoding with chunked prefill, KV memory
// is bounded, and prompt prefixes are cached. The model is pure: time and
// randomness are arguments, so that the same code serves behind HTTP in real
// time and by the thousand in a simulation in virtual time.
//
// All times are durations since an origin that the caller chooses; they must
// not go backwards, and a caller brings the engine to the present with Advance
// before it calls another method. An Engine has one owner: its methods are not safe for
// concurrent use.
package engine

import (
	"math/rand"
	"time"
)

// Engine is the state of one engine.
type Engine struct {
	config Config
	random *rand.Rand

	// known holds every request that is not forgotten, by identity.
	known   map[string]*sequence
	waiting waitingQueue
	// running holds the sequences that have a place, best first.
	running []*sequence
	// kept holds sequences without a place whose KV is still in memory.
	kept  []*sequence
	cache *prefixCache
	// kvTokens is the KV held by sequences, cached blocks not included.
	kvTokens int
	arrivals uint64
	rotation int
	// order is reused by every step.
	order []*sequence

	stepping  bool
	stepEnd   time.Duration
	stepBegin time.Duration
	lastStep  time.Duration

	timers  timerQueue
	pending []Event
	orders  orderState
	faults  faultState
	reports reportHistory
	totals  Totals
}

// Totals counts what an engine did since it began.
type Totals struct {
	Submitted, Refused                   uint64
	Finished, Cancelled, Expired, Lost   uint64
	Preempted, TokensOnline, TokensBatch uint64
	// PrefillTokens were computed, PrefixTokens were taken from the cache.
	PrefillTokens, PrefixTokens uint64
	// Busy is the time spent in steps.
	Busy time.Duration
}

// New returns an idle engine. The random source belongs to the engine.
func New(config Config, random *rand.Rand) *Engine {
	config = config.normalized()
	engine := &Engine{
		config: config,
		random: random,
		known:  map[string]*sequence{},
		cache:  newPrefixCache(config, random.Float64),
	}
	engine.orders = newOrderState(config)
	engine.reports = newReportHistory(config.ReportLag)
	engine.record(0)
	return engine
}

// Totals returns what the engine did since it began.
func (e *Engine) Totals() Totals {
	return e.totals
}

// Submit hands a request to the engine. A request that is refused did not run
// and gets no event.
func (e *Engine) Submit(now time.Duration, request Request) (Refusal, bool) {
	if refusal := e.refusal(now, request); refusal != RefusalNone {
		e.totals.Refused++
		return refusal, false
	}
	request.PromptTokens = max(request.PromptTokens, 1)
	e.arrivals++
	entry := &sequence{request: request, arrival: e.arrivals, place: notWaiting, attached: true}
	e.known[request.ID] = entry
	e.totals.Submitted++
	e.waiting.push(entry)
	e.begin(now)
	e.record(now)
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
	case e.known[request.ID] != nil:
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

// NextEvent returns when Advance has something to do next, and false when
// nothing will happen without another call.
func (e *Engine) NextEvent() (time.Duration, bool) {
	if len(e.pending) > 0 {
		return e.pending[0].At, true
	}
	next := e.timers.next()
	if e.stepping && !e.faults.hung {
		next = min(next, e.stepEnd)
	}
	return next, next != Never
}

// Advance moves the engine to the time now, appends what happened to events and
// returns them. The caller owns the buffer.
func (e *Engine) Advance(now time.Duration, events []Event) []Event {
	for {
		if len(e.pending) > 0 {
			events = append(events, e.pending...)
			e.pending = e.pending[:0]
		}
		at, some := e.NextEvent()
		if !some || at > now {
			return events
		}
		if e.stepping && !e.faults.hung && e.stepEnd == at {
			e.finishStep(at)
		} else {
			e.fire(at)
		}
		e.begin(at)
		e.record(at)
	}
}

// Cancel stops a request. It tells whether this call stopped it; the event
// follows with the next Advance.
func (e *Engine) Cancel(now time.Duration, id string) bool {
	entry := e.known[id]
	if entry == nil || entry.state == stateFinished {
		return false
	}
	e.end(now, entry, EventCancelled)
	e.begin(now)
	e.record(now)
	return true
}

// Pause takes a request out of the steps. Its KV stays while memory lasts. It
// tells whether the request was running or waiting.
func (e *Engine) Pause(now time.Duration, id string) bool {
	entry := e.known[id]
	if entry == nil || (entry.state != stateRunning && entry.state != stateWaiting) {
		return false
	}
	e.leavePlace(entry)
	entry.state = statePaused
	e.begin(now)
	e.record(now)
	return true
}

// Unpause lets a paused request wait for a place again. It tells whether the
// request was paused.
func (e *Engine) Unpause(now time.Duration, id string) bool {
	entry := e.known[id]
	if entry == nil || entry.state != statePaused {
		return false
	}
	entry.state = stateWaiting
	e.waiting.push(entry)
	e.begin(now)
	e.record(now)
	return true
}

// Progress returns how many prompt and answer tokens of a request are done, and
// whether the request is known and not over.
func (e *Engine) Progress(id string) (prompt, answer int, some bool) {
	entry := e.known[id]
	if entry == nil || entry.state == stateFinished {
		return 0, 0, false
	}
	return min(entry.computed, entry.request.PromptTokens), entry.produced, true
}

// Running returns the number of requests that have a place.
func (e *Engine) Running() int {
	return len(e.running)
}

// Waiting returns the number of requests that wait for a place.
func (e *Engine) Waiting() int {
	return e.waiting.length()
}

// KVTokens returns the memory in use in tokens, prefix cache included.
func (e *Engine) KVTokens() int {
	return e.kvTokens + len(e.cache.blocks)*TokensPerBlock
}
