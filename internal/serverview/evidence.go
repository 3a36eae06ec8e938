package serverview

import (
	"time"

	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/upstream"
)

// evidenceBuffer is how many outcomes may wait for the owner goroutine; more
// are dropped, for health needs a sample only.
const evidenceBuffer = 4096

// evidence is the outcome of one exchange with a server.
type evidence struct {
	server  string
	outcome health.Outcome
	latency time.Duration
}

// note hands the outcome of an attempt to the owner goroutine.
func (v *View) note(target upstream.Target, report upstream.Report) {
	outcome, ok := healthOutcome(report.Outcome)
	if !ok {
		return
	}
	select {
	case v.outcomes <- evidence{server: target.Name, outcome: outcome, latency: report.FirstByte}:
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

// record judges a server by an outcome. Only the owner goroutine calls it.
func (v *View) record(found evidence) {
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

// evaluate runs what depends on time and peers.
func (v *View) evaluate() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.tracker.Evaluate(v.now(), v.random)
	for _, e := range v.entries {
		if !e.own && e.leaving.expire(v.now()) {
			v.publish(e)
			continue
		}
		v.publishHealth(e)
	}
}

// publishHealth writes the verdict on a server into the routing view. What the
// server's owner said makes it suspect at most: ejection needs evidence of this
// gateway's own, because the link between them may be what failed.
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

// dueTrials lists the ejected servers that get a trial now.
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
