package gateway

import (
	"sync"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// groupUsage counts the service that groups received since the last exchange,
// in cost units. It is safe for concurrent use.
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

// online counts service to online requests.
func (u *groupUsage) online(group string, cost float64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.group(group).OnlineCost += cost
}

// batch counts service to batch items.
func (u *groupUsage) batch(group string, cost float64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.group(group).BatchCost += cost
}

// servedBatch counts service to a batch item for its group and its model.
func (g *Gateway) servedBatch(group, model string, cost float64) {
	g.usage.batch(group, cost)
	g.models.batch(model, cost)
}

// take returns the counts and starts anew; demand is the cost of batch work
// that waits, by group.
func (u *groupUsage) take(demand map[string]float64) []*rockwindpb.GroupUsage {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for group, cost := range demand {
		u.group(group).Demand = cost
	}
	taken := make([]*rockwindpb.GroupUsage, 0, len(u.groups))
	for _, usage := range u.groups {
		taken = append(taken, usage)
	}
	u.groups = make(map[string]*rockwindpb.GroupUsage)
	return taken
}

// restore gives back counts that were not delivered.
func (u *groupUsage) restore(taken []*rockwindpb.GroupUsage) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for _, usage := range taken {
		found := u.group(usage.GetGroup())
		found.OnlineCost += usage.GetOnlineCost()
		found.BatchCost += usage.GetBatchCost()
	}
}
