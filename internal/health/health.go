// Package health judges servers by the outcomes of real traffic. It is pure:
// time and randomness are arguments. One goroutine owns a Tracker; it publishes
// the verdicts to the routing views.
//
// A server is Healthy, Suspect after a few failures or while it is much slower
// than its peers, and Ejected when failures go on. An ejected server stays out
// for a hold-down with jitter that doubles with each ejection, then takes single
// trial requests; enough good trials bring it back with a slow start. Never more
// than a set part of the servers is ejected at a time.
package health

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// State is the verdict on a server.
type State uint8

// The states of a server.
const (
	// Healthy servers take traffic.
	Healthy State = iota
	// Suspect servers take traffic only where no healthy one can.
	Suspect
	// Ejected servers take none, except trials.
	Ejected
)

// Outcome is how an exchange with a server ended, as far as it says something
// of the server.
type Outcome uint8

// The outcomes.
const (
	// Success: a whole answer, or a first token.
	Success Outcome = iota
	// Failure: a connection error, a broken stream, a status 500 or above other
	// than a refusal.
	Failure
	// Timeout: no answer in the time allowed.
	Timeout
	// Refused: the server refused before anything ran. It is evidence of load,
	// not of sickness.
	Refused
)

// Policy holds the thresholds.
type Policy struct {
	// SuspectAfter and EjectAfter are failure scores; each failure adds 1, each
	// timeout 2, each success halves the score, and it decays with HalfLife.
	SuspectAfter float64
	EjectAfter   float64
	HalfLife     time.Duration
	// HoldDown is the first time out; it doubles up to MaxHoldDown.
	HoldDown    time.Duration
	MaxHoldDown time.Duration
	// Jitter is the part of a hold-down that is drawn at random.
	Jitter float64
	// TrialsToReturn is how many trials in a row must succeed.
	TrialsToReturn int
	// SlowStart is how long a server that is back takes to get full traffic.
	SlowStart time.Duration
	// MaxEjectedFraction is the largest part of the servers ejected at a time.
	MaxEjectedFraction float64
	// SlowFactor makes a server suspect when its latency exceeds the median of
	// its peers so many times, SlowFor so long.
	SlowFactor float64
	SlowAfter  time.Duration
	// SilenceTimeout is how long no first token may come from a server while some are
	// awaited; SilentFactor allows longer where the wait was expected to be long.
	SilenceTimeout time.Duration
	SilenceFactor  float64
	// EjectionDecay forgets one doubling of the hold-down after so long in health.
	EjectionDecay time.Duration
}

// DefaultPolicy is what gateways use.
var DefaultPolicy = Policy{
	SuspectAfter:       2,
	EjectAfter:         4,
	HalfLife:           10 * time.Second,
	HoldDown:           2 * time.Second,
	MaxHoldDown:        time.Minute,
	Jitter:             0.3,
	TrialsToReturn:     2,
	SlowStart:          10 * time.Second,
	MaxEjectedFraction: 0.3,
	SlowFactor:         3,
	SlowAfter:          3 * time.Second,
	SilenceTimeout:     time.Second,
	SilenceFactor:      4,
	EjectionDecay:      time.Minute,
}

// minimumSlowStart is the traffic weight of a server that has just come back.
const minimumSlowStart = 0.1

// latencyWeight is the weight of a new sample in the moving mean of latency.
const latencyWeight = 0.1

// Scores of failures.
const (
	failureScore = 1
	timeoutScore = 2
)

// record is the state of one server.
type record struct {
	state         State
	failures      float64
	failuresAt    time.Duration
	ejections     int
	heldUntil     time.Duration
	trialOpen     bool
	trialsPassed  int
	returnedAt    time.Duration
	returned      bool
	healthySince  time.Duration
	latency       float64
	samples       int
	slowSince     time.Duration
	slow          bool
	wantsEjection bool
	silence       silence
	// touched tells that its server is listed among those with evidence.
	touched bool
}

// Tracker judges a set of servers, known by index.
type Tracker struct {
	policy  Policy
	records []record
	ejected int
	scratch []float64
	// touched lists the servers with evidence in order. Of 10,000 servers a process of a large site
	// sends to a few each second, and what depends on time concerns these alone.
	touched []int
}

// NewTracker returns a tracker of so many servers, all healthy.
func NewTracker(policy Policy, servers int) *Tracker {
	return &Tracker{policy: policy, records: make([]record, servers)}
}

// Resize changes the number of servers; new ones are healthy.
func (t *Tracker) Resize(servers int) {
	for index := servers; index < len(t.records); index++ {
		t.Forget(index)
	}
	if servers <= len(t.records) {
		t.records = t.records[:servers]
		place, _ := slices.BinarySearch(t.touched, servers)
		t.touched = t.touched[:place]
		return
	}
	t.records = append(t.records, make([]record, servers-len(t.records))...)
}

// Forget makes a server healthy without history, for a server that was replaced.
func (t *Tracker) Forget(server int) {
	if t.records[server].state == Ejected {
		t.ejected--
	}
	t.records[server] = record{touched: t.records[server].touched}
}

// touch returns the record of a server that there is evidence of.
func (t *Tracker) touch(server int) *record {
	entry := &t.records[server]
	if !entry.touched {
		entry.touched = true
		place, _ := slices.BinarySearch(t.touched, server)
		t.touched = slices.Insert(t.touched, place, server)
	}
	return entry
}

// Record takes the outcome of one exchange with a server. Latency is the time
// to the first token or to the answer's head; zero means not measured.
func (t *Tracker) Record(server int, outcome Outcome, latency, now time.Duration, random *rand.Rand) {
	entry := t.touch(server)
	entry.decay(now, t.policy.HalfLife)
	switch outcome {
	case Success:
		t.succeeded(entry, latency, now)
	case Failure:
		t.failed(entry, failureScore, now, random)
	case Timeout:
		t.failed(entry, timeoutScore, now, random)
	case Refused:
		entry.trialOpen = false
	}
}

func (r *record) decay(now, halfLife time.Duration) {
	elapsed := now - r.failuresAt
	r.failuresAt = now
	if elapsed <= 0 || halfLife <= 0 || r.failures == 0 {
		return
	}
	r.failures *= math.Exp2(-float64(elapsed) / float64(halfLife))
}

func (t *Tracker) succeeded(entry *record, latency, now time.Duration) {
	entry.failures /= 2
	entry.observe(latency)
	if entry.state == Ejected {
		t.passTrial(entry, now)
		return
	}
	entry.wantsEjection = entry.wantsEjection && entry.failures >= t.policy.EjectAfter
	if entry.state == Suspect && entry.failures < t.policy.SuspectAfter/2 && !entry.slow {
		entry.state = Healthy
		entry.healthySince = now
	}
}

func (r *record) observe(latency time.Duration) {
	if latency <= 0 {
		return
	}
	r.samples++
	weight := max(latencyWeight, 1/float64(r.samples))
	r.latency += weight * (float64(latency) - r.latency)
}

func (t *Tracker) passTrial(entry *record, now time.Duration) {
	if !entry.trialOpen {
		return
	}
	entry.trialOpen = false
	entry.trialsPassed++
	if entry.trialsPassed < t.policy.TrialsToReturn {
		return
	}
	t.ejected--
	ejections := entry.ejections
	*entry = record{touched: true, ejections: ejections, returned: true, returnedAt: now, healthySince: now, failuresAt: now, silence: entry.silence}
}

func (t *Tracker) failed(entry *record, weight float64, now time.Duration, random *rand.Rand) {
	if entry.state == Ejected {
		if entry.trialOpen {
			t.hold(entry, now, random)
		}
		return
	}
	entry.failures += weight
	if entry.failures >= t.policy.EjectAfter {
		entry.state = Suspect
		entry.wantsEjection = true
		t.tryEject(entry, now, random)
		return
	}
	if entry.failures >= t.policy.SuspectAfter {
		entry.state = Suspect
	}
}

// tryEject ejects a server unless the cap on ejected servers is reached; then it
// stays suspect.
func (t *Tracker) tryEject(entry *record, now time.Duration, random *rand.Rand) {
	if float64(t.ejected+1) > t.policy.MaxEjectedFraction*float64(len(t.records)) {
		return
	}
	t.ejected++
	entry.state = Ejected
	entry.wantsEjection = false
	t.hold(entry, now, random)
}

// maxDoublings bounds the exponent of the hold-down.
const maxDoublings = 16

func (t *Tracker) hold(entry *record, now time.Duration, random *rand.Rand) {
	doublings := min(entry.ejections, maxDoublings)
	entry.ejections++
	hold := min(t.policy.HoldDown<<doublings, t.policy.MaxHoldDown)
	jitter := time.Duration(t.policy.Jitter * random.Float64() * float64(hold))
	entry.heldUntil = now + hold + jitter
	entry.trialOpen = false
	entry.trialsPassed = 0
}

// StartTrial tells whether a request may go to an ejected server as its single
// trial, and opens the trial. The outcome must be recorded.
func (t *Tracker) StartTrial(server int, now time.Duration) bool {
	entry := &t.records[server]
	if entry.state != Ejected || entry.trialOpen || now < entry.heldUntil {
		return false
	}
	entry.trialOpen = true
	return true
}

// State returns the verdict on a server and the weight of its traffic, above 0
// and at most 1, which rises over the slow start.
func (t *Tracker) State(server int, now time.Duration) (State, float32) {
	entry := &t.records[server]
	if !entry.returned || t.policy.SlowStart <= 0 {
		return entry.state, 1
	}
	part := float64(now-entry.returnedAt) / float64(t.policy.SlowStart)
	return entry.state, float32(min(1, max(minimumSlowStart, part)))
}

// Failing tells whether a server is suspect or ejected for failures or silence, not for
// being slow. It is not while an ejected server waits for a trial: others may try it then.
func (t *Tracker) Failing(server int, now time.Duration) bool {
	entry := &t.records[server]
	switch entry.state {
	case Suspect:
		return entry.failures >= t.policy.SuspectAfter/2
	case Ejected:
		return now < entry.heldUntil
	}
	return false
}

// Ejected returns the number of ejected servers.
func (t *Tracker) Ejected() int {
	return t.ejected
}
