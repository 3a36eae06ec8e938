package coordinator

import (
	"sync"
	"time"
)

// liveness records when servers reported. Every coordinator records the reports that it receives
// and relays them to the leader, which alone detects silence. The state is not replicated: a new
// leader gives every server a full timeout.
type liveness struct {
	mutex     sync.Mutex
	lastHeard map[string]time.Time
	// pending holds the servers that reported here since the last relay to the leader.
	pending map[string]bool
}

func newLiveness() *liveness {
	return &liveness{lastHeard: make(map[string]time.Time), pending: make(map[string]bool)}
}

// record records a report received by this coordinator.
func (l *liveness) record(id string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastHeard[id] = now
	l.pending[id] = true
}

// recordRelayed records reports received by other coordinators.
func (l *liveness) recordRelayed(ids []string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, id := range ids {
		l.lastHeard[id] = now
	}
}

// takePending returns and clears the servers not yet relayed to the leader.
func (l *liveness) takePending() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ids := make([]string, 0, len(l.pending))
	for id := range l.pending {
		ids = append(ids, id)
	}
	clear(l.pending)
	return ids
}

// heardSince reports whether a server or machine was heard from after a time.
func (l *liveness) heardSince(id string, since time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lastHeard[id].After(since)
}

// silentServers returns the given servers not heard from for longer than the timeout and drops the
// records of all others. A server without a record counts as heard from now: it may have reported to
// another coordinator that has not yet relayed the report.
func (l *liveness) silentServers(ids []string, timeout time.Duration, now time.Time) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	kept := make(map[string]time.Time, len(l.lastHeard))
	for id, heard := range l.lastHeard {
		if isMachineKey(id) {
			kept[id] = heard
		}
	}
	var silent []string
	for _, id := range ids {
		heard, known := l.lastHeard[id]
		if !known {
			heard = now
		}
		kept[id] = heard
		if now.Sub(heard) > timeout {
			silent = append(silent, id)
		}
	}
	l.lastHeard = kept
	return silent
}
