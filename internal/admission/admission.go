// Package admission decides whether an online request may run now, must be
// refused as not run with a time to come back, may be retried, and may be
// hedged. It is pure: estimates and time are arguments.
package admission

import "time"

// Policy bounds what online requests may wait for.
type Policy struct {
	// QueueTimeout is the longest estimated wait that is admitted.
	QueueTimeout time.Duration
	// Margin multiplies the estimate before it is held against the deadline.
	Margin float64
	// MinimumRetryAfter and MaximumRetryAfter bound the advice to callers.
	MinimumRetryAfter time.Duration
	MaximumRetryAfter time.Duration
}

// DefaultPolicy is used where the configuration says nothing.
var DefaultPolicy = Policy{
	QueueTimeout:      2 * time.Second,
	Margin:            1.2,
	MinimumRetryAfter: 200 * time.Millisecond,
	MaximumRetryAfter: 30 * time.Second,
}

// Reason tells why a request was refused.
type Reason uint8

// The reasons.
const (
	// Admitted: not refused.
	Admitted Reason = iota
	// NoBackEnd: no server may take the request now.
	NoBackEnd
	// QueueFull: the estimated wait exceeds QueueTimeout.
	QueueFull
	// DeadlineTooClose: the estimated wait exceeds what the deadline leaves.
	DeadlineTooClose
)

// Estimate is the expected time until a request's first token.
type Estimate struct {
	// Wait is the expected wait.
	Wait time.Duration
	// Found is false when routing found no server.
	Found bool
}

// Verdict is the decision on one request.
type Verdict struct {
	Reason Reason
	// RetryAfter is when a refused request is worth sending again.
	RetryAfter time.Duration
}

// Admit tells whether the request may run.
func (v Verdict) Admit() bool {
	return v.Reason == Admitted
}

// Decide admits or refuses a request. Deadline is the point in time by which
// the first token is wanted; zero means none.
func Decide(policy Policy, estimate Estimate, deadline, now time.Duration) Verdict {
	if !estimate.Found {
		return Verdict{Reason: NoBackEnd, RetryAfter: policy.MinimumRetryAfter}
	}
	padded := time.Duration(float64(estimate.Wait) * policy.Margin)
	if deadline > 0 && now+padded > deadline {
		return Verdict{Reason: DeadlineTooClose, RetryAfter: policy.retryAfter(now + padded - deadline)}
	}
	if policy.QueueTimeout > 0 && estimate.Wait > policy.QueueTimeout {
		return Verdict{Reason: QueueFull, RetryAfter: policy.retryAfter(estimate.Wait - policy.QueueTimeout)}
	}
	return Verdict{}
}

func (p Policy) retryAfter(excess time.Duration) time.Duration {
	return min(max(excess, p.MinimumRetryAfter), p.MaximumRetryAfter)
}
