package engine

import "time"

// ResumeStatus tells what became of a resume.
type ResumeStatus uint8

// The outcomes of a resume.
const (
	// ResumeAccepted: the caller is now the request's reader.
	ResumeAccepted ResumeStatus = iota
	// ResumeUnknown: the engine does not know the request.
	ResumeUnknown
	// ResumeHasReader: the request still has a reader.
	ResumeHasReader
	// ResumeBadOffset: the offset lies beyond what was produced.
	ResumeBadOffset
)

// ResumeResult is what a new reader gets at once.
type ResumeResult struct {
	Tag     uint64
	Payload any
	// First and Last are the sequence numbers of the tokens that the reader
	// misses; Last is below First when it misses none yet.
	First, Last int
	// Finished tells that no more tokens will come.
	Finished bool
	// MaxTokens is the length of the whole answer.
	MaxTokens int
}

// Detach notes that a request lost its reader. Without a resume it expires after
// the retention time. It tells whether the request had a reader.
func (e *Engine) Detach(now time.Duration, id string) bool {
	entry := e.known[id]
	if entry == nil || !entry.attached {
		return false
	}
	e.detach(now, entry)
	return true
}

func (e *Engine) detach(now time.Duration, entry *sequence) {
	entry.attached = false
	if entry.state == stateFinished {
		return
	}
	entry.deadline = e.timers.add(timer{at: now + e.config.Retention, kind: timerExpire, subject: entry})
}

// Resume makes the caller the reader of a request after the token with sequence
// number offset.
func (e *Engine) Resume(now time.Duration, id string, offset int) (ResumeResult, ResumeStatus) {
	entry := e.known[id]
	if entry == nil {
		return ResumeResult{}, ResumeUnknown
	}
	finished := entry.state == stateFinished && entry.lateTokens == 0
	if entry.attached && !finished {
		return ResumeResult{}, ResumeHasReader
	}
	delivered := entry.produced - entry.lateTokens
	if offset < 0 || offset > delivered {
		return ResumeResult{}, ResumeBadOffset
	}
	entry.attached = true
	resumed := ResumeResult{
		Tag:       entry.request.Tag,
		Payload:   entry.request.Payload,
		First:     offset + 1,
		Last:      delivered,
		Finished:  finished,
		MaxTokens: entry.request.MaxTokens,
	}
	return resumed, ResumeAccepted
}

// truncate cuts the stream of a sequence that a fault has marked.
func (e *Engine) truncate(now time.Duration, entry *sequence) {
	if entry.truncateAt == 0 || entry.produced < entry.truncateAt || !entry.attached {
		return
	}
	entry.truncateAt = 0
	e.emit(now, entry, EventTruncated, 0)
	e.detach(now, entry)
}
