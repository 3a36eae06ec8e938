package backlog

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// lowestLevelBound is the upper bound of the lowest level. Only tenants without running items
	// are on that level, whatever their weights.
	lowestLevelBound = 0.01
	// levelsPerDoubling is the number of levels by which the bound doubles. Tenants on one level,
	// which differ by at most a fifth, are treated as equal.
	levelsPerDoubling = 4
	// UnmetDemandLevels is the number of levels. The highest begins at 10,000 running items.
	UnmetDemandLevels = 82
	// toleranceLevels is the number of levels within which no tenant is considered ahead of
	// another. What different leaders know of the same tenant differs by as much.
	toleranceLevels = 1
)

// EndedItemRetention is how long an ended item still counts as running. It is longer than the
// propagation delay of digests on a large site (about 300 ms). If many items end at once, a process
// would otherwise compare its own current usage with older reports of the others and rank tenants
// wrongly.
const EndedItemRetention = 500 * time.Millisecond

// UnmetDemand is a histogram of the waiting items that cannot all be on time, by the number of
// running items of their tenants per weight. The bounds of the levels grow geometrically. Its size
// does not depend on the number of tenants, and histograms of several processes can be added.
type UnmetDemand [UnmetDemandLevels]int

// level returns the level of a tenant with a number of running items per weight.
func level(running float64) int {
	if running <= lowestLevelBound {
		return 0
	}
	return min(UnmetDemandLevels-1, int(math.Ceil(levelsPerDoubling*math.Log2(running/lowestLevelBound))))
}

// bound returns the upper bound of a level.
func bound(level int) float64 { return lowestLevelBound * math.Exp2(float64(level)/levelsPerDoubling) }

// Add counts a waiting item whose tenant has a number of running items per weight.
func (d *UnmetDemand) Add(running float64) { d[level(running)]++ }

// Plus adds the waiting items of another process.
func (d *UnmetDemand) Plus(other UnmetDemand) {
	for level, waiting := range other {
		d[level] += waiting
	}
}

// Len returns the number of waiting items.
func (d *UnmetDemand) Len() int {
	sum := 0
	for _, waiting := range d {
		sum += waiting
	}
	return sum
}

func (d *UnmetDemand) empty() bool { return *d == UnmetDemand{} }

// Usage counts the running items by tenant in all shards: those of this process, and those that
// others report. Each running item uses a slot, so tenants with equal usage get equal server time,
// however long their items take. Only items that run now count. A tenant that was idle is ahead
// until it has as many running items as the others, and a process that restarts finds the current
// usage of the others. Running items are counted over all services, and waiting ones by service: a
// tenant with many running items of one service also leaves room to others at another service.
//
// The zero value is for items without tenants, which do not share.
type Usage struct {
	running     map[string]float64
	unmetDemand map[string]*UnmetDemand
}

// NewUsage returns the usage of the items that run in one shard and of those that run elsewhere,
// counted by tenant; elsewhere may be nil.
func NewUsage(running []Item, elsewhere map[string]float64) Usage {
	usage := Usage{running: make(map[string]float64), unmetDemand: make(map[string]*UnmetDemand)}
	maps.Copy(usage.running, elsewhere)
	for _, each := range running {
		usage.AddRunning(each)
	}
	return usage
}

// SetUnmetDemand sets the unmet demand for a service at other processes.
func (u Usage) SetUnmetDemand(service string, demand UnmetDemand) {
	if !demand.empty() {
		u.unmetDemand[service] = &demand
	}
}

// AddRunning counts an item that starts to run.
func (u Usage) AddRunning(item Item) {
	if u.running != nil {
		u.running[item.tenant]++
	}
}

func (u Usage) clone() Usage { return Usage{running: maps.Clone(u.running)} }

// RunsPerWeight returns the number of running items of the item's tenant, divided by its weight.
func (u Usage) RunsPerWeight(item Item) float64 { return u.running[item.tenant] / item.share() }

// Reserved returns how many slots must be left, when an item is to be started, to items that wait
// at other processes and whose tenants have fewer running items. Without it, the order within each
// shard would give a tenant with jobs in all shards a multiple of the slots of a tenant with jobs
// in a single one. The result is at most half of the difference to the tenant with the fewest
// running items, which would make them equal, and at most the number of waiting items, so that
// slots which others do not need remain usable.
func (u Usage) Reserved(service string, item Item) int {
	demand := u.unmetDemand[service]
	if demand == nil || item.tenant == "" {
		return 0
	}
	// Both are upper bounds: reserved sums up the waiting items, of each level at most as many as
	// would make it equal; maximum is the difference to the lowest level. If many tenants have few
	// running items, the sum exceeds the difference, and the item's own tenant would fall behind
	// them.
	reserved, maximum := 0, 0
	own := u.RunsPerWeight(item)
	for level, waiting := range demand {
		if waiting == 0 {
			continue
		}
		ahead := int((own - bound(level)) * item.share() / 2)
		if ahead <= 0 {
			break
		}
		maximum = max(maximum, ahead)
		reserved += min(waiting, ahead)
	}
	return min(reserved, maximum)
}

// GoesFirst reports whether an item goes before all items that wait for the service at other
// processes: its tenant has fewer running items than all of theirs, which leave it room.
func (u Usage) GoesFirst(service string, item Item) bool {
	demand := u.unmetDemand[service]
	if demand == nil || item.tenant == "" {
		return false
	}
	highest := min(UnmetDemandLevels-1, level(u.RunsPerWeight(item))+toleranceLevels)
	return !slices.ContainsFunc(demand[:highest+1], func(waiting int) bool { return waiting > 0 })
}
