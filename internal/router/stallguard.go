package router

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/stall"
	"rockwind.example/rockwind/internal/zonedrain"
)

// stallConfirmTimeout bounds the time for which work waits after a stall. Without an answer of a coordinator it then goes
// on, as in a process that no coordinator reaches.
const stallConfirmTimeout = 300 * time.Millisecond

// StallGuard holds new work back after the process stood still, until a coordinator has confirmed which zones are drained:
// requests that waited for the process are read before the changes that were sent to it meanwhile. A nil StallGuard holds
// nothing back. It is safe for concurrent use.
type StallGuard struct {
	stalls stall.Monitor
	// confirm asks a coordinator for the zone drains, and drains returns the newest.
	confirm    func(ctx context.Context) error
	drains     func() *zonedrain.List
	dispatcher *Dispatcher

	mutex sync.Mutex
	// confirmed is when the last confirmation was requested, or when the guard was created.
	confirmed time.Time
	// confirming is closed at the end of the confirmation in progress, nil if there is none.
	confirming chan struct{}
}

// NewStallGuard returns the guard of a process.
func NewStallGuard(watcher *site.Watcher, dispatcher *Dispatcher) *StallGuard {
	return &StallGuard{confirm: watcher.ConfirmZoneDrains, drains: watcher.ZoneDrains, dispatcher: dispatcher, confirmed: time.Now()}
}

// Run notices stalls until the context ends.
func (g *StallGuard) Run(ctx context.Context) { g.stalls.Run(ctx) }

// Await waits for a confirmation if the process has stood still since the last one, and reports whether it has. Servers that
// were assigned before may be in a drained zone.
func (g *StallGuard) Await(ctx context.Context) (waited bool) {
	confirming := g.begin()
	if confirming == nil {
		return false
	}
	select {
	case <-confirming:
	case <-ctx.Done():
	}
	return true
}

// Ready reports whether work may be started. If not, a confirmation is in progress.
func (g *StallGuard) Ready() bool { return g.begin() == nil }

// begin returns the end of the confirmation that is in progress or needed, nil if there is none.
func (g *StallGuard) begin() <-chan struct{} {
	if g == nil {
		return nil
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.confirming == nil && g.stalls.StalledSince(g.confirmed) {
		g.confirmed, g.confirming = time.Now(), make(chan struct{})
		go g.run(g.confirming)
	}
	return g.confirming
}

// run makes one confirmation.
func (g *StallGuard) run(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), stallConfirmTimeout)
	defer cancel()
	err := g.confirm(ctx)
	g.dispatcher.SetZoneDrains(g.drains())
	entry := log.WithField("revision", g.drains().Revision())
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("zone drains confirmed after a stall")
	g.mutex.Lock()
	g.confirming = nil
	g.mutex.Unlock()
	close(done)
}
