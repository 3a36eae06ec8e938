package backlog

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// needUnit is the bound of the lowest need level in runs: only tenants without runs are there,
	// whatever their weights.
	needUnit = 0.01
	// needSteps is how many levels there are from one amount to twice as much. Tenants of one level
	// count as alike, which is within a fifth.
	needSteps = 4
	// UnmetDemandLevels is how many levels there are: the highest begins at 10,000 runs.
	UnmetDemandLevels = 82
	// alikeSteps is within how many levels no tenant is taken to be ahead of another one: what
	// leaders of shards know of one and the same tenant differs by as much.
	alikeSteps = 1
)

// EndedItemRetention is for how long an item that ended still counts as one that runs: for longer than others
// need to hear of it on a large site (some 300 ms). Where many end together, what is told of the
// others is as old as what is known here, and none seems to be ahead that is not.
const EndedItemRetention = 500 * time.Millisecond

// UnmetDemand is how many items wait that cannot all be on time, by how much their tenants have
// running: the levels grow geometrically. It names no tenant, so that a process tells as little of
// 11,000 tenants as of two, and counts of several processes add up.
type UnmetDemand [UnmetDemandLevels]int

// level is that of a tenant which has so many items running.
func level(running float64) int {
	if running <= needUnit {
		return 0
	}
	return min(UnmetDemandLevels-1, int(math.Ceil(needSteps*math.Log2(running/needUnit))))
}

// bound is the highest number of runs of a level.
func bound(level int) float64 { return needUnit * math.Exp2(float64(level)/needSteps) }

// Add counts an item that waits whose tenant has so many running.
func (n *UnmetDemand) Add(running float64) { n[level(running)]++ }

// Plus adds what waits elsewhere.
func (n *UnmetDemand) Plus(other UnmetDemand) {
	for level, waiting := range other {
		n[level] += waiting
	}
}

// Len is how many items wait.
func (n *UnmetDemand) Len() int {
	sum := 0
	for _, waiting := range n {
		sum += waiting
	}
	return sum
}

// empty tells whether no item waits.
func (n *UnmetDemand) empty() bool { return *n == UnmetDemand{} }

// Usage is how many items run, by tenant, in all shards: those of this process, and those of
// others as they tell. Each holds a slot, so tenants that have alike many get as much time of
// servers, however long their items run. What is running counts and nothing before it: a tenant that
// was quiet is ahead until it runs as much as the others, and no longer; and a process that
// starts anew, which runs nothing, finds what the others run. Runs count over all services, as
// what waits does not: a tenant with many runs of one service leaves room at another one too, where
// it has none.
//
// The zero Usage is that of items without tenants, which share by nothing.
type Usage struct {
	running map[string]float64
	needs   map[string]*UnmetDemand
}

// NewUsage returns the use of items that run in one shard, given how many those of a tenant in
// other shards are; nil where none runs.
func NewUsage(running []Item, elsewhere map[string]float64) Usage {
	use := Usage{running: make(map[string]float64), needs: make(map[string]*UnmetDemand)}
	maps.Copy(use.running, elsewhere)
	for _, each := range running {
		use.AddRunning(each)
	}
	return use
}

// SetUnmetDemand takes what waits for a service at other processes.
func (u Usage) SetUnmetDemand(service string, need UnmetDemand) {
	if !need.empty() {
		u.needs[service] = &need
	}
}

// AddRunning counts an item that begins to run.
func (u Usage) AddRunning(item Item) {
	if u.running != nil {
		u.running[item.tenant]++
	}
}

func (u Usage) clone() Usage { return Usage{running: maps.Clone(u.running)} }

// RunsPerWeight is how many items the tenant of an item has running, over its weight.
func (u Usage) RunsPerWeight(item Item) float64 { return u.running[item.tenant] / item.share() }

// Reserved is how many runs an item that is to be started leaves to items that wait at other
// processes, of tenants that have less running than its own. It answers a tenant that has jobs in
// all shards beside one that has them in a single one: by the order within each shard alone the
// first one had as many times the room of the other as there are shards. What is left is half of the
// runs by which its tenant differs from the one with the least, which makes them alike, and no more
// than wait: room that others do not ask for goes to whoever asks.
func (u Usage) Reserved(service string, item Item) int {
	need := u.needs[service]
	if need == nil || item.tenant == "" {
		return 0
	}
	// Both bound what is left: reserved what waits, of each level no more than makes it alike; most
	// the difference to the least. Levels add up to more than that where many tenants have little,
	// and the item's own tenant would fall behind them.
	reserved, most := 0, 0
	own := u.RunsPerWeight(item)
	for level, waiting := range need {
		if waiting == 0 {
			continue
		}
		ahead := int((own - bound(level)) * item.share() / 2)
		if ahead <= 0 {
			break
		}
		most = max(most, ahead)
		reserved += min(waiting, ahead)
	}
	return min(reserved, most)
}

// GoesFirst tells whether an item that is to be started goes before all that wait for the service at
// other processes: its tenant has less running than those of all of them, which leave it room.
func (u Usage) GoesFirst(service string, item Item) bool {
	need := u.needs[service]
	if need == nil || item.tenant == "" {
		return false
	}
	alike := min(UnmetDemandLevels-1, level(u.RunsPerWeight(item))+alikeSteps)
	return !slices.ContainsFunc(need[:alike+1], func(waiting int) bool { return waiting > 0 })
}
