package serverview

import (
	"time"

	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/upstream"
)

// outcomeBuffer is the number of outcomes queued for the owner goroutine.
// Further ones are dropped: health tracking only needs a sample.
const outcomeBuffer = 4096

// serverOutcome is the outcome of one request to a server.
type serverOutcome struct {
	server  string
	outcome health.Outcome
	latency time.Duration
}

// reportOutcome queues the outcome of an attempt for the owner goroutine.
func (v *View) reportOutcome(target upstream.Target, report upstream.Report) {
	outcome, ok := healthOutcome(report.Outcome)
	if !ok {
		return
	}
	select {
	case v.outcomes <- serverOutcome{server: target.Name, outcome: outcome, latency: report.FirstByte}:
	default:
	}
}

func healthOutcome(outcome upstream.Outcome) (health.Outcome, bool) {
	switch outcome {
	case upstream.Answered:
		return health.Success, true
	case upstream.Refused:
		return health.Refused, true
	case upstream.TimedOut:
		return health.Timeout, true
	case upstream.Unreachable, upstream.ConnectionLost, upstream.ServerError:
		return health.Failure, true
	default:
		return 0, false
	}
}

// recordOutcome updates a server's health from an outcome. Only the owner
// goroutine calls it.
func (v *View) recordOutcome(found serverOutcome) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.byName[found.server]
	if e == nil {
		return
	}
	v.tracker.Record(e.slot, found.outcome, found.latency, v.now(), v.random)
	v.publishHealth(e)
	if found.outcome == health.Refused {
		e.refused = true
	}
}

// evaluate updates the health state that depends on time or on other servers.
func (v *View) evaluate() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.tracker.Evaluate(v.now(), v.random)
	for _, e := range v.entries {
		if !e.owned && e.leaving.expireDraining(v.now()) {
			v.publish(e)
			continue
		}
		v.publishHealth(e)
	}
}

// publishHealth writes a server's health into the routing view. An ejection
// reported by the server's owner only makes it suspect here: ejecting it
// requires this gateway's own observations, because the failure may be in the
// network between the owner and the server.
func (v *View) publishHealth(e *entry) {
	state, slowStart := v.tracker.State(e.slot, v.now())
	server := &v.routing.Servers[e.index]
	server.SlowStart = slowStart
	switch {
	case state == health.Ejected:
		server.Health = routing.Ejected
	case state == health.Suspect, e.digestHealth == rockwindpb.HealthState_HEALTH_STATE_EJECTED:
		server.Health = routing.Suspect
	default:
		server.Health = routing.Healthy
	}
}

// dueTrials starts the trials that are due and returns the servers to probe for
// them.
func (v *View) dueTrials() []upstream.Target {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	var due []upstream.Target
	for _, e := range v.entries {
		if v.routing.Servers[e.index].Health != routing.Ejected {
			continue
		}
		if v.tracker.StartTrial(e.slot, now) {
			due = append(due, upstream.Target{Name: e.name, Address: e.address})
		}
	}
	return due
}
