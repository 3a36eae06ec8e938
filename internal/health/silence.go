package health

import (
	"math/rand/v2"
	"time"
)

// silence follows whether first tokens come while some are awaited. A server
// that stopped in the middle of its work goes on to answer polls and probes;
// only the tokens that do not come show it.
type silence struct {
	// awaited counts streamed requests whose first token has not come yet.
	awaited int
	// quietSince is when the last first token came, or the first of the awaited
	// requests was sent.
	quietSince time.Duration
	// patience is the longest silence that the awaited requests explain.
	patience time.Duration
	// judged is when silence last counted against the server.
	judged time.Duration
}

// RecordSent tells that a streamed request was sent to a server, and how long its
// first token was expected to take.
func (t *Tracker) RecordSent(server int, expected, now time.Duration) {
	found := &t.touch(server).silence
	if found.awaited == 0 {
		found.quietSince = now
		found.patience = 0
	}
	found.awaited++
	found.patience = max(found.patience, time.Duration(t.policy.SilenceFactor*float64(expected)))
}

// RecordFirstToken tells that the wait for a streamed request's first token is over,
// and whether the token came.
func (t *Tracker) RecordFirstToken(server int, came bool, now time.Duration) {
	found := &t.touch(server).silence
	found.awaited = max(0, found.awaited-1)
	if came {
		found.quietSince = now
		found.judged = 0
	}
}

// judgeSilence counts a timeout for each SilentFor that a server kept silent
// beyond what its load explains.
func (t *Tracker) judgeSilence(entry *record, now time.Duration, random *rand.Rand) {
	found := &entry.silence
	if t.policy.SilenceTimeout <= 0 || found.awaited == 0 || entry.state == Ejected {
		return
	}
	allowed := max(t.policy.SilenceTimeout, found.patience)
	since := max(found.quietSince+allowed, found.judged+t.policy.SilenceTimeout)
	if now < since {
		return
	}
	found.judged = now
	t.failed(entry, timeoutScore, now, random)
}
