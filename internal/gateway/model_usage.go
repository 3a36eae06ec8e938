package gateway

import (
	"sync"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/serverview"
	"rockwind.example/rockwind/internal/sharing"
)

// modelUsage counts what was asked of models since the last exchange, in cost
// units, for placement. It is safe for concurrent use.
type modelUsage struct {
	mutex  sync.Mutex
	models map[string]*rockwindpb.ModelUsage
}

func newModelUsage() *modelUsage {
	return &modelUsage{models: make(map[string]*rockwindpb.ModelUsage)}
}

// refusedTokens is the answer assumed for a request that was refused.
const refusedTokens = 100

// modelName is the name under which a request counts: that of the adapter, where
// it names one.
func modelName(wanted serverview.Requirements) string {
	if wanted.Adapter != "" {
		return wanted.Model + ":" + wanted.Adapter
	}
	return wanted.Model
}

// online counts an online request: what it received or, where it did not begin,
// what it would have. Services count nothing.
func (u *modelUsage) online(wanted serverview.Requirements, served float64, begun bool) {
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
	usage.RefusedCost += sharing.Cost(wanted.PromptTokens, 0, refusedTokens)
}

// batch counts service to a batch item.
func (u *modelUsage) batch(model string, cost float64) {
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

// take returns the counts and starts anew.
func (u *modelUsage) take() []*rockwindpb.ModelUsage {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	taken := make([]*rockwindpb.ModelUsage, 0, len(u.models))
	for _, usage := range u.models {
		taken = append(taken, usage)
	}
	u.models = make(map[string]*rockwindpb.ModelUsage)
	return taken
}

// restore gives back counts that were not delivered.
func (u *modelUsage) restore(taken []*rockwindpb.ModelUsage) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for _, usage := range taken {
		found := u.model(usage.GetModel())
		found.OnlineCost += usage.GetOnlineCost()
		found.BatchCost += usage.GetBatchCost()
		found.RefusedCost += usage.GetRefusedCost()
	}
}
