// Package stall detects that the process stood still for a while: it was suspended, its machine was,
// or it got no processor time. What it reads from its connections right after that may have waited
// there for as long.
package stall

import (
	"context"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/suspension"
)

const (
	// Threshold is the shortest time without progress that counts as a stall.
	Threshold = 500 * time.Millisecond
	// interval is the time between two readings of the clocks.
	interval = Threshold / 2
)

// reading is one reading of the clocks.
type reading struct {
	time time.Time
	// suspended is the part of the time since boot that the monotonic clock of time does not count.
	suspended time.Duration
}

// since returns the time since an earlier reading by the clock that advanced most: the monotonic
// clock may stop while the time of day goes on. A step of the time of day counts as a stall.
func (r reading) since(earlier reading) time.Duration {
	monotonic := r.time.Sub(earlier.time) + r.suspended - earlier.suspended
	return max(monotonic, r.time.Round(0).Sub(earlier.time.Round(0)))
}

// Monitor records the last stall of the process. The zero value has seen none; its methods are safe
// for concurrent use.
type Monitor struct {
	mutex sync.Mutex
	last  reading
	// ended is when the last stall ended.
	ended time.Time
}

// Run reads the clocks until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		m.observe(reading{time: time.Now(), suspended: suspension.Total()})
		if !retry.Pause(ctx, interval) {
			return
		}
	}
}

// StalledSince reports whether a stall ended after a time. It does not depend on Run having noticed a stall that has just
// ended, unless only the clock since boot shows it.
func (m *Monitor) StalledSince(since time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.last.time.IsZero() {
		m.record(reading{time: time.Now(), suspended: m.last.suspended})
	}
	return m.ended.After(since)
}

// observe records a reading.
func (m *Monitor) observe(now reading) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.record(now)
}

// record records a reading. The caller holds the mutex.
func (m *Monitor) record(now reading) {
	if !m.last.time.IsZero() && now.since(m.last) >= Threshold {
		m.ended = now.time
	}
	m.last = now
}
