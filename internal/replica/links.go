package replica

import "sync"

// link is the way from one machine to another.
type link struct {
	from string
	to   string
}

// Links is a set of cut links for experiments with real processes. A daemon
// hands Links.Allow to Options only under a flag meant for experiments. The
// zero value cuts nothing; it is safe for concurrent use.
type Links struct {
	mutex sync.RWMutex
	cut   map[link]bool
}

// Cut drops all traffic from one machine to another, in this direction.
func (l *Links) Cut(from, to string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cut == nil {
		l.cut = map[link]bool{}
	}
	l.cut[link{from, to}] = true
}

// CutBoth drops all traffic between two machines.
func (l *Links) CutBoth(first, second string) {
	l.Cut(first, second)
	l.Cut(second, first)
}

// Heal restores all links.
func (l *Links) Heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = nil
}

// Allow tells whether traffic may pass; it fits Options.Allow.
func (l *Links) Allow(from, to string) bool {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	return !l.cut[link{from, to}]
}
