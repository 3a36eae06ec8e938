// Package overload decides when an overloaded router sends clients to other routers, and how.
//
// Load is uneven: clients choose routers by a hash, and the processors and links of the
// machines in a zone differ by up to a factor of three. An overloaded router delays all of its
// clients although others have capacity. The same applies to machines that are slowed for
// longer than seconds. Freezes and bursts of about a second are ignored, because they
// are over before clients could move.
//
// A router is overloaded if most samples in a window show a shortage of the same resource. It
// then asks some of its clients to reconnect, which may lead them to another router. If the
// overload continues, it also reports itself as not ready for new clients when it is its turn.
// Turns follow from the clock and the router's position in its zone and need no messages: at
// any moment at most a quarter of a zone's routers have their turn, and none in a small zone.
//
// Detector is not safe for concurrent use.
package overload

import "time"

// Interval is the average time between two samples. It is short enough to detect delays of
// MaxTimerDelay and costs a thousandth of the smallest machine's processor.
const Interval = 100 * time.Millisecond

const (
	// window is the number of samples that are evaluated together. Its 2 s are longer than
	// bursts that callers tolerate, and about as long as clients need to move to another
	// router.
	window = 20
	// MaxTimerDelay is the timer delay that shows a processor shortage. A request
	// passes through the router some four times, so the delays add up to half of the
	// shortest latency objective.
	MaxTimerDelay = 40 * time.Millisecond
	// memoryFraction is the used fraction of the relay memory that shows a memory shortage.
	// From this fraction, large bodies are refused.
	memoryFraction = 0.75
	// descriptorFraction is the used fraction of the file descriptors that shows a shortage.
	// The rest is left for reconnecting to all servers.
	descriptorFraction = 0.8
	// maxSendTime is how long sending the unread bytes may take before the link counts as
	// short: a third of the shortest latency objective.
	maxSendTime = 100 * time.Millisecond
	// behindFraction is the fraction of requests whose clients are behind that shows a shortage
	// of the link; below it, the clients themselves are slow.
	behindFraction = 0.5
	// minimumBehind is how many clients must be behind for that, because a few slow clients
	// of an idle router are not evidence of a slow link.
	minimumBehind = 8
	// unreadyAfter is how long a router is overloaded before it reports itself as not ready,
	// so that closing connections has time to take effect.
	unreadyAfter = 4 * time.Second
	// recoveryTime is how long there must be no shortage before all clients are accepted again.
	recoveryTime = 5 * time.Second
	// turnDuration is how long a turn lasts: the platform needs two readiness probes, a second
	// apart, and clients need a few seconds to move.
	turnDuration = 6 * time.Second
	// turns is the number of turns. A quarter of the zone's routers have their turn at the
	// same time, so that three quarters stay ready even if all are overloaded.
	turns = 4
	// minimumRouters is the smallest zone in which routers have turns.
	minimumRouters = 4
	// CloseOneIn is the number of responses of an overloaded router per response that asks its
	// client to reconnect. With ten requests a second per connection, half of the clients
	// leave within a second; with one request in ten seconds, within a minute.
	CloseOneIn = 8
)

// Shortage is the resource that a router is short of.
type Shortage string

// The resources.
const (
	None        Shortage = ""
	Processor   Shortage = "processor"
	Link        Shortage = "link"
	Memory      Shortage = "memory"
	Descriptors Shortage = "descriptors"
)

// shortages lists them in order of precedence.
var shortages = []Shortage{Processor, Memory, Descriptors, Link}

// Sample is a measurement of a router's load.
type Sample struct {
	// TimerDelay is how late the sampling timer fired.
	TimerDelay time.Duration
	// MemoryFraction and DescriptorFraction are the used fractions of the relay memory and
	// the file descriptors.
	MemoryFraction, DescriptorFraction float64
	// InProgress is the number of requests, and Behind the number of clients with unread
	// bytes.
	InProgress, Behind int
	// SendTime is how long sending the unread bytes would take, zero if the link's rate is
	// unknown.
	SendTime time.Duration
}

// shows reports whether the sample shows a shortage.
func (s Sample) shows(shortage Shortage) bool {
	switch shortage {
	case Processor:
		return s.TimerDelay >= MaxTimerDelay
	case Memory:
		return s.MemoryFraction >= memoryFraction
	case Descriptors:
		return s.DescriptorFraction >= descriptorFraction
	case Link:
		return s.SendTime >= maxSendTime && s.Behind >= minimumBehind && float64(s.Behind) >= behindFraction*float64(s.InProgress)
	}
	return false
}

// ZonePosition is the position of a router among the routers of its zone.
type ZonePosition struct {
	// Position is the router's index in the order of their names, and Routers their number.
	Position, Routers int
}

// Advice is what a router should do.
type Advice struct {
	// Shortage is the reason, None if nothing should be done.
	Shortage Shortage
	// Close is set if one in CloseOneIn responses should ask the client to reconnect.
	Close bool
	// Unready is set if the router should report itself as not ready.
	Unready bool
}

// Detector detects the overload of one router.
type Detector struct {
	samples []Sample
	next    int
	// overloadedSince is when the overload began, and lastShort when a shortage was last detected.
	overloadedSince, lastShort time.Time
	shortage                   Shortage
}

// Observe adds a sample and returns what to do until the next one.
func (d *Detector) Observe(sample Sample, position ZonePosition, now time.Time) Advice {
	d.add(sample)
	if shortage := d.current(); shortage != None {
		if d.shortage == None {
			d.overloadedSince = now
		}
		d.shortage, d.lastShort = shortage, now
	}
	if d.shortage == None || now.Sub(d.lastShort) >= recoveryTime {
		d.shortage = None
		return Advice{}
	}
	overloadedLong := now.Sub(d.overloadedSince) >= unreadyAfter
	return Advice{Shortage: d.shortage, Close: true, Unready: overloadedLong && position.hasTurn(now)}
}

func (d *Detector) add(sample Sample) {
	if len(d.samples) < window {
		d.samples = append(d.samples, sample)
		return
	}
	d.samples[d.next] = sample
	d.next = (d.next + 1) % window
}

// current returns the shortage that most samples of a full window show.
func (d *Detector) current() Shortage {
	if len(d.samples) < window {
		return None
	}
	for _, shortage := range shortages {
		count := 0
		for _, sample := range d.samples {
			if sample.shows(shortage) {
				count++
			}
		}
		if count > window/2 {
			return shortage
		}
	}
	return None
}

// hasTurn reports whether the router may report itself as not ready now.
func (z ZonePosition) hasTurn(now time.Time) bool {
	if z.Routers < minimumRouters {
		return false
	}
	most := z.Routers / turns
	cycle := (z.Routers + most - 1) / most
	turn := now.UnixNano() / int64(turnDuration)
	return (int64(z.Position)+turn)%int64(cycle) == 0
}
