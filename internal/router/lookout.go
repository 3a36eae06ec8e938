package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// quietPart is the part of the longest good pause of a stream after which its server is
	// looked at: what is left is for the look, and for the way to another server, so that the
	// client sees no pause beyond the good one.
	quietPart = 0.5
	// latePart is the same for a stream that can go on nowhere, so that servers that keep to the
	// good pause are never looked at. With lookPart the client knows within twice that pause.
	latePart = 1
	// lookPart is the part of that pause within which a server that is in reach takes a
	// connection, and leastLook the least time for it: machines in another zone that are busy
	// take some tens of milliseconds.
	lookPart  = 0.25
	leastLook = 100 * time.Millisecond
	// lookAgain is the time between looks at a server that says nothing but is in reach, or
	// finishes what it has: it is slow, and each look costs it a connection.
	lookAgain = time.Second
	// neverYet is longer than any request, for a timer that is not to run yet.
	neverYet = time.Hour
)

// errServerDark ends a try whose server is out of reach.
var errServerDark = errors.New("the server says nothing and is out of reach")

// Watchdog watches the server of a stream that may run once. It ends the context of the
// try once the server says nothing and is out of reach, or has ended. A server that says nothing
// but takes connections may be slow, and is waited for.
type Watchdog struct {
	client  *upstream.Client
	address string
	pause   time.Duration
	// quiet is the part of the pause after which the server is looked at.
	quiet float64
	// ended tells whether a server that is in reach has ended, by what a look shows.
	ended  func(reach upstream.Reach) bool
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mutex sync.Mutex
	// heard counts the calls of Heard and Hold: a look that spans one shows nothing.
	heard uint64
}

// NewWatchdog returns a lookout for the server at an address, whose longest good pause is
// given; zero is none, and then nothing is looked at. It looks at the server from the first
// call of Heard on.
func NewWatchdog(ctx context.Context, client *upstream.Client, address string, pause time.Duration) *Watchdog {
	trying, cancel := context.WithCancelCause(ctx)
	created := &Watchdog{client: client, address: address, pause: pause, quiet: quietPart, ended: refuses, ctx: trying, cancel: cancel}
	created.timer = time.AfterFunc(neverYet, created.look)
	created.timer.Stop()
	return created
}

// refuses tells whether nobody listens at the address any more.
func refuses(reach upstream.Reach) bool { return reach == upstream.ReachRefused }

// NewLateWatchdog is NewLookout for a stream that can go on nowhere: its server, an incarnation of
// the directory, is looked at only after the whole good pause. A planned stop closes the
// listener and finishes the open streams, so that a refusal ends nothing unless the directory
// calls the server ended. The view may be nil: nothing is known then.
func NewLateWatchdog(ctx context.Context, client *upstream.Client, view func() *directory.View, id, address string, pause time.Duration) *Watchdog {
	created := NewWatchdog(ctx, client, address, pause)
	created.quiet = latePart
	created.ended = func(reach upstream.Reach) bool {
		known := view()
		switch {
		case known == nil:
			return false
		case reach == upstream.ReachRefused:
			return known.Lost(id)
		}
		return reach == upstream.ReachListens && known.Replaced(id)
	}
	return created
}

// Context is that of the try.
func (l *Watchdog) Context() context.Context { return l.ctx }

// Reset notes that the server has sent something. A look in progress is void by it.
func (l *Watchdog) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.heard++
	if l.pause > 0 {
		l.timer.Reset(l.of(l.quiet))
	}
}

// Suspend has the server not be looked at until Heard: the router does not read from it, so that
// its silence shows nothing. A look in progress is void by it.
func (l *Watchdog) Suspend() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.heard++
	l.timer.Stop()
}

func (l *Watchdog) of(part float64) time.Duration { return time.Duration(part * float64(l.pause)) }

// look ends the try where the server is out of reach, and has not spoken since the look began.
func (l *Watchdog) look() {
	l.mutex.Lock()
	before := l.heard
	l.mutex.Unlock()
	reach := l.client.Reach(l.ctx, l.address, max(leastLook, l.of(lookPart)))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch {
	case l.heard != before || l.ctx.Err() != nil:
	case l.shows(reach):
		l.cancel(errServerDark)
	default:
		l.timer.Reset(lookAgain)
	}
}

// shows tells whether a look shows that nothing more comes of the server.
func (l *Watchdog) shows(reach upstream.Reach) bool {
	return reach == upstream.ReachSilent || l.ended(reach)
}

// Unreachable tells whether the server was found out of reach.
func (l *Watchdog) Unreachable() bool { return errors.Is(context.Cause(l.ctx), errServerDark) }

// Stop ends the watch, and the context.
func (l *Watchdog) Stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.timer.Stop()
	l.cancel(nil)
}
