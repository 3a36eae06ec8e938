package coordinator

import (
	"sync"
	"time"
)

// liveness notes when servers reported. Every coordinator notes those that
// report to it and tells the leader, which alone judges silence. It is soft
// state: a new leader gives every server a full period.
type liveness struct {
	mutex sync.Mutex
	heard map[string]time.Time
	// untold holds the servers that reported here since the leader was last told.
	untold map[string]bool
}

func newLiveness() *liveness {
	return &liveness{heard: make(map[string]time.Time), untold: make(map[string]bool)}
}

// note records a report of a server to this coordinator.
func (l *liveness) note(id string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.heard[id] = now
	l.untold[id] = true
}

// noteTold records reports that another coordinator took.
func (l *liveness) noteTold(ids []string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, id := range ids {
		l.heard[id] = now
	}
}

// take returns the servers that the leader has not been told of.
func (l *liveness) take() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ids := make([]string, 0, len(l.untold))
	for id := range l.untold {
		ids = append(ids, id)
	}
	clear(l.untold)
	return ids
}

// heardSince tells whether a server or machine was heard after a time.
func (l *liveness) heardSince(id string, since time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.heard[id].After(since)
}

// silent returns those of the given servers that were not heard for the patience, and
// forgets servers that are not among them. One that was never heard here counts as heard
// now: it is in the directory since it reported to another coordinator, which tells the
// leader a little later.
func (l *liveness) silent(ids []string, patience time.Duration, now time.Time) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	kept := make(map[string]time.Time, len(l.heard))
	for id, heard := range l.heard {
		if isMachineKey(id) {
			kept[id] = heard
		}
	}
	var silent []string
	for _, id := range ids {
		heard, known := l.heard[id]
		if !known {
			heard = now
		}
		kept[id] = heard
		if now.Sub(heard) > patience {
			silent = append(silent, id)
		}
	}
	l.heard = kept
	return silent
}
