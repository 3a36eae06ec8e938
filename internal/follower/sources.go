package follower

import (
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// longestAvoidance bounds how long a replica that does not answer is asked
	// after the others.
	longestAvoidance = 30 * time.Second
	// strangerAvoidance is how long a machine that does not replicate the
	// configuration is asked after the others.
	strangerAvoidance = 5 * time.Minute
)

// source is one control machine with what its last answers say of it. It belongs
// to the goroutine that follows.
type source struct {
	service rockwindpb.ConfigurationService
	// failures counts the failed calls since the last answer.
	failures int
	// due is when it may be asked again at all, avoidedUntil when it may be asked
	// although another machine answers.
	due, avoidedUntil time.Time
}

// answered notes that the source is good.
func (s *source) answered() {
	s.failures, s.due, s.avoidedUntil = 0, time.Time{}, time.Time{}
}

// choose returns the source to ask and when. Those that answer are asked in turn
// and at once, so that a machine that is cut off in silence holds a change up by
// one call at most; the others only while there is no such source, each after a
// pause of its own.
func (f *Follower) choose(now time.Time) (*source, time.Time) {
	var earliest *source
	for offset := range f.sources {
		position := (f.next + offset) % len(f.sources)
		candidate := f.sources[position]
		if !now.Before(candidate.avoidedUntil) {
			f.next = (position + 1) % len(f.sources)
			return candidate, now
		}
		if earliest == nil || candidate.due.Before(earliest.due) {
			earliest = candidate
		}
	}
	return earliest, earliest.due
}

// failed notes that a source gave no answer. Pauses double with each failure.
func (f *Follower) failed(asked *source, err error) {
	const maximumDoublings = 16
	pause := f.options.Retry << min(asked.failures, maximumDoublings)
	asked.failures++
	now := time.Now()
	asked.due = now.Add(f.jitter(min(pause, f.options.MaximumRetry)))
	avoidance := min(pause, longestAvoidance)
	if fault.Is(err, fault.NotLeader) {
		avoidance = strangerAvoidance
	}
	asked.avoidedUntil = now.Add(f.jitter(avoidance))
}
