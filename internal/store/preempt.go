package store

import (
	"context"
	"errors"
	"time"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// minAttemptTime is how long an attempt runs before it may be preempted, since a restart
	// evaluates the prompt again.
	minAttemptTime = 250 * time.Millisecond
	// preemptDelay is the delay before a preempted item is retried.
	preemptDelay = 50 * time.Millisecond
)

// errPreempted is the cancellation cause of an attempt that is preempted by online requests. The
// next attempt resumes after the last received event.
var errPreempted = errors.New("it gave way to online requests")

// activeAttempt is an attempt in progress.
type activeAttempt struct {
	tenant    string
	service   string
	server    string
	route     *rockwindpb.Route
	submitted time.Time
	began     time.Time
	// eventsBefore is the number of events received by earlier attempts.
	eventsBefore int
	// choice is the choice of the server, which includes its speed.
	choice    balance.Choice
	cancel    context.CancelCauseFunc
	preempted bool
}

// preemptible reports whether the attempt may be preempted now.
func (a *activeAttempt) preemptible(now time.Time) bool {
	return !a.preempted && now.Sub(a.began) >= minAttemptTime
}

// preempt cancels attempts on servers that online requests need, in backlog order.
func (e *executor) preempt(now time.Time) {
	services := make(map[string]bool)
	byServer := make(map[string][]*activeAttempt)
	for _, attempt := range e.active {
		services[attempt.service] = true
		if attempt.preemptible(now) {
			byServer[attempt.server] = append(byServer[attempt.server], attempt)
		}
	}
	for service := range services {
		e.store.dispatcher.PreemptBatch(service, func(server string, requests int) int {
			attempts := byServer[server]
			backlog.SortForPreemption(attempts, now, e.backlogAttempt)
			count := min(requests, len(attempts))
			for _, attempt := range attempts[:count] {
				attempt.preempted = true
				attempt.cancel(errPreempted)
			}
			byServer[server] = attempts[count:]
			return count
		})
	}
}
