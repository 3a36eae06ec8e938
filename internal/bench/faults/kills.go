package faults

import "sync"

// kills counts how often each gateway was killed. A stream that is cut without
// a typed error although its gateway was not killed meanwhile was cut by a
// planned stop, or by a defect.
type kills struct {
	mutex  sync.Mutex
	counts map[string]int
}

func newKills() *kills { return &kills{counts: map[string]int{}} }

func (k *kills) add(gateway string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.counts[gateway]++
}

func (k *kills) of(gateway string) int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.counts[gateway]
}
