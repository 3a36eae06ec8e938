package sharing_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/sharing"
)

// TestTailUsesTheNewestAnswers compares the estimate with the quantile of the sorted samples.
func TestTailUsesTheNewestAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tail sharing.TailEstimator
		count := rapid.IntRange(0, 3*sharing.TailSamples).Draw(t, "answers")
		seed := rapid.Uint64().Draw(t, "seed")
		var all []time.Duration
		for range count {
			seed = seed*6364136223846793005 + 1442695040888963407
			sample := time.Duration(seed >> 40)
			all = append(all, sample)
			tail.RecordPerToken(sample)
		}
		target := tail.Target(0)
		if target.FirstToken != sharing.DefaultTarget.FirstToken {
			t.Fatalf("the target for first tokens is %v without samples, want the default", target.FirstToken)
		}
		if count < sharing.TailMinimumSamples {
			return
		}
		estimated := count - (count-sharing.TailMinimumSamples)%sharing.TailUpdateInterval
		newest := slices.Clone(all[max(0, estimated-sharing.TailSamples):estimated])
		slices.Sort(newest)
		if wanted := newest[int(sharing.TailQuantile*float64(len(newest)))]; target.PerToken != wanted {
			t.Fatalf("the target is %v, the p99 of the newest samples %v", target.PerToken, wanted)
		}
		if limited := tail.Target(time.Microsecond); limited.PerToken > time.Microsecond {
			t.Fatalf("the target exceeds its limit: %v", limited.PerToken)
		}
	})
}

// TestMeanWithoutBatchSubtractsBatch checks that the time of batch in each step is subtracted, and
// that steps without batch are left as they are.
func TestMeanWithoutBatchSubtractsBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const base = 12 * time.Millisecond
		batch := time.Duration(rapid.IntRange(0, 10).Draw(t, "batch")) * time.Millisecond
		online := base + time.Duration(rapid.IntRange(0, 8).Draw(t, "online"))*time.Millisecond
		var tracker sharing.OnlineTracker
		now := time.Second
		tracker.RecordSent(1, 10, now)
		tracker.RecordFirstToken(1, true, now)
		for range rapid.IntRange(sharing.MinimumTokens, 100).Draw(t, "tokens") {
			now += online + batch
			tracker.RecordTokens(1, 1, time.Second, batch, now)
		}
		mean, known := tracker.RecordEnd(1, base, now)
		if !known || mean < base || mean > online {
			t.Fatalf("the mean is %v (known: %v), want at most %v", mean, known, online)
		}
		if batch == 0 && online-mean > time.Microsecond {
			t.Fatalf("the mean is %v, want %v", mean, online)
		}
	})
}
