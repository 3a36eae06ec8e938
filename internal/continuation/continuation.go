// Package continuation decides which running requests are copied to a second server, so that
// they can continue there if their server fails. Only requests that must not run twice need a
// copy; others are simply retried. The package does no I/O; the caller passes the time.
//
// A copy uses memory and bandwidth on servers, and most copies are never used. The chance that
// a run's server fails is therefore estimated from the recent failures at the service and at
// the server's address.
package continuation

import (
	"slices"
	"time"
)

// Mode selects the runs to copy.
type Mode int

// Modes.
const (
	// None disables copies.
	None Mode = iota
	// Selective copies the runs whose server is likely enough to fail.
	Selective
	// All copies every run.
	All
)

const (
	// window is how long a server failure counts. Failures come in series, as of a crash loop
	// or of machines that are removed one after the other.
	window = 30 * time.Second
	// minCopyChance is the estimated chance of a server failure from which a run is copied. Callers that
	// otherwise are served for 999 of 1,000 requests would lose as many again.
	minCopyChance = 1.0 / 1000
	// initialRunTime is the assumed duration of a run before any has completed, and
	// runTimeWeight the weight of one run in the moving average.
	initialRunTime = time.Second
	runTimeWeight  = 0.05
	// A zone is failing, rather than single servers, if it has at least minZoneFailures recent
	// failures and zoneFailureFraction of all of them.
	minZoneFailures     = 3
	zoneFailureFraction = 2.0 / 3
)

// Server is one incarnation of a server in the directory.
type Server struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Ended reports whether the server went down without announcing it.
	Ended bool
}

type failure struct {
	at      time.Duration
	address string
	zone    string
}

// service holds the statistics of one service.
type service struct {
	serving     int
	failures    []failure
	meanRunTime time.Duration
}

// Tracker tracks the servers of a site. It is not safe for concurrent use.
type Tracker struct {
	mode     Mode
	services map[string]*service
}

// NewTracker returns a tracker without servers.
func NewTracker(mode Mode) *Tracker {
	return &Tracker{mode: mode, services: make(map[string]*service)}
}

// Update records a change of a server in the directory. A nil value means that the directory
// does not list the server.
func (t *Tracker) Update(before, after *Server, now time.Duration) {
	if before != nil && !before.Ended {
		t.service(before.Service).serving--
	}
	if after == nil {
		return
	}
	stats := t.service(after.Service)
	if !after.Ended {
		stats.serving++
		return
	}
	if before == nil || !before.Ended {
		stats.failures = slices.DeleteFunc(stats.failures, func(f failure) bool { return now-f.at > window })
		stats.failures = append(stats.failures, failure{at: now, address: after.Address, zone: after.Zone})
	}
}

func (t *Tracker) service(name string) *service {
	stats := t.services[name]
	if stats == nil {
		stats = &service{meanRunTime: initialRunTime}
		t.services[name] = stats
	}
	return stats
}

// RecordRun records the duration of a successful run.
func (t *Tracker) RecordRun(name string, duration time.Duration) {
	stats := t.service(name)
	stats.meanRunTime += time.Duration(runTimeWeight * float64(duration-stats.meanRunTime))
}

// Run is a run that is about to start.
type Run struct {
	Service string
	// Address and Zone are those of the server.
	Address string
	Zone    string
}

// Plan is the decision about one run.
type Plan struct {
	copied    bool
	otherZone bool
	chance    float64
}

// Copied reports whether the run is copied.
func (p Plan) Copied() bool { return p.copied }

// OtherZone reports whether the copy must be in another zone than the run. Otherwise the same
// zone is preferred for its lower latency.
func (p Plan) OtherZone() bool { return p.otherZone }

// Chance returns the estimated chance that the run's server fails during the run.
func (p Plan) Chance() float64 { return p.chance }

// Plan decides whether a run is copied.
func (t *Tracker) Plan(run Run, now time.Duration) Plan {
	stats := t.service(run.Service)
	recent, atAddress, inZone := 0, 0, 0
	for _, f := range stats.failures {
		if now-f.at > window {
			continue
		}
		recent++
		if f.address == run.Address {
			atAddress++
		}
		if f.zone == run.Zone {
			inZone++
		}
	}
	// Failure rate of the servers of the service, and of the one at this address.
	failureRate := float64(recent) / float64(max(1, stats.serving))
	chance := min(1, max(failureRate, float64(atAddress))*float64(stats.meanRunTime)/float64(window))
	return Plan{
		copied:    t.mode == All || (t.mode == Selective && chance >= minCopyChance),
		otherZone: inZone >= minZoneFailures && float64(inZone) >= zoneFailureFraction*float64(recent),
		chance:    chance,
	}
}
