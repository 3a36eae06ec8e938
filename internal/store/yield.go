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
	// shortestTry is how long a try runs at least before it gives way: to begin again
	// costs the reading of the prompt.
	shortestTry = 250 * time.Millisecond
	// pauseAfterYield is the time before an item that gave way is tried again.
	pauseAfterYield = 50 * time.Millisecond
)

// errYielded ends a try that gives way to online requests. The next one goes on
// after the last event that was received.
var errYielded = errors.New("it gave way to online requests")

// activeTry is a try in progress.
type activeTry struct {
	tenant    string
	service   string
	server    string
	route     *rockwindpb.Route
	submitted time.Time
	began     time.Time
	// madeBefore is how many events of the output earlier tries have made.
	madeBefore int
	// choice is the choice of the server, which tells how fast it is.
	choice   balance.Choice
	cancel   context.CancelCauseFunc
	yielding bool
}

// mayYield tells whether the try may give way now.
func (a *activeTry) mayYield(now time.Time) bool {
	return !a.yielding && now.Sub(a.began) >= shortestTry
}

// yield ends tries at servers that online requests need, in the order of the backlog.
func (e *executor) yield(now time.Time) {
	services := make(map[string]bool)
	byServer := make(map[string][]*activeTry)
	for _, try := range e.active {
		services[try.service] = true
		if try.mayYield(now) {
			byServer[try.server] = append(byServer[try.server], try)
		}
	}
	for service := range services {
		e.store.dispatcher.PreemptBatch(service, func(server string, requests int) int {
			tries := byServer[server]
			backlog.Yielding(tries, now, e.backlogTry)
			gave := min(requests, len(tries))
			for _, try := range tries[:gave] {
				try.yielding = true
				try.cancel(errYielded)
			}
			byServer[server] = tries[gave:]
			return gave
		})
	}
}
