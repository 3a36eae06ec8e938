// Package relief decides when a router that is short of what it runs on sends clients
// elsewhere, and how.
//
// It answers uneven load: clients come to routers by a hash, so that shares differ, and
// machines of one zone differ by three times in processor and link. A router that is short
// is late for all of its clients, while others beside it have room. It answers machines that
// are slowed for longer than seconds in the same way. A freeze, or a burst of a second, is
// over before clients could have moved, and is no ground.
//
// What a router lacks is judged over a window of samples. Short in most of a window, it asks
// some of its clients to come anew (they may reach another router); short for longer, it also
// says that it is not ready for new clients, when it is its turn. Turns go by the clock and
// the router's place among those of its zone, so that no messages are needed: at any moment
// a quarter of a zone's routers at most have their turn, and none where there are few.
//
// Judge is not safe for concurrent use.
package relief

import "time"

// Interval is the time between two samples: short enough to see a lateness of LateTimer, at a
// thousandth of the smallest machine's processor.
const Interval = 100 * time.Millisecond

const (
	// window is over how many samples a lack is judged. 2 s are four times what a burst of
	// requests takes that is worked off within callers' objectives of 300 to 400 ms, and the
	// shortest time after which clients that left have come to another router.
	window = 20
	// MaxTimerDelay is how late a timer is on a machine short of processor: a request passes
	// through the router some four times on its way, which adds up to half of the shortest
	// objective.
	MaxTimerDelay = 40 * time.Millisecond
	// memoryPart is the part of the budget for slow readers from which memory is short: the
	// part from which large bodies are refused.
	memoryPart = 0.75
	// descriptorPart is the part of the descriptors from which they are short: what is left
	// serves for reconnects to all servers.
	descriptorPart = 0.8
	// unsentTime is how long the bytes that wait for clients need on the link, from which the
	// link is short: a third of the shortest objective.
	unsentTime = 100 * time.Millisecond
	// behindPart is the part of requests in progress whose clients are behind from which
	// that is the link's lack and not the clients'.
	behindPart = 0.5
	// leastBehind is how many clients must be behind for that: fewer slow clients of a router
	// with little else to do say nothing of its link.
	leastBehind = 8
	// turnAfter is how long a router is short before it says that it is not ready: closing
	// connections has had time to help.
	turnAfter = 4 * time.Second
	// calmAfter is how long a router must not be short to take all clients again.
	calmAfter = 5 * time.Second
	// turnLength is how long a turn lasts: the platform needs two questions to notice, a
	// second apart, and clients that come then a few seconds to spread.
	turnLength = 6 * time.Second
	// turns is how many turns there are: a quarter of the zone's routers have theirs at once,
	// so that three quarters stay ready even if all are short.
	turns = 4
	// leastRouters is how many routers a zone needs for any to have a turn.
	leastRouters = 4
	// CloseOneIn is how many answers a router that is short gives for one that asks its client
	// to come anew: with ten requests a second on each connection half of the clients go in
	// a second, with one request in ten seconds half of them in a minute.
	CloseOneIn = 8
)

// Shortage is what a router is short of.
type Shortage string

// The lacks.
const (
	None        Shortage = ""
	Processor   Shortage = "processor"
	Link        Shortage = "link"
	Memory      Shortage = "memory"
	Descriptors Shortage = "descriptors"
)

// lacks lists them in the order in which they are told.
var lacks = []Shortage{Processor, Memory, Descriptors, Link}

// Sample is what a router measured at one moment.
type Sample struct {
	// TimerDelay is how late its timer was.
	TimerDelay time.Duration
	// MemoryFraction and DescriptorFraction are the parts of its budget and descriptors in use.
	MemoryFraction, DescriptorFraction float64
	// InProgress is how many requests it has, and Behind the clients among theirs that have
	// not read what there is for them.
	InProgress, Behind int
	// SendTime is how long what waits for clients needs on the link; zero where the link's rate
	// is not known.
	SendTime time.Duration
}

// short tells whether the sample shows a lack.
func (s Sample) short(lack Shortage) bool {
	switch lack {
	case Processor:
		return s.TimerDelay >= MaxTimerDelay
	case Memory:
		return s.MemoryFraction >= memoryPart
	case Descriptors:
		return s.DescriptorFraction >= descriptorPart
	case Link:
		return s.SendTime >= unsentTime && s.Behind >= leastBehind && float64(s.Behind) >= behindPart*float64(s.InProgress)
	}
	return false
}

// ZonePosition is the place of a router among those of its zone.
type ZonePosition struct {
	// Position of the router in the order of their names, and how many Routers there are.
	Position, Routers int
}

// Advice is what a router does.
type Advice struct {
	// Shortage is what it is short of, None where it does nothing.
	Shortage Shortage
	// Close has one of CloseOneIn answers ask the client to come anew.
	Close bool
	// Unready has it say that it is not ready.
	Unready bool
}

// Detector judges one router.
type Detector struct {
	samples []Sample
	next    int
	// began is when the router became short, and lasted until when it was; zero while it is
	// not.
	began, lasted time.Time
	lack          Shortage
}

// Observe takes a sample and returns what to do until the next one.
func (j *Detector) Observe(sample Sample, zone ZonePosition, now time.Time) Advice {
	j.add(sample)
	if lack := j.lacking(); lack != None {
		if j.lack == None {
			j.began = now
		}
		j.lack, j.lasted = lack, now
	}
	if j.lack == None || now.Sub(j.lasted) >= calmAfter {
		j.lack = None
		return Advice{}
	}
	longShort := now.Sub(j.began) >= turnAfter
	return Advice{Shortage: j.lack, Close: true, Unready: longShort && zone.hasTurn(now)}
}

func (j *Detector) add(sample Sample) {
	if len(j.samples) < window {
		j.samples = append(j.samples, sample)
		return
	}
	j.samples[j.next] = sample
	j.next = (j.next + 1) % window
}

// lacking is what most of a whole window shows a lack of.
func (j *Detector) lacking() Shortage {
	if len(j.samples) < window {
		return None
	}
	for _, lack := range lacks {
		count := 0
		for _, sample := range j.samples {
			if sample.short(lack) {
				count++
			}
		}
		if count > window/2 {
			return lack
		}
	}
	return None
}

// hasTurn tells whether the router may say now that it is not ready.
func (z ZonePosition) hasTurn(now time.Time) bool {
	if z.Routers < leastRouters {
		return false
	}
	most := z.Routers / turns
	cycle := (z.Routers + most - 1) / most
	turn := now.UnixNano() / int64(turnLength)
	return (int64(z.Position)+turn)%int64(cycle) == 0
}
