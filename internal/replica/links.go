package replica

import "sync"

// link is the network path from one machine to another.
type link struct {
	from string
	to   string
}

// Links is a set of blocked network links, for partition tests with real
// processes. A daemon passes Links.Allow to Options only if a test flag is set.
// The zero value blocks nothing. Links is safe for concurrent use.
type Links struct {
	mutex sync.RWMutex
	cut   map[link]bool
}

// Cut drops all traffic from one machine to another, in this direction only.
func (l *Links) Cut(from, to string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cut == nil {
		l.cut = map[link]bool{}
	}
	l.cut[link{from, to}] = true
}

// CutBoth drops all traffic between two machines, in both directions.
func (l *Links) CutBoth(first, second string) {
	l.Cut(first, second)
	l.Cut(second, first)
}

// Heal unblocks all links.
func (l *Links) Heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = nil
}

// Allow reports whether traffic may pass. It can be used as Options.Allow.
func (l *Links) Allow(from, to string) bool {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	return !l.cut[link{from, to}]
}
