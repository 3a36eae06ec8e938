package overload

import "time"

const (
	// ownDescriptors is how many file descriptors the process needs beside clients, for its files and its
	// connections to other processes of the site. They are kept free of the descriptors beyond
	// fewDescriptors.
	ownDescriptors = 32
	fewDescriptors = 64
	// DescriptorsPerClient is how many file descriptors a client needs: its connection and one to the server.
	DescriptorsPerClient = 2
	// connectionBytes is the memory of a connection with a request in progress, beside the bodies: a stack,
	// the buffers of the HTTP server, the headers, and those of the connection to the server. Connections
	// may use connectionMemoryFraction of the memory.
	connectionBytes          = 48 << 10
	connectionMemoryFraction = 0.35
	// floodWindow is the time over which new connections are counted. There is a flood if at least
	// minFloodRate come in it, which a small part of a processor can serve, and floodFactor times as many
	// as usual. The usual rate adapts over usualRateTime, so that a higher rate that stays is no flood; it
	// is not known before firstSamples.
	floodWindow   = time.Second
	minFloodRate  = 200
	floodFactor   = 3
	usualRateTime = 30 * time.Second
	firstSamples  = int(LearningTime / Interval)
	// minLate is how many samples of floodWindow must be late for the processor to be short: single ones are
	// late on any busy machine.
	minLate = 3
	// lateDecrease and punctualIncrease change the admitted fraction with each late and punctual sample.
	lateDecrease     = 0.6
	punctualIncrease = 0.05
	// minAdmitted is the smallest admitted fraction, which shows when the shortage is over.
	minAdmitted = 0.02
	// maxPauseSamples is after how many samples without an admitted connection the next one is taken all the
	// same, so that a router that is ready never seems to take none. reserveFraction of the connections is
	// kept for that beyond their bound.
	maxPauseSamples = 5
	reserveFraction = 0.1
)

// LearningTime is how long after its start a router takes all new connections within its limits, while it
// learns their usual rate.
const LearningTime = 10 * time.Second

// ConnectionLimits bound what clients' connections may use; zero means no bound.
type ConnectionLimits struct {
	// Descriptors is the number of file descriptors of the process, and MemoryBytes its memory.
	Descriptors int
	MemoryBytes int64
}

// maxConnections returns the largest number of open connections, zero if there is no bound.
func (l ConnectionLimits) maxConnections() int {
	limit := 0
	if l.Descriptors > 0 {
		own := min(ownDescriptors, max(0, l.Descriptors-fewDescriptors))
		limit = max(1, (l.Descriptors-own)/DescriptorsPerClient)
	}
	if l.MemoryBytes > 0 {
		byMemory := max(1, int(connectionMemoryFraction*float64(l.MemoryBytes)/connectionBytes))
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	return limit
}

// ConnectionGate decides whether a router takes a new connection of a client. A client whose connection
// is closed before anything was read may safely try another router; one whose request was read and
// cannot be served in time has lost its time. So a router that most new connections of its zone come
// to takes only as many as it can serve: up to its descriptors and memory, and, while its processor is
// short, a fraction that shrinks with each late sample. Without a flood of new connections, a late
// sample turns nobody away: see Detector.
//
// ConnectionGate is not safe for concurrent use.
type ConnectionGate struct {
	maxConnections int
	// counts holds the new connections of the last samples, a ring whose current entry is next.
	counts [int(floodWindow / Interval)]int
	// late marks the samples of counts whose timer was late.
	late [int(floodWindow / Interval)]bool
	next int
	// samples is the number of samples, up to firstSamples.
	samples int
	// usual is the usual number of new connections in floodWindow.
	usual float64
	// turnedAway is the fraction of new connections that are not taken.
	turnedAway float64
	// pause is the number of samples since a connection was taken.
	pause int
}

// NewConnectionGate returns a gate that takes all connections within the limits.
func NewConnectionGate(limits ConnectionLimits) ConnectionGate {
	return ConnectionGate{maxConnections: limits.maxConnections()}
}

// Admit reports whether a new connection is taken while the given number is open. The random number is
// in [0, 1).
func (g *ConnectionGate) Admit(open int, random float64) bool {
	g.counts[g.next]++
	within := g.maxConnections == 0 || open < g.maxConnections
	withinReserve := within || float64(open) < (1+reserveFraction)*float64(g.maxConnections)
	isTaken := (within && random >= g.turnedAway) || (withinReserve && g.pause >= maxPauseSamples)
	if isTaken {
		g.pause = 0
	}
	return isTaken
}

// Observe takes the delay of a timer that fires once in Interval on average.
func (g *ConnectionGate) Observe(timerDelay time.Duration) {
	g.late[g.next] = timerDelay >= MaxTimerDelay
	recent, late := 0, 0
	for index, count := range g.counts {
		recent += count
		if g.late[index] {
			late++
		}
	}
	flood := g.observeRate(float64(recent))
	admitted := 1 - g.turnedAway
	switch {
	case !flood || !g.late[g.next]:
		admitted = min(1, admitted+punctualIncrease)
	case late >= minLate:
		admitted = max(minAdmitted, admitted*lateDecrease)
	}
	g.turnedAway = 1 - admitted
	g.pause++
	g.next = (g.next + 1) % len(g.counts)
	g.counts[g.next] = 0
}

// observeRate updates the usual number of new connections in floodWindow and reports whether the recent one
// is a flood.
func (g *ConnectionGate) observeRate(recent float64) (flood bool) {
	if g.samples < firstSamples {
		g.samples++
		g.usual = max(g.usual, recent)
		return false
	}
	flood = recent >= minFloodRate && recent >= floodFactor*g.usual
	g.usual += (recent - g.usual) * float64(Interval) / float64(usualRateTime)
	return flood
}

// TurnedAway returns the fraction of new connections that are not taken although the limits allow them.
func (g *ConnectionGate) TurnedAway() float64 { return g.turnedAway }
