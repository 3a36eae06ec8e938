package sharing_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/sharing"
)

// TestTailFollowsTheNewestAnswers holds the estimate against a sort of the
// answers that it may remember.
func TestTailFollowsTheNewestAnswers(t *testing.T) {
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
			t.Fatalf("a target of %v for first tokens that were never seen", target.FirstToken)
		}
		if count < sharing.TailMinimum {
			return
		}
		estimated := count - (count-sharing.TailMinimum)%sharing.TailEvery
		newest := slices.Clone(all[max(0, estimated-sharing.TailSamples):estimated])
		slices.Sort(newest)
		if wanted := newest[int(sharing.TailQuantile*float64(len(newest)))]; target.PerToken != wanted {
			t.Fatalf("the target is %v, the p99 of the newest answers %v", target.PerToken, wanted)
		}
		if limited := tail.Target(time.Microsecond); limited.PerToken > time.Microsecond {
			t.Fatalf("the target exceeds its limit: %v", limited.PerToken)
		}
	})
}

// TestAloneMeanTakesBatchOff checks that the part of batch in each step is taken
// off, and that steps without batch are taken as they are.
func TestAloneMeanTakesBatchOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const base = 12 * time.Millisecond
		batch := time.Duration(rapid.IntRange(0, 10).Draw(t, "batch")) * time.Millisecond
		online := base + time.Duration(rapid.IntRange(0, 8).Draw(t, "online"))*time.Millisecond
		var pace sharing.OnlineTracker
		now := time.Second
		pace.RecordSent(1, 10, now)
		pace.RecordFirstToken(1, true, now)
		for range rapid.IntRange(sharing.ShortAnswer, 100).Draw(t, "tokens") {
			now += online + batch
			pace.RecordTokens(1, 1, time.Second, batch, now)
		}
		mean, known := pace.RecordEnd(1, base, now)
		if !known || mean < base || mean > online {
			t.Fatalf("the mean is %v, known %v, with steps of %v without batch", mean, known, online)
		}
		if batch == 0 && online-mean > time.Microsecond {
			t.Fatalf("the mean is %v where steps took %v", mean, online)
		}
	})
}
