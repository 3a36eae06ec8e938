// Package admission decides whether an online request is admitted or refused with a retry delay, and
// whether it may be hedged. It has no clock and no state: estimates and times are arguments.
package admission

import "time"

// Policy bounds the waits of online requests.
type Policy struct {
	// QueueTimeout is the longest estimated wait that is admitted.
	QueueTimeout time.Duration
	// Margin multiplies the estimate before it is compared with the deadline.
	Margin float64
	// MinimumRetryAfter and MaximumRetryAfter bound the advised retry delay.
	MinimumRetryAfter time.Duration
	MaximumRetryAfter time.Duration
}

// DefaultPolicy is the policy without configuration.
var DefaultPolicy = Policy{
	QueueTimeout:      2 * time.Second,
	Margin:            1.2,
	MinimumRetryAfter: 200 * time.Millisecond,
	MaximumRetryAfter: 30 * time.Second,
}

// Reason is why a request was refused.
type Reason uint8

// Reasons for a verdict.
const (
	// Admitted: the request was not refused.
	Admitted Reason = iota
	// NoBackEnd: no server can take the request now.
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
	// Found is false if routing found no server.
	Found bool
}

// Verdict is the decision on one request.
type Verdict struct {
	Reason Reason
	// RetryAfter is the advised retry delay of a refused request.
	RetryAfter time.Duration
}

// Admit reports whether the request is admitted.
func (v Verdict) Admit() bool {
	return v.Reason == Admitted
}

// Decide admits or refuses a request. The deadline is when the first token is wanted; zero means
// none.
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
