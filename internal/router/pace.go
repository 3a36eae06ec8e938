package router

import (
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
		created.SetPaceEstimator(pace.New())
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

// Received takes a piece of the stream that the server sends.
func (l *Lease) Received(piece []byte) {
	l.RecordFirstOutput()
	l.sighting.Add(piece, l.dispatcher.now())
	if l.sighting.Took() >= sightInterval {
		l.look()
	}
}

// look tells the pool how the run went since the last look.
func (l *Lease) look() {
	if l.sighting.Events() == 0 {
		return
	}
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.service(l.service).pool.RecordRun(l.Choice, l.sighting.Events(), l.sighting.Took(), l.told, d.now()) {
		l.sighting.Restart()
	}
}
