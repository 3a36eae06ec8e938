// Package health tracks the health of servers by the outcomes of their requests. It
// is pure: time and randomness are arguments. One goroutine owns a Tracker.
//
// A server is Healthy, Suspect after a few failures or while it is much slower than
// its peers, and Ejected if failures continue. An ejected server stays out for a
// hold-down with jitter that doubles with each ejection, and then gets single trial
// requests; enough successful trials bring it back with a slow start. The fraction
// of servers that are ejected at the same time is limited.
package health

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// State is the health of a server.
type State uint8

// The states of a server.
const (
	// Healthy servers receive traffic.
	Healthy State = iota
	// Suspect servers receive traffic only if no healthy one is available.
	Suspect
	// Ejected servers receive only trial requests.
	Ejected
)

// Outcome is how an exchange ended, as far as it is evidence of the server's health.
type Outcome uint8

// The outcomes of an exchange.
const (
	// Success: a complete response, or a first token.
	Success Outcome = iota
	// Failure: a connection error, a broken stream, or a status of 500 or above other
	// than a refusal.
	Failure
	// Timeout: no response in time.
	Timeout
	// Refused: the server refused the request before running it. This is evidence of
	// load, not of failure.
	Refused
)

// Policy holds the thresholds of a Tracker.
type Policy struct {
	// SuspectAfter and EjectAfter are failure scores. Each failure adds 1 and each
	// timeout 2; each success halves the score, and it decays with HalfLife.
	SuspectAfter float64
	EjectAfter   float64
	HalfLife     time.Duration
	// HoldDown is the duration of the first ejection; it doubles up to MaxHoldDown.
	HoldDown    time.Duration
	MaxHoldDown time.Duration
	// Jitter is the largest random addition to a hold-down, as a fraction of it.
	Jitter float64
	// TrialsToReturn is how many consecutive trials must succeed.
	TrialsToReturn int
	// SlowStart is how long a recovered server takes to return to full traffic.
	SlowStart time.Duration
	// MaxEjectedFraction is the largest fraction of the servers ejected at a time.
	MaxEjectedFraction float64
	// SlowFactor is the multiple of its peers' median latency above which a server is
	// an outlier. It becomes suspect after being one for SlowAfter.
	SlowFactor float64
	SlowAfter  time.Duration
	// SilenceTimeout is how long a server may send no first token while some are
	// pending. It is extended to SilenceFactor times the expected wait.
	SilenceTimeout time.Duration
	SilenceFactor  float64
	// EjectionDecay is the healthy time after which one doubling of the hold-down is
	// forgotten.
	EjectionDecay time.Duration
}

// DefaultPolicy is the policy of gateways.
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

// minimumWeight is the traffic weight of a server that has just recovered.
const minimumWeight = 0.1

// latencyWeight is the weight of a new sample in the moving average of latency.
const latencyWeight = 0.1

// Scores added by failures.
const (
	scorePerFailure = 1
	scorePerTimeout = 2
)

// record is the state of one server.
type record struct {
	state           State
	failures        float64
	decayedAt       time.Duration
	ejections       int
	ejectedUntil    time.Duration
	trialRunning    bool
	trialsPassed    int
	recoveredAt     time.Duration
	recovered       bool
	healthySince    time.Duration
	latency         float64
	samples         int
	outlierSince    time.Duration
	slow            bool
	ejectionPending bool
	silence         silence
	// hasEvidence is set if the server is in Tracker.withEvidence.
	hasEvidence bool
}

// Tracker tracks the health of servers, which are identified by index.
type Tracker struct {
	policy  Policy
	records []record
	ejected int
	scratch []float64
	// withEvidence lists the servers with evidence in ascending order. Evaluate only
	// visits these, because a process of a site with 10,000 servers uses a few of them each second.
	withEvidence []int
}

// NewTracker returns a tracker of the given number of healthy servers.
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
		place, _ := slices.BinarySearch(t.withEvidence, servers)
		t.withEvidence = t.withEvidence[:place]
		return
	}
	t.records = append(t.records, make([]record, servers-len(t.records))...)
}

// Forget makes a server healthy and clears its history, for a server that was
// replaced.
func (t *Tracker) Forget(server int) {
	if t.records[server].state == Ejected {
		t.ejected--
	}
	t.records[server] = record{hasEvidence: t.records[server].hasEvidence}
}

// recordWithEvidence returns the record of a server and lists it as having evidence.
func (t *Tracker) recordWithEvidence(server int) *record {
	entry := &t.records[server]
	if !entry.hasEvidence {
		entry.hasEvidence = true
		place, _ := slices.BinarySearch(t.withEvidence, server)
		t.withEvidence = slices.Insert(t.withEvidence, place, server)
	}
	return entry
}

// Record records the outcome of an exchange with a server. Latency is the time to
// the first token or the response headers; zero if not measured.
func (t *Tracker) Record(server int, outcome Outcome, latency, now time.Duration, random *rand.Rand) {
	entry := t.recordWithEvidence(server)
	entry.decay(now, t.policy.HalfLife)
	switch outcome {
	case Success:
		t.recordSuccess(entry, latency, now)
	case Failure:
		t.recordFailure(entry, scorePerFailure, now, random)
	case Timeout:
		t.recordFailure(entry, scorePerTimeout, now, random)
	case Refused:
		entry.trialRunning = false
	}
}

func (r *record) decay(now, halfLife time.Duration) {
	elapsed := now - r.decayedAt
	r.decayedAt = now
	if elapsed <= 0 || halfLife <= 0 || r.failures == 0 {
		return
	}
	r.failures *= math.Exp2(-float64(elapsed) / float64(halfLife))
}

func (t *Tracker) recordSuccess(entry *record, latency, now time.Duration) {
	entry.failures /= 2
	entry.recordLatency(latency)
	if entry.state == Ejected {
		t.passTrial(entry, now)
		return
	}
	entry.ejectionPending = entry.ejectionPending && entry.failures >= t.policy.EjectAfter
	if entry.state == Suspect && entry.failures < t.policy.SuspectAfter/2 && !entry.slow {
		entry.state = Healthy
		entry.healthySince = now
	}
}

func (r *record) recordLatency(latency time.Duration) {
	if latency <= 0 {
		return
	}
	r.samples++
	weight := max(latencyWeight, 1/float64(r.samples))
	r.latency += weight * (float64(latency) - r.latency)
}

func (t *Tracker) passTrial(entry *record, now time.Duration) {
	if !entry.trialRunning {
		return
	}
	entry.trialRunning = false
	entry.trialsPassed++
	if entry.trialsPassed < t.policy.TrialsToReturn {
		return
	}
	t.ejected--
	ejections := entry.ejections
	*entry = record{hasEvidence: true, ejections: ejections, recovered: true, recoveredAt: now, healthySince: now, decayedAt: now, silence: entry.silence}
}

func (t *Tracker) recordFailure(entry *record, weight float64, now time.Duration, random *rand.Rand) {
	if entry.state == Ejected {
		if entry.trialRunning {
			t.startHoldDown(entry, now, random)
		}
		return
	}
	entry.failures += weight
	if entry.failures >= t.policy.EjectAfter {
		entry.state = Suspect
		entry.ejectionPending = true
		t.tryEject(entry, now, random)
		return
	}
	if entry.failures >= t.policy.SuspectAfter {
		entry.state = Suspect
	}
}

// tryEject ejects a server unless that would exceed MaxEjectedFraction; then it
// stays suspect.
func (t *Tracker) tryEject(entry *record, now time.Duration, random *rand.Rand) {
	if float64(t.ejected+1) > t.policy.MaxEjectedFraction*float64(len(t.records)) {
		return
	}
	t.ejected++
	entry.state = Ejected
	entry.ejectionPending = false
	t.startHoldDown(entry, now, random)
}

// maximumDoublings bounds the exponent of the hold-down.
const maximumDoublings = 16

func (t *Tracker) startHoldDown(entry *record, now time.Duration, random *rand.Rand) {
	doublings := min(entry.ejections, maximumDoublings)
	entry.ejections++
	hold := min(t.policy.HoldDown<<doublings, t.policy.MaxHoldDown)
	jitter := time.Duration(t.policy.Jitter * random.Float64() * float64(hold))
	entry.ejectedUntil = now + hold + jitter
	entry.trialRunning = false
	entry.trialsPassed = 0
}

// StartTrial reports whether a request may be sent to an ejected server as a trial,
// and starts the trial. Its outcome must be recorded, or the trial abandoned.
func (t *Tracker) StartTrial(server int, now time.Duration) bool {
	entry := &t.records[server]
	if entry.state != Ejected || entry.trialRunning || now < entry.ejectedUntil {
		return false
	}
	entry.trialRunning = true
	return true
}

// AbandonTrial ends a trial that says nothing about the server, so that another one may start.
func (t *Tracker) AbandonTrial(server int) {
	t.records[server].trialRunning = false
}

// State returns the state of a server and its traffic weight, which is greater than
// 0 and rises to 1 during the slow start.
func (t *Tracker) State(server int, now time.Duration) (State, float32) {
	entry := &t.records[server]
	if !entry.recovered || t.policy.SlowStart <= 0 {
		return entry.state, 1
	}
	fraction := float64(now-entry.recoveredAt) / float64(t.policy.SlowStart)
	return entry.state, float32(min(1, max(minimumWeight, fraction)))
}

// Failing reports whether a server is suspect or ejected because of failures or
// silence, as opposed to slowness. It is false once an ejected server may get a
// trial.
func (t *Tracker) Failing(server int, now time.Duration) bool {
	entry := &t.records[server]
	switch entry.state {
	case Suspect:
		return entry.failures >= t.policy.SuspectAfter/2
	case Ejected:
		return now < entry.ejectedUntil
	}
	return false
}

// Ejected returns the number of ejected servers.
func (t *Tracker) Ejected() int {
	return t.ejected
}
