package router

import (
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/balance/pace"
	"rockwind.example/rockwind/internal/featuregate"
)

// paceInterval is how often the pace of a running request is reported, so that a slowdown of a
// server shows before its requests end.
const paceInterval = 500 * time.Millisecond

// newPool returns the pool of a service. It takes the pace of servers into account if the gate is
// on.
func (d *Dispatcher) newPool(service string) *balance.Pool {
	created := balance.NewPool(service, d.zone, d.shares)
	created.SetTopology(d.topology, d.roundTrips)
	if d.gates.On(featuregate.Pace) {
		created.SetPaceEstimator(pace.New())
	}
	if !d.gates.On(featuregate.StartLimit) {
		created.DisableStartLimit()
	}
	return created
}

// Paces lists for each service the expected duration of work at its servers as multiples of the
// usual, for servers that report their pace.
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

// Received records a chunk of the stream from the server.
func (l *Lease) Received(piece []byte) {
	l.RecordFirstOutput()
	l.paceSample.Add(piece, l.dispatcher.now())
	if l.paceSample.Elapsed() >= paceInterval {
		l.reportPace()
	}
}

// reportPace reports the events since the last report to the pool.
func (l *Lease) reportPace() {
	if l.paceSample.Events() == 0 {
		return
	}
	d := l.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.poolOf(l.service).pool.RecordRun(l.Choice, l.paceSample.Events(), l.paceSample.Elapsed(), l.reportedPace, d.now()) {
		l.paceSample.Restart()
	}
}
