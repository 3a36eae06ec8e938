package gateway

import (
	"sync"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/serverview"
	"rockwind.example/rockwind/internal/sharing"
)

// modelUsage accumulates the cost of served and refused requests by model since the
// last exchange. Placement is based on it. It is safe for concurrent use.
type modelUsage struct {
	mutex  sync.Mutex
	models map[string]*rockwindpb.ModelUsage
}

func newModelUsage() *modelUsage {
	return &modelUsage{models: make(map[string]*rockwindpb.ModelUsage)}
}

// assumedOutputTokens estimates the output of requests that were refused.
const assumedOutputTokens = 100

// modelName returns the name under which a request counts, including its adapter.
func modelName(wanted serverview.Requirements) string {
	if wanted.Adapter != "" {
		return wanted.Model + ":" + wanted.Adapter
	}
	return wanted.Model
}

// addOnline adds the cost of an online request: the served cost if its response
// began, otherwise the estimated cost as refused. Requests to services are ignored.
func (u *modelUsage) addOnline(wanted serverview.Requirements, served float64, begun bool) {
	if wanted.Model == "" {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	usage := u.model(modelName(wanted))
	if begun {
		usage.OnlineCost += served
		return
	}
	usage.RefusedCost += sharing.Cost(wanted.PromptTokens, 0, assumedOutputTokens)
}

// addBatch adds the cost of a batch item.
func (u *modelUsage) addBatch(model string, cost float64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.model(model).BatchCost += cost
}

func (u *modelUsage) model(name string) *rockwindpb.ModelUsage {
	found := u.models[name]
	if found == nil {
		found = &rockwindpb.ModelUsage{Model: name}
		u.models[name] = found
	}
	return found
}

// take returns the accumulated usage and resets it.
func (u *modelUsage) take() []*rockwindpb.ModelUsage {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	counts := make([]*rockwindpb.ModelUsage, 0, len(u.models))
	for _, usage := range u.models {
		counts = append(counts, usage)
	}
	u.models = make(map[string]*rockwindpb.ModelUsage)
	return counts
}

// restore adds back usage that could not be delivered.
func (u *modelUsage) restore(counts []*rockwindpb.ModelUsage) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for _, usage := range counts {
		found := u.model(usage.GetModel())
		found.OnlineCost += usage.GetOnlineCost()
		found.BatchCost += usage.GetBatchCost()
		found.RefusedCost += usage.GetRefusedCost()
	}
}
