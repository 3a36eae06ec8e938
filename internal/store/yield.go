package store

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// shortestTry is how long a try runs at least before it gives way: to begin again
	// costs the reading of the prompt.
	shortestTry = 250 * time.Millisecond
	// pauseAfterYield is the time before an item that gave way is tried again.
	pauseAfterYield = 150 * time.Millisecond
	// yieldBelow is the urgency from which on items give way no more.
	yieldBelow = 0.9
)

// errYielded ends a try that gives way to online requests. The next one goes on
// after the last event that was received.
var errYielded = errors.New("it gave way to online requests")

// activeTry is a try in progress.
type activeTry struct {
	service   string
	server    string
	route     *rockwindpb.Route
	submitted time.Time
	began     time.Time
	cancel    context.CancelCauseFunc
	yielding  bool
}

func (a *activeTry) urgency(now time.Time) float64 { return urgency(a.route, now.Sub(a.submitted)) }

// mayYield tells whether the try may give way now.
func (a *activeTry) mayYield(now time.Time) bool {
	return !a.yielding && now.Sub(a.began) >= shortestTry && a.urgency(now) < yieldBelow
}

// yield ends tries at servers that online requests need, those of the youngest jobs
// first.
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
		e.store.dispatcher.Yield(service, func(server string, requests int) {
			tries := byServer[server]
			slices.SortFunc(tries, func(a, b *activeTry) int {
				return cmp.Or(b.submitted.Compare(a.submitted), b.began.Compare(a.began))
			})
			for _, try := range tries[:min(requests, len(tries))] {
				try.yielding = true
				try.cancel(errYielded)
			}
		})
	}
}
