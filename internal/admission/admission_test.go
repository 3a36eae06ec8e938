package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/admission"
)

func TestAdmittedRequestsMeetTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "now"))
		wait := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "wait"))
		deadline := time.Duration(0)
		if rapid.Bool().Draw(t, "has deadline") {
			deadline = now + time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "left"))
		}
		verdict := admission.Decide(admission.DefaultPolicy, admission.Estimate{Wait: wait, Found: true}, deadline, now)
		if verdict.Admit() {
			if wait > admission.DefaultPolicy.QueueTimeout || (deadline > 0 && now+wait > deadline) {
				t.Fatalf("admitted a wait of %v", wait)
			}
			return
		}
		if verdict.RetryAfter < admission.DefaultPolicy.MinimumRetryAfter || verdict.RetryAfter > admission.DefaultPolicy.MaximumRetryAfter {
			t.Fatalf("retry after %v", verdict.RetryAfter)
		}
		if wait*2 < admission.DefaultPolicy.QueueTimeout && (deadline == 0 || now+wait*2 < deadline) {
			t.Fatalf("refused a wait of %v", wait)
		}
	})
}

func TestOnlyRepeatableRequestsAreHedged(t *testing.T) {
	if _, hedge := admission.HedgeAfter(admission.DefaultHedgePolicy, false, time.Second); hedge {
		t.Fatal("hedged a request that may not be repeated")
	}
	if _, hedge := admission.HedgeAfter(admission.HedgePolicy{}, true, time.Second); hedge {
		t.Fatal("hedged without a policy")
	}
	if after, hedge := admission.HedgeAfter(admission.DefaultHedgePolicy, true, time.Second); !hedge || after < time.Second {
		t.Fatalf("hedge %v after %v", hedge, after)
	}
}
