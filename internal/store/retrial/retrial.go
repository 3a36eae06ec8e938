// Package retrial decides when a store runs items again that are quarantined because servers crashed while they
// ran. Items are handed in to be done later, and most of them only ran on servers that crashed for another reason,
// so one that is held is tried again once no server crashes any more. The package is pure.
//
// Each trial may cost a server. Trials of the same content or prompt part are delayed more and more if they crash
// servers while no other server crashes, and few trials run at the same time until some have succeeded.
package retrial

import (
	"slices"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fingerprint"
)

const (
	// calmTime is the time without a crash after which held items are tried, and calmSpread the time by which
	// the stores of a site differ: the first ones show the others whether a part that their items share
	// crashes servers.
	calmTime   = 3 * time.Second
	calmSpread = 2 * time.Second
	// coincidenceBefore and coincidenceAfter are the times before and after the crash of a trial's server within
	// which the directory shows crashes with the same cause: it shows them when the servers are back.
	coincidenceBefore = time.Second
	coincidenceAfter  = 2 * time.Second
	// coincidentCrashes is how many other servers must crash for the crash of a trial's server not to count
	// against it, and maxExcused how often in a row it may not count.
	coincidentCrashes = 2
	maxExcused        = 5
	// grantLifetime is how long a granted item may wait for a server.
	grantLifetime = 15 * time.Second
	// refusedDelay is the delay after a trial that no server ran.
	refusedDelay = 500 * time.Millisecond
	// initialTrials and maxTrials bound the trials at the same time. The bound doubles with each success.
	initialTrials = 2
	maxTrials     = 32
	// maxKeys bounds the remembered contents and parts. Beyond it, all of them are forgotten.
	maxKeys = 4096
	// maxCrashes bounds the remembered crashes.
	maxCrashes = 64
)

// backoff is the delay after a trial whose server crashed while no other one did, by the number of such trials.
var backoff = []time.Duration{20 * time.Second, 2 * time.Minute, 10 * time.Minute}

// Outcome is how a trial ended.
type Outcome int

// The outcomes of a trial.
const (
	// Succeeded: the item is done, or failed without harm to its server.
	Succeeded Outcome = iota
	// NotRun: no server ran the item, or it was stopped.
	NotRun
	// Crashed: the connection to the server broke, or it sent something that is no response.
	Crashed
)

// Tracker decides on trials. It is not safe for concurrent use.
type Tracker struct {
	calm    time.Duration
	view    *directory.View
	crashes []crash
	keys    map[fingerprint.Fingerprint]*key
	// limit bounds the trials in progress.
	limit   int
	running map[*Trial]struct{}
}

// crash is the end of a server that had not announced it.
type crash struct {
	server string
	at     time.Time
	// trial reports that the server ran a trial.
	trial bool
}

// key is what is known of a content or a part.
type key struct {
	notBefore time.Time
	// failures counts the trials whose servers crashed alone, and excused those since that crashed with others.
	failures, excused int
	// crashedAt is when the server of the last trial crashed, until it is known whether it crashed alone.
	crashedAt time.Time
}

// Trial is the permission to run an item once although it is held.
type Trial struct {
	keys      []fingerprint.Fingerprint
	grantedAt time.Time
	started   bool
}

// NewTracker returns a tracker. The random number in [0, 1) spreads the trials of the stores of a site.
func NewTracker(random float64) *Tracker {
	return &Tracker{
		calm: calmTime + time.Duration(random*float64(calmSpread)), keys: make(map[fingerprint.Fingerprint]*key),
		limit: initialTrials, running: make(map[*Trial]struct{}),
	}
}

// Observe notes which servers have crashed since the last view, nil if there is none. Silent servers are passed
// over: the directory shows silence some seconds late, and a server that is cut off is silent as well.
func (t *Tracker) Observe(view *directory.View, now time.Time) {
	if view == nil || view == t.view {
		return
	}
	if t.view == nil {
		// Crashes before the first view are unknown, so the site is not known to be calm.
		t.addCrash(crash{at: now, trial: true})
		t.view = view
		return
	}
	for _, server := range view.ChangeFrom(t.view).Servers() {
		if id := server.GetId(); view.Replaced(id) && !t.view.Replaced(id) {
			t.addCrash(crash{server: id, at: now})
		}
	}
	t.view = view
}

// ServerCrashed notes that a server has crashed, which the directory may show later.
func (t *Tracker) ServerCrashed(server string, now time.Time) {
	t.addCrash(crash{server: server, at: now})
}

// addCrash notes a crash. A server crashes once.
func (t *Tracker) addCrash(added crash) {
	for place, known := range t.crashes {
		if known.server == added.server {
			t.crashes[place].trial = known.trial || added.trial
			return
		}
	}
	t.crashes = append(t.crashes, added)
	if surplus := len(t.crashes) - maxCrashes; surplus > 0 {
		t.crashes = slices.Delete(t.crashes, 0, surplus)
	}
}

// Grant returns the permission for a trial of an item that is held for the given contents and parts, or nil if it
// has to wait.
func (t *Tracker) Grant(keys []fingerprint.Fingerprint, now time.Time) *Trial {
	if t.view == nil || now.Sub(t.lastCrash()) < t.calm {
		return nil
	}
	for trial := range t.running {
		if !trial.started && now.Sub(trial.grantedAt) >= grantLifetime {
			delete(t.running, trial)
			continue
		}
		// A trial shows whether the others with the same content or part may run.
		if slices.ContainsFunc(keys, func(held fingerprint.Fingerprint) bool { return slices.Contains(trial.keys, held) }) {
			return nil
		}
	}
	if len(t.running) >= t.limit || slices.ContainsFunc(keys, func(held fingerprint.Fingerprint) bool { return t.mustWait(held, now) }) {
		return nil
	}
	trial := &Trial{keys: slices.Clone(keys), grantedAt: now}
	t.running[trial] = struct{}{}
	return trial
}

// mustWait reports whether a content or part is not tried yet, and decides whether the last trial counts against it.
func (t *Tracker) mustWait(held fingerprint.Fingerprint, now time.Time) bool {
	known := t.keys[held]
	if known == nil {
		return false
	}
	if !known.crashedAt.IsZero() {
		if t.crashedAlone(known.crashedAt) || known.excused >= maxExcused {
			known.notBefore = known.crashedAt.Add(backoff[min(known.failures, len(backoff)-1)])
			known.failures, known.excused = known.failures+1, 0
		} else {
			known.excused++
		}
		known.crashedAt = time.Time{}
	}
	return now.Before(known.notBefore)
}

// crashedAlone reports whether the server of a trial crashed while too few others did.
func (t *Tracker) crashedAlone(at time.Time) bool {
	others := 0
	for _, each := range t.crashes {
		if !each.trial && !each.at.Before(at.Add(-coincidenceBefore)) && each.at.Before(at.Add(coincidenceAfter)) {
			others++
		}
	}
	return others < coincidentCrashes
}

// lastCrash returns when a server last crashed.
func (t *Tracker) lastCrash() time.Time {
	if len(t.crashes) == 0 {
		return time.Time{}
	}
	return t.crashes[len(t.crashes)-1].at
}

// Valid reports whether an item may still start by a trial that it has not used.
func (t *Tracker) Valid(trial *Trial, now time.Time) bool {
	return trial != nil && !trial.started && now.Sub(trial.grantedAt) < grantLifetime && now.Sub(t.lastCrash()) >= t.calm
}

// Withdraw ends a trial that has not started, nil if there is none.
func (t *Tracker) Withdraw(trial *Trial) {
	if trial != nil && !trial.started {
		delete(t.running, trial)
	}
}

// Start notes that the item of a trial runs.
func (t *Tracker) Start(trial *Trial) { trial.started = true }

// End ends a trial at a server.
func (t *Tracker) End(trial *Trial, server string, outcome Outcome, now time.Time) {
	delete(t.running, trial)
	switch {
	case outcome == Succeeded:
		t.limit = min(2*t.limit, maxTrials)
		for _, held := range trial.keys {
			delete(t.keys, held)
		}
		return
	case outcome == NotRun:
		t.delay(trial.keys, refusedDelay, now)
		return
	}
	t.limit = initialTrials
	for _, held := range trial.keys {
		t.key(held).crashedAt = now
	}
	// The directory shows the crash later.
	t.addCrash(crash{server: server, at: now, trial: true})
}

func (t *Tracker) delay(keys []fingerprint.Fingerprint, duration time.Duration, now time.Time) {
	for _, held := range keys {
		t.key(held).notBefore = now.Add(duration)
	}
}

// key returns the record of a content or part.
func (t *Tracker) key(held fingerprint.Fingerprint) *key {
	known := t.keys[held]
	if known == nil {
		if len(t.keys) >= maxKeys {
			clear(t.keys)
		}
		known = &key{}
		t.keys[held] = known
	}
	return known
}
