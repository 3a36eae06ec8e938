package quarantine

import (
	"sync"
	"time"

	"rockwind.example/rockwind/internal/fingerprint"
)

const (
	// partAnswerLifetime is the shortest time for which the answer to a part is remembered; the longest
	// is twice that.
	partAnswerLifetime = 30 * time.Second
	// maxPartAnswers bounds the parts of one generation, at about 150 bytes each.
	maxPartAnswers = 2048
	// minPartReportInterval is the shortest time between two reports about the same part, and
	// partReportIntervalPerRouter what each router of the site adds: all of them answer requests with
	// a part that is asked all the time.
	minPartReportInterval       = 100 * time.Millisecond
	partReportIntervalPerRouter = 4 * time.Millisecond
)

// PartReportInterval returns the shortest time between two reports of a process about the same part, by
// the number of routers of the site.
func PartReportInterval(routers int) time.Duration {
	return max(minPartReportInterval, time.Duration(routers)*partReportIntervalPerRouter)
}

// PartAnswers remembers for the parts of prompts when the newest request with each was sent to which this
// process has seen the answer, and when that was last reported to the coordinators. It keeps two
// generations and drops the older one as a whole. It is safe for concurrent use.
type PartAnswers struct {
	mutex             sync.Mutex
	current, previous map[fingerprint.Fingerprint]partAnswer
	rotatedAt         time.Time
}

type partAnswer struct {
	sentAt, reportedAt time.Time
	// parts are all parts of the newest answered request.
	parts []fingerprint.Fingerprint
}

// NewPartAnswers returns an empty memory.
func NewPartAnswers(now time.Time) *PartAnswers {
	return &PartAnswers{current: make(map[fingerprint.Fingerprint]partAnswer), rotatedAt: now}
}

// Add remembers the answer to a request with the given parts, which was sent at the given time.
func (a *PartAnswers) Add(parts []fingerprint.Fingerprint, sentAt, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.rotate(now)
	for _, part := range parts {
		known := a.find(part)
		if sentAt.After(known.sentAt) {
			known.sentAt, known.parts = sentAt, parts
		}
		a.current[part] = known
	}
}

// LastSent returns when the newest answered request with a part was sent, zero if none is known.
func (a *PartAnswers) LastSent(part fingerprint.Fingerprint, now time.Time) time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.rotate(now)
	return a.find(part).sentAt
}

// PartAnswer says when the newest answered request with a part was sent.
type PartAnswer struct {
	Part   fingerprint.Fingerprint
	SentAt time.Time
}

// TakeReport returns the answers to report, none if no report is due. It is if one of the given parts is
// suspected, was answered since the crashes that an answer clears, and was not reported within the interval.
// The report has all parts of the answered requests, suspected or not: a part that seems not to be
// answered while others of its requests are is to blame (see blame.isReady).
func (a *PartAnswers) TakeReport(parts []fingerprint.Fingerprint, suspected func(part fingerprint.Fingerprint) (since time.Time, suspected bool), interval time.Duration, now time.Time) []PartAnswer {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.rotate(now)
	var answers []PartAnswer
	reported := make(map[fingerprint.Fingerprint]bool)
	for _, part := range parts {
		since, isSuspected := suspected(part)
		known := a.find(part)
		if !isSuspected || !known.sentAt.After(since) || now.Sub(known.reportedAt) < interval {
			continue
		}
		for _, each := range known.parts {
			if reported[each] {
				continue
			}
			reported[each] = true
			answer := a.find(each)
			answer.reportedAt = now
			a.current[each] = answer
			answers = append(answers, PartAnswer{Part: each, SentAt: answer.sentAt})
		}
	}
	return answers
}

// find returns what is known of a part. The caller holds a.mutex.
func (a *PartAnswers) find(part fingerprint.Fingerprint) partAnswer {
	if known, found := a.current[part]; found {
		return known
	}
	return a.previous[part]
}

// rotate starts a new generation if the current one is too old or full. The caller holds a.mutex.
func (a *PartAnswers) rotate(now time.Time) {
	age := now.Sub(a.rotatedAt)
	if age < partAnswerLifetime && len(a.current) < maxPartAnswers {
		return
	}
	a.previous = a.current
	if age >= 2*partAnswerLifetime {
		a.previous = nil
	}
	a.current, a.rotatedAt = make(map[fingerprint.Fingerprint]partAnswer), now
}
