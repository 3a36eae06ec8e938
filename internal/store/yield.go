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
	// minAttemptTime is how long an attempt runs before it may yield, since a restart evaluates
	// the prompt again.
	minAttemptTime = 250 * time.Millisecond
	// yieldDelay is the delay before an item that yielded is retried.
	yieldDelay = 50 * time.Millisecond
)

// errYielded is the cancellation cause of an attempt that yields to online requests. The next
// attempt resumes after the last received event.
var errYielded = errors.New("it gave way to online requests")

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
	choice   balance.Choice
	cancel   context.CancelCauseFunc
	yielding bool
}

// mayYield reports whether the attempt may yield now.
func (a *activeAttempt) mayYield(now time.Time) bool {
	return !a.yielding && now.Sub(a.began) >= minAttemptTime
}

// yield cancels attempts on servers that online requests need, in backlog order.
func (e *executor) yield(now time.Time) {
	services := make(map[string]bool)
	byServer := make(map[string][]*activeAttempt)
	for _, attempt := range e.active {
		services[attempt.service] = true
		if attempt.mayYield(now) {
			byServer[attempt.server] = append(byServer[attempt.server], attempt)
		}
	}
	for service := range services {
		e.store.dispatcher.PreemptBatch(service, func(server string, requests int) int {
			attempts := byServer[server]
			backlog.Yielding(attempts, now, e.backlogAttempt)
			yielded := min(requests, len(attempts))
			for _, attempt := range attempts[:yielded] {
				attempt.yielding = true
				attempt.cancel(errYielded)
			}
			byServer[server] = attempts[yielded:]
			return yielded
		})
	}
}
