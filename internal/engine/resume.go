package engine

import "time"

// ResumeStatus is the result of a call to Resume.
type ResumeStatus uint8

const (
	// ResumeAccepted: the caller is now the request's reader.
	ResumeAccepted ResumeStatus = iota
	// ResumeUnknown: there is no such request.
	ResumeUnknown
	// ResumeHasReader: the request still has a reader.
	ResumeHasReader
	// ResumeBadOffset: the offset is negative or beyond the tokens produced.
	ResumeBadOffset
)

// ResumeResult describes a resumed request to its new reader.
type ResumeResult struct {
	Tag     uint64
	Payload any
	// First and Last are the sequence numbers of the tokens already produced
	// after the offset; Last is below First if there are none.
	First, Last int
	// Finished is set if no more tokens will follow.
	Finished bool
	// MaxTokens is the length of the complete output.
	MaxTokens int
}

// Detach removes the reader of a request, which expires after the retention time
// unless it is resumed. It reports whether the request had a reader.
func (e *Engine) Detach(now time.Duration, id string) bool {
	seq := e.sequences[id]
	if seq == nil || !seq.hasReader {
		return false
	}
	e.detach(now, seq)
	return true
}

func (e *Engine) detach(now time.Duration, seq *sequence) {
	seq.hasReader = false
	if seq.state == stateFinished {
		return
	}
	seq.expiry = e.timers.add(timer{at: now + e.config.Retention, kind: timerExpire, seq: seq})
}

// Resume makes the caller the reader of a request, starting after the token with
// sequence number offset.
func (e *Engine) Resume(now time.Duration, id string, offset int) (ResumeResult, ResumeStatus) {
	seq := e.sequences[id]
	if seq == nil {
		return ResumeResult{}, ResumeUnknown
	}
	finished := seq.state == stateFinished && seq.delayedTokens == 0
	if seq.hasReader && !finished {
		return ResumeResult{}, ResumeHasReader
	}
	delivered := seq.produced - seq.delayedTokens
	if offset < 0 || offset > delivered {
		return ResumeResult{}, ResumeBadOffset
	}
	seq.hasReader = true
	resumed := ResumeResult{
		Tag:       seq.request.Tag,
		Payload:   seq.request.Payload,
		First:     offset + 1,
		Last:      delivered,
		Finished:  finished,
		MaxTokens: seq.request.MaxTokens,
	}
	return resumed, ResumeAccepted
}

// truncate breaks the stream of a sequence that FaultTruncate applies to.
func (e *Engine) truncate(now time.Duration, seq *sequence) {
	if seq.truncateAt == 0 || seq.produced < seq.truncateAt || !seq.hasReader {
		return
	}
	seq.truncateAt = 0
	e.emit(now, seq, EventTruncated, 0)
	e.detach(now, seq)
}
