package follower

import (
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// maxAvoidDuration bounds how long a replica that does not answer is asked after the others.
	maxAvoidDuration = 30 * time.Second
	// nonReplicaAvoidDuration is how long a machine that does not replicate the configuration is
	// asked after the others.
	nonReplicaAvoidDuration = 5 * time.Minute
)

// source is a control machine and its recent results. It belongs to the goroutine of Run.
type source struct {
	service rockwindpb.ConfigurationService
	// failures counts the failed calls since the last answer.
	failures int
	// retryAt is when the source may be asked again at all, avoidedUntil when it may be asked
	// although other sources answer.
	retryAt, avoidedUntil time.Time
}

// recordSuccess notes that the source answered.
func (s *source) recordSuccess() {
	s.failures, s.retryAt, s.avoidedUntil = 0, time.Time{}, time.Time{}
}

// selectSource returns the source to ask and when to ask it. Sources that answer are asked in turn
// and at once, so that one that hangs delays an update by one call at most. The others are asked
// only if no source answers, each after a backoff.
func (f *Follower) selectSource(now time.Time) (*source, time.Time) {
	var earliest *source
	for offset := range f.sources {
		position := (f.nextSource + offset) % len(f.sources)
		candidate := f.sources[position]
		if !now.Before(candidate.avoidedUntil) {
			f.nextSource = (position + 1) % len(f.sources)
			return candidate, now
		}
		if earliest == nil || candidate.retryAt.Before(earliest.retryAt) {
			earliest = candidate
		}
	}
	return earliest, earliest.retryAt
}

// recordFailure notes that a source did not answer. The pauses grow exponentially.
func (f *Follower) recordFailure(failed *source, err error) {
	const maximumDoublings = 16
	pause := f.options.Retry << min(failed.failures, maximumDoublings)
	failed.failures++
	now := time.Now()
	failed.retryAt = now.Add(f.jitter(min(pause, f.options.MaximumRetry)))
	avoidFor := min(pause, maxAvoidDuration)
	if fault.Is(err, fault.NotLeader) {
		avoidFor = nonReplicaAvoidDuration
	}
	failed.avoidedUntil = now.Add(f.jitter(avoidFor))
}
