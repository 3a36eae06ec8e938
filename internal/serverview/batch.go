package serverview

import (
	"time"

	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/upstream"
)

// BatchRequirements describes what a batch item needs of a server.
type BatchRequirements struct {
	// Model and Adapter must be loaded.
	Model   string
	Adapter string
	// PromptTokens is the estimated prompt length.
	PromptTokens int
	// Objective is the objective of the group that owns the job.
	Objective sharing.Objective
}

// BatchChoice is the server chosen for a batch item.
type BatchChoice struct {
	Target upstream.Target
	// TokensPerStep is the value for the request's batch token budget.
	TokensPerStep int
}

// BatchPreemption is how many batch items must be paused on a server.
type BatchPreemption struct {
	Target upstream.Target
	// Count is the number of items to pause.
	Count int
	// Lost is true if the server was ejected, so that its items can't be
	// expected to finish.
	Lost bool
}

// FreeBatchSlots returns how many more batch items the servers owned by this
// gateway can take.
func (v *View) FreeBatchSlots(requirements BatchRequirements) int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	free := 0
	v.forEachBatchServer(requirements, func(_ *entry, budget sharing.Budget, running int) {
		free += max(0, budget.Items-running)
	})
	return free
}

// StartBatch picks the owned server with the most free slots, except those
// already tried, and counts the item as running there.
func (v *View) StartBatch(requirements BatchRequirements, tried []string) (BatchChoice, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var best *entry
	var choice BatchChoice
	most := 0
	v.forEachBatchServer(requirements, func(e *entry, budget sharing.Budget, running int) {
		free := budget.Items - running
		if free <= most || contains(tried, e.name) {
			return
		}
		most, best = free, e
		choice = BatchChoice{
			Target:        upstream.Target{Name: e.name, Address: e.address},
			TokensPerStep: budget.TokensPerStep,
		}
	})
	if best == nil {
		return BatchChoice{}, false
	}
	best.batch.running++
	v.routing.RecordSent(best.index, requirements.PromptTokens, true)
	return choice, true
}

func contains(names []string, name string) bool {
	for _, found := range names {
		if found == name {
			return true
		}
	}
	return false
}

// forEachBatchServer visits the owned servers that can run batch items with the
// given requirements. The caller holds the lock.
func (v *View) forEachBatchServer(requirements BatchRequirements, visit func(e *entry, budget sharing.Budget, running int)) {
	request, ok := v.request(Requirements{Model: requirements.Model, Adapter: requirements.Adapter})
	if !ok {
		return
	}
	now := v.now()
	for _, e := range v.owned {
		server := &v.routing.Servers[e.index]
		if server.Health == routing.Ejected || !eligible(server, &request) {
			continue
		}
		state := v.batchServerState(e, now)
		visit(e, sharing.BatchBudget(state, v.budgetPolicy(requirements.Objective), now), e.batch.running)
	}
}

// eligible reports whether a server may serve any of the request's versions.
func eligible(server *routing.Server, request *routing.Request) bool {
	for _, version := range request.Versions {
		if server.Eligible(request, version.Name) {
			return true
		}
	}
	return false
}

// budgetPolicy returns the policy of an objective with this view's cost model.
func (v *View) budgetPolicy(objective sharing.Objective) sharing.BudgetPolicy {
	policy := sharing.DefaultBudgetPolicy(objective)
	policy.StepBase = v.routing.Cost.StepBase
	policy.PerSequence = v.routing.Cost.PerSequence
	policy.PerPromptToken = v.routing.Cost.PerPromptToken
	return policy
}

// latencyTarget returns the online tail latency that batch work must not
// exceed: the estimate for online requests without batch work, within the
// configured step target.
func (v *View) latencyTarget() sharing.Target {
	return v.tail.Target(v.stepTarget)
}

// batchStepTime is the time that batch items add to a step on a server.
func (b *batchState) batchStepTime() time.Duration {
	return time.Duration(b.running) * sharing.DefaultBudgetPolicy(sharing.Throughput).PerItem
}

// batchServerState returns the newest report corrected by the requests sent
// since.
func (v *View) batchServerState(e *entry, now time.Duration) sharing.ServerState {
	server := &v.routing.Servers[e.index]
	return sharing.ServerState{
		Online:       float64(server.OnlineRequests()),
		Tracker:      &e.batch.online,
		Target:       v.latencyTarget(),
		BatchRunning: e.batch.running,
		KVUsed:       float64(server.Report.KVUsed),
		ReportAge:    now - e.reportedAt,
	}
}

// OnlineChanged receives after the online load of an owned server changed, so
// that batch work can be paused or resumed without delay.
func (v *View) OnlineChanged() <-chan struct{} {
	return v.onlineChanged
}

// notifyOnlineChanged signals OnlineChanged if this gateway owns the server.
// The caller holds the lock.
func (v *View) notifyOnlineChanged(e *entry) {
	if !e.owned {
		return
	}
	select {
	case v.onlineChanged <- struct{}{}:
	default:
	}
}

// BatchPreemptions lists the servers that run more batch items than the objective's
// current budget allows, and the ejected servers with batch items.
func (v *View) BatchPreemptions(objective sharing.Objective) []BatchPreemption {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	policy := v.budgetPolicy(objective)
	var preemptions []BatchPreemption
	for _, e := range v.entries {
		if e.batch.running == 0 && e.batch.paused == 0 {
			continue
		}
		found := BatchPreemption{Target: upstream.Target{Name: e.name, Address: e.address}}
		found.Lost = v.routing.Servers[e.index].Health == routing.Ejected
		found.Count = sharing.ItemsToPause(v.batchServerState(e, now), policy, now)
		if found.Lost || found.Count > 0 {
			preemptions = append(preemptions, found)
		}
	}
	return preemptions
}

// ResumeBatch counts a paused item as running again if its server's budget has
// room, and reports whether it did.
func (v *View) ResumeBatch(server string, objective sharing.Objective) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.byName[server]
	if e == nil || e.batch.paused == 0 {
		return false
	}
	now := v.now()
	budget := sharing.BatchBudget(v.batchServerState(e, now), v.budgetPolicy(objective), now)
	if e.batch.running >= budget.Items {
		return false
	}
	e.batch.paused--
	e.batch.running++
	return true
}

// CanRunBatch reports whether this gateway owns the server and the server can
// run batch items with the given requirements.
func (v *View) CanRunBatch(server string, requirements BatchRequirements) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.byName[server]
	request, ok := v.request(Requirements{Model: requirements.Model, Adapter: requirements.Adapter})
	return ok && e != nil && e.owned && eligible(&v.routing.Servers[e.index], &request)
}

// PauseBatch counts a running item as paused.
func (v *View) PauseBatch(server string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if e := v.byName[server]; e != nil {
		e.batch.paused++
		e.batch.running--
	}
}

// EndBatch records the end of a batch item and reports its outcome to the owner
// goroutine.
func (v *View) EndBatch(target upstream.Target, report upstream.Report, paused bool, promptTokens int) {
	v.mutex.Lock()
	if e := v.byName[target.Name]; e != nil {
		v.routing.RecordFirstToken(e.index, promptTokens)
		v.routing.RecordEnd(e.index, true)
		if paused {
			e.batch.paused--
		} else {
			e.batch.running--
		}
	}
	v.mutex.Unlock()
	report.FirstByte = 0
	v.reportOutcome(target, report)
}
