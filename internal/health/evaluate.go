package health

import (
	"math/rand/v2"
	"slices"
	"time"
)

// minimumSamples is how many latencies a server needs before it is compared
// with its peers.
const minimumSamples = 8

// minimumPeers is how many servers with samples a comparison needs.
const minimumPeers = 4

// Evaluate runs what depends on time and peers: it ejects servers whose
// ejection the cap had put off, marks slow outliers as suspect, clears them, and
// forgets old ejections. Call it about once a second.
func (t *Tracker) Evaluate(now time.Duration, random *rand.Rand) {
	median, comparable := t.medianLatency()
	for _, index := range t.touched {
		entry := &t.records[index]
		if entry.state == Ejected {
			continue
		}
		if entry.wantsEjection {
			t.tryEject(entry, now, random)
			continue
		}
		t.judgeSilence(entry, now, random)
		if entry.state == Ejected {
			continue
		}
		if comparable {
			t.judgeLatency(entry, median, now)
		}
		t.recover(entry, now)
	}
}

func (t *Tracker) medianLatency() (float64, bool) {
	t.scratch = t.scratch[:0]
	for _, index := range t.touched {
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

// judgeLatency marks a server as slow once it has been an outlier for SlowFor.
// A slow server is never ejected for latency alone.
func (t *Tracker) judgeLatency(entry *record, median float64, now time.Duration) {
	outlier := entry.samples >= minimumSamples && entry.latency > t.policy.SlowFactor*median
	if !outlier {
		entry.slow = false
		entry.slowSince = 0
		return
	}
	if entry.slowSince == 0 {
		entry.slowSince = now
	}
	if now-entry.slowSince < t.policy.SlowAfter {
		return
	}
	entry.slow = true
	entry.state = Suspect
	entry.samples = min(entry.samples, 2*minimumSamples)
}

// recover clears suspicion that no new evidence supports, so that a suspect
// server without traffic is not suspect for ever, and damps flapping.
func (t *Tracker) recover(entry *record, now time.Duration) {
	entry.decay(now, t.policy.HalfLife)
	if entry.state == Suspect && !entry.slow && entry.failures < t.policy.SuspectAfter/2 {
		entry.state = Healthy
		entry.healthySince = now
	}
	if entry.slow && now-entry.slowSince > t.policy.SlowAfter+t.policy.MaxHoldDown/2 {
		entry.slow = false
		entry.slowSince = 0
		entry.samples = 0
	}
	if entry.state == Healthy && entry.ejections > 0 && now-entry.healthySince > t.policy.EjectionDecay {
		entry.ejections--
		entry.healthySince = now
	}
}
