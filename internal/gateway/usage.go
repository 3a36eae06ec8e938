package gateway

import (
	"sync"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// groupUsage accumulates the cost of served requests by tenant group since the last
// exchange. It is safe for concurrent use.
type groupUsage struct {
	mutex  sync.Mutex
	groups map[string]*rockwindpb.GroupUsage
}

func newGroupUsage() *groupUsage {
	return &groupUsage{groups: make(map[string]*rockwindpb.GroupUsage)}
}

func (u *groupUsage) group(name string) *rockwindpb.GroupUsage {
	found := u.groups[name]
	if found == nil {
		found = &rockwindpb.GroupUsage{Group: name}
		u.groups[name] = found
	}
	return found
}

// addOnline adds the cost of an online request.
func (u *groupUsage) addOnline(group string, cost float64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.group(group).OnlineCost += cost
}

// addBatch adds the cost of a batch item.
func (u *groupUsage) addBatch(group string, cost float64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.group(group).BatchCost += cost
}

// addBatchUsage adds the cost of a batch item to its group and its model.
func (g *Gateway) addBatchUsage(group, model string, cost float64) {
	g.groupUsage.addBatch(group, cost)
	g.modelUsage.addBatch(model, cost)
}

// take returns the accumulated usage and resets it. demand is the cost of the batch
// items that wait or run, by group.
func (u *groupUsage) take(demand map[string]float64) []*rockwindpb.GroupUsage {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for group, cost := range demand {
		u.group(group).Demand = cost
	}
	counts := make([]*rockwindpb.GroupUsage, 0, len(u.groups))
	for _, usage := range u.groups {
		counts = append(counts, usage)
	}
	u.groups = make(map[string]*rockwindpb.GroupUsage)
	return counts
}

// restore adds back usage that could not be delivered.
func (u *groupUsage) restore(counts []*rockwindpb.GroupUsage) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for _, usage := range counts {
		found := u.group(usage.GetGroup())
		found.OnlineCost += usage.GetOnlineCost()
		found.BatchCost += usage.GetBatchCost()
	}
}
