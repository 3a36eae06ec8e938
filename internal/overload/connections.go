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
	// minFloodRate come in it and floodFactor times as many as usual. The usual rate adapts over usualRateTime.
	floodWindow   = time.Second
	minFloodRate  = 30
	floodFactor   = 3
	usualRateTime = 30 * time.Second
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
	// counts holds the new connections of the last samples, the newest at next-1.
	counts [int(floodWindow / Interval)]int
	next   int
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
	recent := 0
	for _, count := range g.counts {
		recent += count
	}
	flood := recent >= minFloodRate && float64(recent) >= floodFactor*g.usual
	if !flood {
		g.usual += (float64(recent) - g.usual) * float64(Interval) / float64(usualRateTime)
	}
	admitted := 1 - g.turnedAway
	if flood && timerDelay >= MaxTimerDelay {
		admitted = max(minAdmitted, admitted*lateDecrease)
	} else {
		admitted = min(1, admitted+punctualIncrease)
	}
	g.turnedAway = 1 - admitted
	g.pause++
	g.next = (g.next + 1) % len(g.counts)
	g.counts[g.next] = 0
}

// TurnedAway returns the fraction of new connections that are not taken although the limits allow them.
func (g *ConnectionGate) TurnedAway() float64 { return g.turnedAway }
