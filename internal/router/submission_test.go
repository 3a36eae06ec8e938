package router_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/router"
)

// TestSubmissionIsAnsweredBeforeItsClientGivesUp, also where its body took most of the time.
func TestSubmissionIsAnsweredBeforeItsClientGivesUp(t *testing.T) {
	const deadline = 2 * time.Second
	received := time.Now().Add(-1500 * time.Millisecond)
	ends, limited := router.SubmissionEnds(received, deadline)
	if givesUp := received.Add(deadline); !limited || !ends.Before(givesUp) {
		t.Errorf("it ends %v after its client gives up (limited: %v)", ends.Sub(givesUp), limited)
	}
}

// TestSubmissionWhoseBodyTookAllTheTimeEnds: it does not go on for a client that has left.
func TestSubmissionWhoseBodyTookAllTheTimeEnds(t *testing.T) {
	const deadline = 2 * time.Second
	if ends, limited := router.SubmissionEnds(time.Now().Add(-deadline), deadline); !limited || time.Until(ends) > router.AnswerMargin {
		t.Errorf("it ends in %v (limited: %v)", time.Until(ends), limited)
	}
}

// TestSubmissionOfAClientThatDoesNotSayIsNotLimited, however long ago it was received.
func TestSubmissionOfAClientThatDoesNotSayIsNotLimited(t *testing.T) {
	if ends, limited := router.SubmissionEnds(time.Now().Add(-time.Hour), 0); limited {
		t.Errorf("it ends at %v", ends)
	}
}

// TestRefusedSubmissionsComeBackWithinWhatIsLeft: a client that has used its time for the body is
// told no later than one that has some left.
func TestRefusedSubmissionsComeBackWithinWhatIsLeft(t *testing.T) {
	const deadline, asked = 2 * time.Second, 5 * time.Second
	for _, used := range []time.Duration{0, 1500 * time.Millisecond, deadline, 2 * deadline} {
		told := router.SubmissionComesBack(time.Now().Add(-used), deadline, asked)
		if left := max(0, deadline-used); told > max(left, time.Millisecond) {
			t.Errorf("with %v left it is told to come back after %v", left, told)
		}
	}
}
