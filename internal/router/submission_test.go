package router_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/router"
)

// TestSubmissionIsAnsweredBeforeItsClientGivesUp covers a body that took most of the time.
func TestSubmissionIsAnsweredBeforeItsClientGivesUp(t *testing.T) {
	const deadline = 2 * time.Second
	received := time.Now().Add(-1500 * time.Millisecond)
	ends, limited := router.SubmissionEnds(received, deadline)
	if givesUp := received.Add(deadline); !limited || !ends.Before(givesUp) {
		t.Errorf("it ends %v after its client gives up (limited: %v)", ends.Sub(givesUp), limited)
	}
}

// TestSubmissionIsBoundedAfterSlowBody checks that a submission does not continue for a client
// that has given up.
func TestSubmissionIsBoundedAfterSlowBody(t *testing.T) {
	const deadline = 2 * time.Second
	if ends, limited := router.SubmissionEnds(time.Now().Add(-deadline), deadline); !limited || time.Until(ends) > router.AnswerMargin {
		t.Errorf("it ends in %v (limited: %v)", time.Until(ends), limited)
	}
}

// TestSubmissionWithoutTimeoutIsNotLimited covers a request that was received long ago.
func TestSubmissionWithoutTimeoutIsNotLimited(t *testing.T) {
	if ends, limited := router.SubmissionEnds(time.Now().Add(-time.Hour), 0); limited {
		t.Errorf("it ends at %v", ends)
	}
}

// TestSubmissionRetryAfterIsWithinRemainingTime guards against treating a client without
// remaining time like one without a timeout.
func TestSubmissionRetryAfterIsWithinRemainingTime(t *testing.T) {
	const deadline, refusalRetryAfter = 2 * time.Second, 5 * time.Second
	for _, used := range []time.Duration{0, 1500 * time.Millisecond, deadline, 2 * deadline} {
		retryAfter := router.SubmissionRetryAfter(time.Now().Add(-used), deadline, refusalRetryAfter)
		if left := max(0, deadline-used); retryAfter > max(left, time.Millisecond) {
			t.Errorf("with %v left the Retry-After is %v", left, retryAfter)
		}
	}
}

// TestRestrictedJobNeedsAStoreWithItsConfiguration guards against a store that takes a restricted job
// before it has the restriction, and starts its items in other regions.
func TestRestrictedJobNeedsAStoreWithItsConfiguration(t *testing.T) {
	for name, each := range map[string]struct{ got, want uint64 }{
		"free":       {router.NeededConfig(0), 0},
		"limited":    {router.NeededConfig(100), 9},
		"restricted": {router.NeededConfig(0, "south"), 9},
	} {
		if each.got != each.want {
			t.Errorf("%s: the store needs configuration %d, want %d", name, each.got, each.want)
		}
	}
}
