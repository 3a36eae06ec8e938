package health

import (
	"math/rand/v2"
	"slices"
	"time"
)

// minimumSamples is how many latencies a server needs to be compared with its peers.
const minimumSamples = 8

// minimumPeers is how many servers with enough samples a comparison needs.
const minimumPeers = 4

// Evaluate applies what depends on time and peers: it performs ejections that the
// limit had delayed, counts silence, marks slow outliers as suspect, clears stale
// suspicion, and forgets old ejections. It should be called about once a second.
func (t *Tracker) Evaluate(now time.Duration, random *rand.Rand) {
	median, enoughPeers := t.medianLatency()
	for _, index := range t.withEvidence {
		entry := &t.records[index]
		if entry.state == Ejected {
			continue
		}
		if entry.ejectionPending {
			t.tryEject(entry, now, random)
			continue
		}
		t.checkSilence(entry, now, random)
		if entry.state == Ejected {
			continue
		}
		if enoughPeers {
			t.checkLatency(entry, median, now)
		}
		t.clearStaleEvidence(entry, now)
	}
}

func (t *Tracker) medianLatency() (float64, bool) {
	t.scratch = t.scratch[:0]
	for _, index := range t.withEvidence {
		entry := &t.records[index]
		if entry.state != Ejected && entry.samples >= minimumSamples {
			t.scratch = append(t.scratch, entry.latency)
		}
	}
	if len(t.scratch) < minimumPeers {
		return 0, false
	}
	slices.Sort(t.scratch)
	return t.scratch[len(t.scratch)/2], true
}

// checkLatency marks a server as slow once it has been an outlier for SlowAfter. A
// server is never ejected for latency alone.
func (t *Tracker) checkLatency(entry *record, median float64, now time.Duration) {
	outlier := entry.samples >= minimumSamples && entry.latency > t.policy.SlowFactor*median
	if !outlier {
		entry.slow = false
		entry.outlierSince = 0
		return
	}
	if entry.outlierSince == 0 {
		entry.outlierSince = now
	}
	if now-entry.outlierSince < t.policy.SlowAfter {
		return
	}
	entry.slow = true
	entry.state = Suspect
	entry.samples = min(entry.samples, 2*minimumSamples)
}

// clearStaleEvidence clears suspicion that no new evidence supports, so that a suspect server
// without traffic does not stay suspect, and forgets old ejections.
func (t *Tracker) clearStaleEvidence(entry *record, now time.Duration) {
	entry.decay(now, t.policy.HalfLife)
	if entry.state == Suspect && !entry.slow && entry.failures < t.policy.SuspectAfter/2 {
		entry.state = Healthy
		entry.healthySince = now
	}
	if entry.slow && now-entry.outlierSince > t.policy.SlowAfter+t.policy.MaxHoldDown/2 {
		entry.slow = false
		entry.outlierSince = 0
		entry.samples = 0
	}
	if entry.state == Healthy && entry.ejections > 0 && now-entry.healthySince > t.policy.EjectionDecay {
		entry.ejections--
		entry.healthySince = now
	}
}
