package sharing_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/sharing"
)

// TestMaximumLagCoversEveryAnswer compares the maximum lag with the lags computed from the times of
// all tokens: no answer that starts at any token of the sampled request may lag by more.
func TestMaximumLagCoversEveryAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perToken = 20 * time.Millisecond
		var tracker sharing.OnlineTracker
		now := time.Second
		tracker.RecordSent(1, 100, now)
		tracker.RecordFirstToken(1, true, now)
		times := []time.Duration{now}
		for range rapid.IntRange(1, 60).Draw(t, "tokens") {
			now += time.Duration(rapid.IntRange(1, 60).Draw(t, "step")) * time.Millisecond
			tracker.RecordTokens(1, 1, perToken, 0, now)
			times = append(times, now)
		}
		largest := time.Duration(0)
		for begin, at := range times {
			lag := now - at - time.Duration(len(times)-1-begin)*perToken
			largest = max(largest, lag)
		}
		if tracker.MaximumLag() != largest {
			t.Fatalf("the maximum lag is %v, want %v", tracker.MaximumLag(), largest)
		}
	})
}

// TestReclaimGivesEveryWaitingGroupItsShare applies Reclaim until it finds no more items to move.
func TestReclaimGivesEveryWaitingGroupItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		picker := sharing.NewPicker()
		names := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "groups")]
		groups := make([]sharing.GroupRunning, len(names))
		allowances := make([]sharing.GroupAllowance, len(names))
		total := 0.0
		for index, name := range names {
			groups[index] = sharing.GroupRunning{
				Group:   name,
				Running: float64(rapid.IntRange(0, 40).Draw(t, "running")),
				Waiting: rapid.IntRange(0, 40).Draw(t, "waiting"),
			}
			allowances[index] = sharing.GroupAllowance{Group: name, BatchFraction: rapid.Float64Range(0.05, 1).Draw(t, "part")}
			total += groups[index].Running
		}
		picker.SetAllowances(allowances)
		for moves := 0; ; moves++ {
			from, to, found := picker.Reclaim(groups)
			if !found {
				break
			}
			if moves > int(total) || groups[from].Running < 1 || groups[to].Waiting < 1 {
				t.Fatalf("move %d from %+v to %+v", moves, groups[from], groups[to])
			}
			groups[from].Running, groups[from].Waiting = groups[from].Running-1, groups[from].Waiting+1
			groups[to].Running, groups[to].Waiting = groups[to].Running+1, groups[to].Waiting-1
		}
		totalFraction := 0.0
		for index, group := range groups {
			if group.Running > 0 || group.Waiting > 0 {
				totalFraction += allowances[index].BatchFraction
			}
		}
		borrowed := false
		for index, group := range groups {
			borrowed = borrowed || group.Running-total*allowances[index].BatchFraction/totalFraction >= 1
		}
		for index, group := range groups {
			entitled := total * allowances[index].BatchFraction / totalFraction
			if borrowed && min(entitled-group.Running, float64(group.Waiting)) >= 1 {
				t.Fatalf("%+v is %.2f items short while another group borrows", group, entitled-group.Running)
			}
		}
	})
}

// TestPickerServesByAllowance checks that groups with work get their fractions, and that a group
// that was idle is not compensated for what the others used meanwhile.
func TestPickerServesByAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fraction := rapid.Float64Range(0.1, 0.9).Draw(t, "part")
		picker := sharing.NewPicker()
		picker.SetAllowances([]sharing.GroupAllowance{{Group: "a", BatchFraction: fraction}, {Group: "b", BatchFraction: 1 - fraction}})
		both := []sharing.Candidate{{Group: "a", Tenant: "x", Job: "1"}, {Group: "b", Tenant: "y", Job: "2"}}
		for range rapid.IntRange(0, 200).Draw(t, "alone") {
			picker.Charge(&both[0], 1)
		}
		const items = 1000
		served := 0.0
		for range items {
			chosen, found := picker.Pick(both, 0)
			if !found {
				t.Fatal("no candidate was picked")
			}
			picker.Charge(&both[chosen], 1)
			if chosen == 0 {
				served++
			}
		}
		if math.Abs(served-fraction*items) > 2+1/fraction+1/(1-fraction) {
			t.Fatalf("group a got %.0f of %d items with a fraction of %.2f", served, items, fraction)
		}
	})
}

// TestBudgetShrinksWithOnlineLoad checks that more online requests, more waiting prompts and older
// reports never increase the budget.
func TestBudgetShrinksWithOnlineLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := sharing.DefaultBudgetPolicy(rapid.SampledFrom([]sharing.Objective{sharing.Throughput, sharing.Latency}).Draw(t, "objective"))
		now := time.Second
		tracker := &sharing.OnlineTracker{}
		state := sharing.ServerState{Tracker: tracker, Target: sharing.DefaultTarget, Online: float64(rapid.IntRange(0, 70).Draw(t, "online"))}
		before := sharing.BatchBudget(state, policy, now)
		if state.Online == 0 && before.Items != policy.MaximumItems {
			t.Fatalf("an empty server gets %d items", before.Items)
		}
		more := state
		more.Online++
		if after := sharing.BatchBudget(more, policy, now); after.Items > before.Items {
			t.Fatalf("one more online request raises the budget from %d to %d", before.Items, after.Items)
		}
		tracker.RecordSent(1, rapid.IntRange(1, 8000).Draw(t, "prompt"), now)
		if after := sharing.BatchBudget(more, policy, now); after.Items > before.Items {
			t.Fatalf("a prompt raises the budget from %d to %d", before.Items, after.Items)
		}
		if late := sharing.BatchBudget(more, policy, now+sharing.DefaultTarget.FirstToken); late.Items != 0 {
			t.Fatalf("a late request leaves a budget of %d items", late.Items)
		}
		more.ReportAge = policy.StaleAfter + 1
		stale := sharing.BatchBudget(more, policy, now)
		if stale.Items > sharing.StaleItems {
			t.Fatalf("a stale report gives %d items", stale.Items)
		}
		// An engine applies the smallest bound of its items for as long as they run.
		if stale.TokensPerStep != policy.TokensPerStep {
			t.Fatalf("a stale report limits all batch on the engine to %d tokens per step", stale.TokensPerStep)
		}
	})
}
