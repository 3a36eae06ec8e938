package faults

import "sync"

// killLog records kills of processes. If a stream is cut without a typed error and
// its gateway was not killed meanwhile, a planned stop or a defect cut it.
type killLog struct {
	mutex  sync.Mutex
	counts map[string]int
	down   map[string]bool
}

func newKillLog() *killLog { return &killLog{counts: map[string]int{}, down: map[string]bool{}} }

// begin records that a gateway is about to be killed.
func (k *killLog) begin(gateway string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.counts[gateway]++
	k.down[gateway] = true
}

// end records that the process of a killed gateway has exited.
func (k *killLog) end(gateway string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.down[gateway] = false
}

// snapshot returns the state that a client keeps before a call, for killedSince.
func (k *killLog) snapshot(gateway string) killSnapshot {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return killSnapshot{count: k.counts[gateway], down: k.down[gateway]}
}

// killedSince reports whether a gateway was being killed when the snapshot was taken,
// or was killed later.
func (k *killLog) killedSince(gateway string, before killSnapshot) bool {
	return before.down || k.snapshot(gateway).count != before.count
}

// killSnapshot is the kill state of a gateway at one moment.
type killSnapshot struct {
	count int
	down  bool
}
