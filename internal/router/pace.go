package router

import (
	"bytes"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
	"rockwind.example/rockwind/internal/gate"
)

// sightInterval is how often a run that goes on is looked at: a server that has turned eight
// times slower shows with the first events that it sends, not only at the end of a run.
const sightInterval = 500 * time.Millisecond

// newPool returns the pool of a service, which chooses by paces where the gate is on.
func (d *Dispatcher) newPool(service string) *balance.Pool {
	created := balance.NewPool(service, d.zone, d.shares)
	if d.gates.On(gate.Pace) {
		created.SetPacer(pace.New())
	}
	return created
}

// Paces lists how long work is expected to take at the servers of each service that tell
// their pace, as multiples of what is usual.
func (d *Dispatcher) Paces() map[string][]float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	paces := make(map[string][]float64)
	for service, pool := range d.pools {
		if known := pool.pool.Paces(d.now()); len(known) > 0 {
			paces[service] = known
		}
	}
	return paces
}

// sighting counts the events of a run since the last look at it.
type sighting struct {
	first, last time.Time
	events      int
	// lineEnded tells that the last byte ended a line, so that another end of a line ends an
	// event.
	lineEnded bool
}

// eventEnd is an empty line.
var eventEnd = []byte("\n\n")

// add takes a piece of the stream.
func (s *sighting) add(piece []byte, now time.Time) {
	ended := bytes.Count(piece, eventEnd)
	if s.lineEnded && len(piece) > 0 && piece[0] == '\n' {
		ended++
	}
	s.lineEnded = bytes.HasSuffix(piece, eventEnd[:1]) && !bytes.HasSuffix(piece, eventEnd)
	if ended == 0 {
		return
	}
	if s.events == 0 {
		s.first = now
	}
	s.events += ended
	s.last = now
}

// Received takes a piece of the stream that the server sends.
func (l *Lease) Received(piece []byte) {
	l.Read()
	l.sighting.add(piece, time.Now())
	if l.sighting.took() >= sightInterval {
		l.look()
	}
}

// took is how long after the first event the last one came.
func (s *sighting) took() time.Duration { return s.last.Sub(s.first) }

// look tells the pool how the run went since the last look. The event that ends this piece of
// it begins the next one.
func (l *Lease) look() {
	if l.sighting.events < 2 {
		return
	}
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.service(l.service).pool.Seen(l.Choice, l.sighting.events, l.sighting.took(), l.told, d.now()) {
		l.sighting.first, l.sighting.events = l.sighting.last, 1
	}
}
