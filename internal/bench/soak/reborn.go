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
	// lateReports is how many reports of an incarnation come after its end, lateReportGap the
	// time between two: they stood in the queue of a link that was cut.
	lateReports   = 4
	lateReportGap = 300 * time.Millisecond
	// restedFor is how long a back end has to run unharmed before it must be in use: its
	// failures are forgotten by then. usedWithin is how lately it must have had a request;
	// callers send some two hundred a second, a quarter of them to each.
	restedFor  = 10 * time.Second
	usedWithin = 4 * time.Second
	// usedInterval is the time between two looks.
	usedInterval = time.Second
)

// reborn kills the back end, has an incarnation live and end of which nobody hears, and starts
// the next one. Once that is known the reports of the one between arrive, in any order.
func (p *place) reborn(ctx context.Context, run *run, down time.Duration) {
	p.kill()
	p.mutex.Lock()
	p.lives++
	between := fmt.Sprintf("server-%d-%d", p.number, p.lives)
	p.mutex.Unlock()
	retry.Pause(ctx, down)
	if err := p.revive(run); err != nil {
		log.WithError(err).Error("a back end was not started again")
		return
	}
	for !p.report(ctx, run) {
		if !retry.Pause(ctx, heartbeat) {
			return
		}
	}
	for number := range lateReports {
		retry.Pause(ctx, lateReportGap)
		sequence := uint64((number+2)%lateReports + 1)
		tell(ctx, run, p.reportOf(between, rockwindpb.ServerState_SERVER_STATE_READY, sequence))
	}
}

// watchUse judges, while nothing disturbs the processes, that every back end which runs and
// reports is in use, until the context ends.
func (r *run) watchUse(ctx context.Context) {
	for retry.Pause(ctx, usedInterval) {
		now := r.since()
		if !r.calm.since(now) {
			continue
		}
		for _, each := range r.places {
			r.judgeUse(each, now)
		}
	}
}

func (r *run) judgeUse(at *place, now time.Duration) {
	at.mutex.Lock()
	server, state, rested := at.server, at.state, at.restedSince
	at.mutex.Unlock()
	if server == nil || state != rockwindpb.ServerState_SERVER_STATE_READY || now-rested < restedFor || !at.busy.TryLock() {
		return
	}
	defer at.busy.Unlock()
	r.witness.Count("back ends judged by their use")
	if last := server.LastRequest(); now-last > usedWithin {
		r.witness.Report(witness.LiveServerUnused, server.ID(), "its last request came at "+last.String(), now)
	}
}
