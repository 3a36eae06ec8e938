package health

import (
	"math/rand/v2"
	"time"
)

// silence tracks whether first tokens arrive while some are pending. It detects a
// server that has stopped processing requests but still answers polls and probes.
type silence struct {
	// pending is the number of streamed requests without a first token.
	pending int
	// silentSince is when the last first token arrived, or when the first pending
	// request was sent.
	silentSince time.Duration
	// allowance is the longest silence to be expected from the pending requests.
	allowance time.Duration
	// countedAt is when silence was last counted as a timeout.
	countedAt time.Duration
}

// RecordSent records that a streamed request was sent to a server, and how long its
// first token was expected to take.
func (t *Tracker) RecordSent(server int, expected, now time.Duration) {
	found := &t.recordWithEvidence(server).silence
	if found.pending == 0 {
		found.silentSince = now
		found.allowance = 0
	}
	found.pending++
	found.allowance = max(found.allowance, time.Duration(t.policy.SilenceFactor*float64(expected)))
}

// RecordFirstToken records that a streamed request is no longer waiting for its
// first token, and whether the token arrived.
func (t *Tracker) RecordFirstToken(server int, arrived bool, now time.Duration) {
	found := &t.recordWithEvidence(server).silence
	found.pending = max(0, found.pending-1)
	if arrived {
		found.silentSince = now
		found.countedAt = 0
	}
}

// checkSilence counts a timeout for each SilenceTimeout of silence beyond what the
// pending requests explain.
func (t *Tracker) checkSilence(entry *record, now time.Duration, random *rand.Rand) {
	found := &entry.silence
	if t.policy.SilenceTimeout <= 0 || found.pending == 0 || entry.state == Ejected {
		return
	}
	allowed := max(t.policy.SilenceTimeout, found.allowance)
	since := max(found.silentSince+allowed, found.countedAt+t.policy.SilenceTimeout)
	if now < since {
		return
	}
	found.countedAt = now
	t.recordFailure(entry, scorePerTimeout, now, random)
}
