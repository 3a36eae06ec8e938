package faults

import "sync"

// kills tells which gateways were killed, and when they were started again. A
// stream that is cut without a typed error although its gateway was not killed
// meanwhile was cut by a planned stop, or by a defect.
type kills struct {
	mutex  sync.Mutex
	counts map[string]int
	down   map[string]bool
}

func newKills() *kills { return &kills{counts: map[string]int{}, down: map[string]bool{}} }

// begin notes that a gateway is about to be killed.
func (k *kills) begin(gateway string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.counts[gateway]++
	k.down[gateway] = true
}

// end notes that the process of a killed gateway is gone.
func (k *kills) end(gateway string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.down[gateway] = false
}

// look is what a client notes before a call.
func (k *kills) look(gateway string) killsSeen {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return killsSeen{count: k.counts[gateway], down: k.down[gateway]}
}

// since tells whether a gateway was being killed at a look, or was killed after it.
func (k *kills) since(gateway string, before killsSeen) bool {
	return before.down || k.look(gateway).count != before.count
}

// killsSeen is the state of a gateway at a look.
type killsSeen struct {
	count int
	down  bool
}
