package faults

import "sync"

// killTracker tracks kills of processes. If a stream is cut without a typed error and
// its gateway was not killed meanwhile, a planned stop or a defect cut it.
type killTracker struct {
	mutex  sync.Mutex
	counts map[string]int
	down   map[string]bool
}

func newKillTracker() *killTracker {
	return &killTracker{counts: map[string]int{}, down: map[string]bool{}}
}

// begin records that a gateway is about to be killed.
func (k *killTracker) begin(gateway string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.counts[gateway]++
	k.down[gateway] = true
}

// end records that the process of a killed gateway has exited.
func (k *killTracker) end(gateway string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.down[gateway] = false
}

// snapshot returns the state that a client keeps before a call, for killedSince.
func (k *killTracker) snapshot(gateway string) killSnapshot {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return killSnapshot{count: k.counts[gateway], down: k.down[gateway]}
}

// killedSince reports whether a gateway was being killed when the snapshot was taken,
// or was killed later.
func (k *killTracker) killedSince(gateway string, before killSnapshot) bool {
	return before.down || k.snapshot(gateway).count != before.count
}

// killSnapshot is the kill state of a gateway at one moment.
type killSnapshot struct {
	count int
	down  bool
}
