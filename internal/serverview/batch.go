package serverview

import (
	"time"

	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/sharing"
	"rockwind.example/rockwind/internal/upstream"
)

// BatchRequirements is what a batch item needs of a back end.
type BatchRequirements struct {
	// Model and Adapter must be loaded.
	Model   string
	Adapter string
	// PromptTokens estimates the length of the prompt.
	PromptTokens int
	// Objective is that of the group that owns the job.
	Objective sharing.Objective
}

// BatchChoice is a server that takes one more batch item now.
type BatchChoice struct {
	// Target is the back end.
	Target upstream.Target
	// TokensPerStep goes into the request's batch token budget.
	TokensPerStep int
}

// BatchYield tells that so many batch items must leave a server now.
type BatchYield struct {
	// Target is the back end.
	Target upstream.Target
	// Count is the number of items.
	Count int
	// Lost tells that the server is out because of its failures, so that no
	// answer can be expected.
	Lost bool
}

// FreeBatchSlots returns how many more batch items of a model the servers that this
// gateway owns take now.
func (v *View) FreeBatchSlots(wanted BatchRequirements) int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	free := 0
	v.eachBatchServer(wanted, func(_ *entry, budget sharing.Budget, running int) {
		free += max(0, budget.Items-running)
	})
	return free
}

// StartBatch picks the owned server with the most free places for an item and
// counts the item as running there.
func (v *View) StartBatch(wanted BatchRequirements, tried []string) (BatchChoice, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var best *entry
	var choice BatchChoice
	most := 0
	v.eachBatchServer(wanted, func(e *entry, budget sharing.Budget, running int) {
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
	v.routing.RecordSent(best.index, wanted.PromptTokens, true)
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

// eachBatchServer visits the servers that may take batch of the model.
func (v *View) eachBatchServer(wanted BatchRequirements, visit func(e *entry, budget sharing.Budget, running int)) {
	request, ok := v.request(Requirements{Model: wanted.Model, Adapter: wanted.Adapter})
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
		visit(e, sharing.BatchBudget(state, v.budgetPolicy(wanted.Objective), now), e.batch.running)
	}
}

// eligible tells whether a server holds any of the versions.
func eligible(server *routing.Server, request *routing.Request) bool {
	for _, version := range request.Versions {
		if server.Eligible(request, version.Name) {
			return true
		}
	}
	return false
}

// budgetPolicy is the policy of an objective with the step model of the view.
func (v *View) budgetPolicy(objective sharing.Objective) sharing.BudgetPolicy {
	policy := sharing.DefaultBudgetPolicy(objective)
	policy.StepBase = v.routing.Cost.StepBase
	policy.PerSequence = v.routing.Cost.PerSequence
	policy.PerPromptToken = v.routing.Cost.PerPromptToken
	return policy
}

// target is the tail of online latency that batch may not lengthen: what this
// gateway estimates that online alone would have, within the configured target
// of a step.
func (v *View) target() sharing.Target {
	return v.tail.Target(v.stepTarget)
}

// batchPart is the part of a step that batch takes on a server.
func (b *batchState) batchPart() time.Duration {
	return time.Duration(b.running) * sharing.DefaultBudgetPolicy(sharing.Throughput).PerItem
}

// batchServerState corrects the newest report by what was sent since.
func (v *View) batchServerState(e *entry, now time.Duration) sharing.ServerState {
	server := &v.routing.Servers[e.index]
	return sharing.ServerState{
		Online:       float64(server.OnlineRequests()),
		Pace:         &e.batch.pace,
		Target:       v.target(),
		BatchRunning: e.batch.running,
		KVUsed:       float64(server.Report.KVUsed),
		ReportAge:    now - e.reportedAt,
	}
}

// OnlineChanged receives after the online load of a server that this gateway
// owns changed, so that batch gives way or goes on at once.
func (v *View) OnlineChanged() <-chan struct{} {
	return v.online
}

// changed wakes who waits for OnlineChanged. The caller holds the lock.
func (v *View) changed(e *entry) {
	if !e.own {
		return
	}
	select {
	case v.online <- struct{}{}:
	default:
	}
}

// BatchYields lists the servers on which more batch items run than the budget
// of the moment allows under an objective, and those that are lost.
func (v *View) BatchYields(objective sharing.Objective) []BatchYield {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	policy := v.budgetPolicy(objective)
	var yields []BatchYield
	for _, e := range v.entries {
		if e.batch.running == 0 && e.batch.paused == 0 {
			continue
		}
		found := BatchYield{Target: upstream.Target{Name: e.name, Address: e.address}}
		found.Lost = v.routing.Servers[e.index].Health == routing.Ejected
		found.Count = sharing.ShouldYield(v.batchServerState(e, now), policy, now)
		if found.Lost || found.Count > 0 {
			yields = append(yields, found)
		}
	}
	return yields
}

// ResumeBatch counts a paused item as running again where its server has room,
// and tells whether it has.
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

// CanRunBatch tells whether a server that this gateway owns may run batch items
// of the model.
func (v *View) CanRunBatch(server string, wanted BatchRequirements) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e := v.byName[server]
	request, ok := v.request(Requirements{Model: wanted.Model, Adapter: wanted.Adapter})
	return ok && e != nil && e.own && eligible(&v.routing.Servers[e.index], &request)
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

// EndBatch counts a batch item down and hands the evidence to the owner.
func (v *View) EndBatch(target upstream.Target, report upstream.Report, paused bool, promptTokens int) {
	v.mutex.Lock()
	if e := v.byName[target.Name]; e != nil {
		v.routing.RecordFirstToken(e.index, promptTokens)
		v.routing.RecordEnded(e.index, true)
		if paused {
			e.batch.paused--
		} else {
			e.batch.running--
		}
	}
	v.mutex.Unlock()
	report.FirstByte = 0
	v.note(target, report)
}
