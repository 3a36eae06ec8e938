package retry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestBudgetBoundsRetries checks that in any order of attempts and retries, the retries granted never
// exceed the reserve plus the ratio of the attempts.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reserve := float64(rapid.IntRange(1, 20).Draw(t, "reserve"))
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		budget := NewBudget(reserve)
		attempts, granted := 0, 0
		for _, first := range rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(t, "calls") {
			if first {
				attempts++
				budget.Deposit(ratio)
				continue
			}
			if budget.Withdraw() {
				granted++
			}
			if budget.WithdrawSpare() {
				granted++
				if budget.tokens < reserve/2-1 {
					t.Fatalf("a spare attempt left %.2f of a reserve of %.2f", budget.tokens, reserve)
				}
			}
		}
		const rounding = 1e-6
		if allowed := reserve + ratio*float64(attempts); float64(granted) > allowed+rounding {
			t.Fatalf("%d retries granted, %.2f allowed", granted, allowed)
		}
	})
}

// TestPauseEndsWithItsContext checks both ways in which a pause ends, in virtual time.
func TestPauseEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		if !Pause(t.Context(), time.Minute) || time.Since(begun) != time.Minute {
			t.Fatalf("the pause lasted %s", time.Since(begun))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begun = time.Now()
		if Pause(ctx, time.Minute) || time.Since(begun) != time.Second {
			t.Fatalf("the cancelled pause lasted %s", time.Since(begun))
		}
		if Pause(ctx, 0) {
			t.Fatal("no pause after the end of the context is a success")
		}
	})
}
