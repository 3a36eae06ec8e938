// Package continuation decides which runs are copied to a second server while they run, so
// that they can go on there when their server ends. Only requests that may run once need it:
// others run again. The package is pure: time comes in the calls.
//
// A copy costs memory and transfers at servers that other requests use, and most runs never
// need theirs. So the chance that a run ends with its server is estimated from the ends that
// were seen lately, at the service and at the server's address.
package continuation

import (
	"slices"
	"time"
)

// Mode says which runs are copied.
type Mode int

// The ways.
const (
	// None copies no run.
	None Mode = iota
	// Selective copies the runs that are likely enough to end with their server.
	Selective
	// All copies every run.
	All
)

const (
	// window is for how long the end of a server counts: ends come in series, of servers that
	// go down and up, of machines that are taken away one after the other.
	window = 30 * time.Second
	// leastChance is the chance to end with its server from which on a run is copied: callers
	// that are served for 999 of 1,000 requests otherwise would lose as many again.
	leastChance = 1.0 / 1000
	// typicalRun is how long a run is taken to be before any has ended, and runWeight the
	// weight of one run in the running mean.
	typicalRun = time.Second
	runWeight  = 0.05
	// fewestOfZone and mostOfZone tell when a zone fails, not single servers: so many ends, and
	// such a part of all.
	fewestOfZone = 3
	mostOfZone   = 2.0 / 3
)

// Server is one incarnation of a server as the directory shows it.
type Server struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Ended tells that it ended without having said so.
	Ended bool
}

// end is the end of one server.
type end struct {
	at      time.Duration
	address string
	zone    string
}

// service is what is known of the servers of one service.
type service struct {
	serving int
	ends    []end
	run     time.Duration
}

// Tracker follows the servers of a site. It belongs to one goroutine at a time.
type Tracker struct {
	way      Mode
	services map[string]*service
}

// NewTracker returns a watch that has seen no server.
func NewTracker(way Mode) *Tracker {
	return &Tracker{way: way, services: make(map[string]*service)}
}

// Update takes that an incarnation in the directory is other than before; nil is one that it does
// not hold.
func (w *Tracker) Update(before, after *Server, now time.Duration) {
	if before != nil && !before.Ended {
		w.service(before.Service).serving--
	}
	if after == nil {
		return
	}
	known := w.service(after.Service)
	if !after.Ended {
		known.serving++
		return
	}
	if before == nil || !before.Ended {
		known.ends = slices.DeleteFunc(known.ends, func(each end) bool { return now-each.at > window })
		known.ends = append(known.ends, end{at: now, address: after.Address, zone: after.Zone})
	}
}

func (w *Tracker) service(name string) *service {
	known := w.services[name]
	if known == nil {
		known = &service{run: typicalRun}
		w.services[name] = known
	}
	return known
}

// RecordRun takes how long a run of a service took that ended well.
func (w *Tracker) RecordRun(name string, took time.Duration) {
	known := w.service(name)
	known.run += time.Duration(runWeight * float64(took-known.run))
}

// Run is a run that is about to begin.
type Run struct {
	Service string
	// Address and Zone are those of its server.
	Address string
	Zone    string
}

// Plan is what is done about a run.
type Plan struct {
	copied    bool
	otherZone bool
	chance    float64
}

// Copied tells whether the run is copied.
func (p Plan) Copied() bool { return p.copied }

// OtherZone tells that the copy has to be in another zone than the run. Otherwise one in the
// same zone is as good, and its way is shorter.
func (p Plan) OtherZone() bool { return p.otherZone }

// Chance is the estimated chance that the run ends with its server.
func (p Plan) Chance() float64 { return p.chance }

// Plan decides about a run.
func (w *Tracker) Plan(run Run, now time.Duration) Plan {
	known := w.service(run.Service)
	recent, here, inZone := 0, 0, 0
	for _, each := range known.ends {
		if now-each.at > window {
			continue
		}
		recent++
		if each.address == run.Address {
			here++
		}
		if each.zone == run.Zone {
			inZone++
		}
	}
	// How often a server ends: each of the service, and the one at this address.
	ofService := float64(recent) / float64(max(1, known.serving))
	chance := min(1, max(ofService, float64(here))*float64(known.run)/float64(window))
	return Plan{
		copied:    w.way == All || (w.way == Selective && chance >= leastChance),
		otherZone: inZone >= fewestOfZone && float64(inZone) >= mostOfZone*float64(recent),
		chance:    chance,
	}
}
