package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/bench/soak/witness"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// lateReports is the number of reports that arrive after an incarnation has ended, as if
	// delayed by a broken link, and lateReportGap the time between them.
	lateReports   = 4
	lateReportGap = 300 * time.Millisecond
	// A backend must be in use once it has run without a fault for stableFor, after which its
	// earlier failures no longer count. It is in use if a request arrived within usedWithin.
	stableFor          = 10 * time.Second
	usedWithin         = 4 * time.Second
	usageCheckInterval = time.Second
)

// restartWithLateReports restarts the backend and skips the ID of one incarnation, whose
// reports arrive out of order once its successor is known.
func (e *endpoint) restartWithLateReports(ctx context.Context, run *run, down time.Duration) {
	e.kill()
	e.mutex.Lock()
	e.incarnations++
	missedID := fmt.Sprintf("server-%d-%d", e.number, e.incarnations)
	e.mutex.Unlock()
	retry.Pause(ctx, down)
	if err := e.start(run); err != nil {
		log.WithError(err).Error("backend failed to restart")
		return
	}
	for !e.report(ctx, run) {
		if !retry.Pause(ctx, heartbeat) {
			return
		}
	}
	for number := range lateReports {
		retry.Pause(ctx, lateReportGap)
		sequence := uint64((number+2)%lateReports + 1)
		sendReport(ctx, run, e.serverReport(missedID, rockwindpb.ServerState_SERVER_STATE_READY, sequence))
	}
}

// watchUsage checks in fault-free periods, until the context ends, that every backend that
// runs and reports gets requests.
func (r *run) watchUsage(ctx context.Context) {
	for retry.Pause(ctx, usageCheckInterval) {
		now := r.elapsed()
		if !r.faults.quietSince(now) {
			continue
		}
		for _, each := range r.endpoints {
			r.checkUsage(each, now)
		}
	}
}

func (r *run) checkUsage(at *endpoint, now time.Duration) {
	at.mutex.Lock()
	server, state, stableSince := at.server, at.state, at.stableSince
	at.mutex.Unlock()
	if r.drains != nil && r.drains.mayDrain(at.number%replicas) {
		return
	}
	if server == nil || state != rockwindpb.ServerState_SERVER_STATE_READY || now-stableSince < stableFor || !at.faultMutex.TryLock() {
		return
	}
	defer at.faultMutex.Unlock()
	r.witness.Count("back ends judged by their use")
	if last := server.LastRequest(); now-last > usedWithin {
		r.witness.Report(witness.LiveServerUnused, server.ID(), "its last request came at "+last.String(), now)
	}
}
