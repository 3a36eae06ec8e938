package router

import (
	"sync"
	"time"

	"rockwind.example/rockwind/internal/fingerprint"
)

const (
	// answerLifetime is the shortest time for which an answered fingerprint is remembered; the
	// longest is twice that. It is long enough to remember requests that are sent all the time.
	answerLifetime = 15 * time.Second
	// maxAnswers bounds the fingerprints of one generation, at about 100 bytes each.
	maxAnswers = 2048
	// answerReportInterval is the shortest time between two reports about the same fingerprint.
	answerReportInterval = 50 * time.Millisecond
)

// recentAnswers remembers which fingerprints were answered recently and when each was last
// reported to the coordinators. It keeps two generations and drops the older one as a whole. It
// is safe for concurrent use.
type recentAnswers struct {
	mutex             sync.Mutex
	current, previous map[fingerprint.Fingerprint]time.Time
	rotatedAt         time.Time
}

func newRecentAnswers(now time.Time) *recentAnswers {
	return &recentAnswers{current: make(map[fingerprint.Fingerprint]time.Time), rotatedAt: now}
}

// add remembers an answer. It returns true if the answer should be reported: the fingerprint is
// suspected and was not reported within answerReportInterval.
func (r *recentAnswers) add(content fingerprint.Fingerprint, suspected bool, now time.Time) (report bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rotate(now)
	reportedAt, known := r.current[content]
	if !known {
		reportedAt = r.previous[content]
	}
	report = suspected && now.Sub(reportedAt) >= answerReportInterval
	if report {
		reportedAt = now
	}
	r.current[content] = reportedAt
	return report
}

// has reports whether a fingerprint was answered recently.
func (r *recentAnswers) has(content fingerprint.Fingerprint, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rotate(now)
	_, current := r.current[content]
	_, previous := r.previous[content]
	return current || previous
}

// rotate starts a new generation if the current one is too old or full. The caller holds r.mutex.
func (r *recentAnswers) rotate(now time.Time) {
	age := now.Sub(r.rotatedAt)
	if age < answerLifetime && len(r.current) < maxAnswers {
		return
	}
	r.previous = r.current
	if age >= 2*answerLifetime {
		r.previous = nil
	}
	r.current, r.rotatedAt = make(map[fingerprint.Fingerprint]time.Time), now
}
