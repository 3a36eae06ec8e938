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
	// silenceFraction is the fraction of the stream's pause goal after which a silent server is
	// probed. The rest is left for the probe and for continuing at another server, so that the
	// client sees no pause longer than the goal.
	silenceFraction = 0.5
	// lateSilenceFraction is the same for a stream that cannot continue elsewhere. Servers that
	// keep to the pause goal are never probed, and with probeFraction the client learns of a
	// failure within twice the goal.
	lateSilenceFraction = 1
	// probeFraction is the fraction of the pause goal within which a reachable server accepts a
	// connection, and minProbeTimeout the shortest time for it: busy machines in another zone
	// take some tens of milliseconds.
	probeFraction   = 0.25
	minProbeTimeout = 100 * time.Millisecond
	// probeInterval is the time between probes of a server that is silent but reachable: each
	// probe costs it a connection.
	probeInterval = time.Second
	// disarmed is longer than any request, for a timer that is stopped right after its creation.
	disarmed = time.Hour
)

// errServerUnreachable cancels an attempt whose server is unreachable.
var errServerUnreachable = errors.New("server is silent and unreachable")

// Watchdog watches the server of a stream that must not run twice. It cancels the context of the
// attempt once the server is silent and either unreachable or known to have ended. A server that
// is silent but accepts connections may be slow and is waited for.
type Watchdog struct {
	client    *upstream.Client
	address   string
	pauseGoal time.Duration
	// silence is the fraction of pauseGoal after which the server is probed.
	silence float64
	// ended reports whether a reachable server has ended, given the result of a probe.
	ended  func(reach upstream.ProbeResult) bool
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mutex sync.Mutex
	// resets counts the calls of Reset and Suspend: a probe that overlaps one proves nothing.
	resets uint64
}

// NewWatchdog returns a watchdog for the server at an address. The server is probed when it is
// silent after the first call of Reset; a zero pause goal disables probing.
func NewWatchdog(ctx context.Context, client *upstream.Client, address string, pauseGoal time.Duration) *Watchdog {
	attemptContext, cancel := context.WithCancelCause(ctx)
	created := &Watchdog{client: client, address: address, pauseGoal: pauseGoal, silence: silenceFraction, ended: isRefused, ctx: attemptContext, cancel: cancel}
	created.timer = time.AfterFunc(disarmed, created.probe)
	created.timer.Stop()
	return created
}

// isRefused reports whether the server refused the connection.
func isRefused(reach upstream.ProbeResult) bool { return reach == upstream.ProbeRefused }

// NewLateWatchdog returns a watchdog for a stream that cannot continue elsewhere. It probes the
// server, an incarnation of the directory, only after the full pause goal. A planned stop closes
// the listener and finishes the open streams, so a refused connection counts only if the
// directory shows that the server has ended. The view may be nil while no directory is known.
func NewLateWatchdog(ctx context.Context, client *upstream.Client, view func() *directory.View, id, address string, pauseGoal time.Duration) *Watchdog {
	created := NewWatchdog(ctx, client, address, pauseGoal)
	created.silence = lateSilenceFraction
	created.ended = func(reach upstream.ProbeResult) bool {
		known := view()
		switch {
		case known == nil:
			return false
		case reach == upstream.ProbeRefused:
			return known.Lost(id)
		}
		return reach == upstream.ProbeConnected && known.Replaced(id)
	}
	return created
}

// Context returns the context of the attempt.
func (w *Watchdog) Context() context.Context { return w.ctx }

// Reset restarts the silence timer after the server has sent something, and voids a probe in
// progress.
func (w *Watchdog) Reset() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.resets++
	if w.pauseGoal > 0 {
		w.timer.Reset(w.ofGoal(w.silence))
	}
}

// Suspend stops probing until the next Reset, while the router does not read from the server. It
// voids a probe in progress.
func (w *Watchdog) Suspend() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.resets++
	w.timer.Stop()
}

func (w *Watchdog) ofGoal(f float64) time.Duration { return time.Duration(f * float64(w.pauseGoal)) }

// probe cancels the attempt if the server has ended or is unreachable and has sent nothing since
// the probe began.
func (w *Watchdog) probe() {
	w.mutex.Lock()
	resets := w.resets
	w.mutex.Unlock()
	reach := w.client.ProbeRedundantly(w.ctx, w.address, max(minProbeTimeout, w.ofGoal(probeFraction)))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case w.resets != resets || w.ctx.Err() != nil:
	case w.showsServerEnded(reach):
		w.cancel(errServerUnreachable)
	default:
		w.timer.Reset(probeInterval)
	}
}

// showsServerEnded reports whether the result of a probe means that the server sends nothing
// more.
func (w *Watchdog) showsServerEnded(reach upstream.ProbeResult) bool {
	return reach == upstream.ProbeTimedOut || w.ended(reach)
}

// Unreachable reports whether the watchdog has canceled the attempt.
func (w *Watchdog) Unreachable() bool { return errors.Is(context.Cause(w.ctx), errServerUnreachable) }

// Stop stops the watchdog and cancels the context.
func (w *Watchdog) Stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer.Stop()
	w.cancel(nil)
}
