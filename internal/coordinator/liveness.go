package coordinator

import (
	"sync"
	"time"
)

// liveness records when servers reported. Every coordinator records the reports that it receives
// and relays them to the leader, which alone detects silence. The state is not replicated: a new
// leader gives every server a full timeout.
type liveness struct {
	mutex       sync.Mutex
	lastContact map[string]time.Time
	// pending holds the servers that reported here since the last relay to the leader.
	pending map[string]bool
}

func newLiveness() *liveness {
	return &liveness{lastContact: make(map[string]time.Time), pending: make(map[string]bool)}
}

// record records a report received by this coordinator.
func (l *liveness) record(id string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastContact[id] = now
	l.pending[id] = true
}

// recordRelayed records reports received by other coordinators.
func (l *liveness) recordRelayed(ids []string, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, id := range ids {
		l.lastContact[id] = now
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

// seenSince reports whether a server or machine reported after a time.
func (l *liveness) seenSince(id string, since time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lastContact[id].After(since)
}

// silentServers returns the given servers without a report for longer than the timeout and drops the
// records of all others. A server without a record counts as having reported now: it may have reported to
// another coordinator that has not yet relayed the report.
func (l *liveness) silentServers(ids []string, timeout time.Duration, now time.Time) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	kept := make(map[string]time.Time, len(l.lastContact))
	for id, last := range l.lastContact {
		if isMachineKey(id) {
			kept[id] = last
		}
	}
	var silent []string
	for _, id := range ids {
		last, known := l.lastContact[id]
		if !known {
			last = now
		}
		kept[id] = last
		if now.Sub(last) > timeout {
			silent = append(silent, id)
		}
	}
	l.lastContact = kept
	return silent
}
