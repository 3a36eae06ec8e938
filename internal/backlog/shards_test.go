package backlog_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/backlog"
)

// The simulated load. Each shard is led by another store, which starts items in the servers' slots
// as it sees them. One tenant has many items in each shard, one in a single shard, one in three
// shards, and one has a small job in the last shard. Together they need almost twice the capacity
// until their items are due.
const (
	shardCount         = 11
	slotCount          = 88
	itemDuration       = 2 * time.Second
	itemDue            = 18 * time.Second
	schedulingInterval = 40 * time.Millisecond
	digestInterval     = 100 * time.Millisecond
	unseenStarts       = 100 * time.Millisecond
	laterArrival       = time.Second
	shardsEnd          = 20 * time.Second
	restartTime        = 6 * time.Second
	service            = "service"
	// firstRivals is copied from package balance.
	firstRivals = 3
)

// itemBatch is a number of items of a tenant that are submitted to a shard at once.
type itemBatch struct {
	tenant  string
	weight  uint32
	shard   int
	items   int
	arrived time.Duration
}

func unevenLoad() []itemBatch {
	var batches []itemBatch
	for shard := range shardCount {
		batches = append(batches, itemBatch{tenant: "everywhere", shard: shard, items: 80})
	}
	for shard := range 3 {
		batches = append(batches, itemBatch{tenant: "three", shard: shard + 4, items: 70, arrived: laterArrival})
	}
	return append(batches,
		itemBatch{tenant: "one", items: 200, arrived: laterArrival},
		itemBatch{tenant: "small", shard: shardCount - 1, items: 24, arrived: laterArrival})
}

// schedulingMode is how the leaders order and start items.
type schedulingMode struct {
	name string
	// shares: tenants share within a shard; digests: leaders know what runs elsewhere; reserves: they
	// leave slots to items of tenants with fewer running items; prioritizes: these items use such slots
	// at once.
	shares, digests, reserves, prioritizes bool
	// restarts is the number of leaders that restart and lose their running items, and lost the
	// fraction of lost digests.
	restarts int
	lost     float64
}

// Maximum number of running items beyond the slots, which wait at servers: an eighth of the slots
// if all digests arrive, and half of them if half of the digests are lost. A leader counts its
// recent starts only for unseenStarts, so if digests are delayed for longer, leaders take the same
// slots.
const (
	maximumOver      = slotCount / 8
	maximumOverLossy = slotCount / 2
)

func (m schedulingMode) maximumOver() int {
	if m.lost > 0 {
		return maximumOverLossy
	}
	return maximumOver
}

// run is a running item.
type run struct {
	item backlog.Item
	ends time.Duration
}

// leader is the leader of one shard.
type leader struct {
	waiting []backlog.Item
	running []run
	ended   []run
	starts  []time.Duration
	// lastDigest is its newest digest.
	lastDigest struct {
		runs    int
		running map[string]float64
		demand  backlog.UnmetDemand
	}
	demand backlog.UnmetDemand
}

// shardSimulation simulates the load in one scheduling mode.
type shardSimulation struct {
	mode      schedulingMode
	random    *rand.Rand
	leaders   []*leader
	now       time.Duration
	submitted map[string]int
	onTime    map[string]int
	// idle is the unused capacity while items waited, in units of one item's run.
	idle float64
	// over is the maximum number of running items beyond the slots.
	over int
}

func (p *shardSimulation) time() time.Time { return start.Add(p.now) }

func simulateShards(mode schedulingMode, batches []itemBatch) *shardSimulation {
	p := &shardSimulation{mode: mode, random: rand.New(rand.NewPCG(3, 3)), submitted: make(map[string]int), onTime: make(map[string]int)}
	for range shardCount {
		p.leaders = append(p.leaders, &leader{})
	}
	for ; p.now < shardsEnd; p.now += schedulingInterval {
		for _, batch := range batches {
			if batch.arrived <= p.now && p.now < batch.arrived+schedulingInterval {
				p.arrive(batch)
			}
		}
		for shard, each := range p.leaders {
			p.end(each)
			if shard < mode.restarts && p.now/schedulingInterval == restartTime/schedulingInterval {
				p.restart(each)
			}
		}
		for _, place := range p.random.Perm(shardCount) {
			p.schedule(p.leaders[place])
		}
		if p.now%digestInterval < schedulingInterval {
			p.sendDigests()
		}
		p.recordIdle()
	}
	return p
}

func (p *shardSimulation) arrive(batch itemBatch) {
	arrived := p.time()
	for range batch.items {
		item := backlog.NewItem(arrived, arrived.Add(itemDue), itemDuration).WithTenant(batch.tenant, batch.weight)
		p.leaders[batch.shard].waiting = append(p.leaders[batch.shard].waiting, item)
	}
	p.submitted[batch.tenant] += batch.items
}

func (p *shardSimulation) end(l *leader) {
	var left []run
	for _, each := range l.running {
		if each.ends > p.now {
			left = append(left, each)
			continue
		}
		l.ended = append(l.ended, each)
		if each.item.OnTime(p.time().Add(-itemDuration)) {
			p.onTime[each.item.Tenant()]++
		}
	}
	l.running = left
}

// restart restarts a leader: its running items are interrupted and wait again.
func (p *shardSimulation) restart(l *leader) {
	for _, each := range l.running {
		l.waiting = append(l.waiting, each.item)
	}
	l.running, l.ended, l.starts = nil, nil, nil
	l.demand = backlog.UnmetDemand{}
}

func (p *shardSimulation) runningOf(l *leader) []backlog.Item {
	var running []backlog.Item
	for _, each := range l.running {
		running = append(running, each.item)
	}
	for _, each := range l.ended {
		if p.now-each.ends < backlog.EndedItemRetention {
			running = append(running, each.item)
		}
	}
	return running
}

// usage returns the tenants' usage as known to a leader.
func (p *shardSimulation) usage(l *leader) backlog.Usage {
	elsewhere := make(map[string]float64)
	var demand backlog.UnmetDemand
	for _, other := range p.leaders {
		if other == l || !p.mode.digests {
			continue
		}
		for tenant, running := range other.lastDigest.running {
			elsewhere[tenant] += running
		}
		for level, waiting := range other.lastDigest.demand {
			demand[level] += waiting
		}
	}
	usage := backlog.NewUsage(p.runningOf(l), elsewhere)
	if p.mode.reserves {
		usage.SetUnmetDemand(service, demand)
	}
	return usage
}

func (p *shardSimulation) schedule(l *leader) {
	usage := p.usage(l)
	ordered, short := p.order(l, usage)
	var left []backlog.Item
	full := make(map[string]bool)
	for _, item := range ordered {
		tenant := item.Tenant()
		if full[tenant] {
			left = append(left, item)
			continue
		}
		if !p.begin(l, item, usage.Reserved(service, item), usage.GoesFirst(service, item)) {
			full[tenant] = true
			left = append(left, item)
			continue
		}
		usage.AddRunning(item)
	}
	l.waiting = left
	l.demand = backlog.UnmetDemand{}
	for _, item := range short {
		l.demand.Add(usage.RunsPerWeight(item))
	}
}

func (p *shardSimulation) order(l *leader, usage backlog.Usage) (ordered, short []backlog.Item) {
	if !p.mode.shares {
		return backlog.Order(l.waiting, p.time(), same), nil
	}
	return backlog.OrderShared(l.waiting, len(l.running), usage, p.time(), same)
}

// begin starts an item if the leader sees a free slot beyond the reserved ones. Like package
// balance, it assumes that each of the other leaders started as many items recently as this one.
func (p *shardSimulation) begin(l *leader, item backlog.Item, reserved int, first bool) bool {
	for len(l.starts) > 0 && p.now-l.starts[0] > unseenStarts {
		l.starts = l.starts[1:]
	}
	rivals := shardCount - 1
	if first && p.mode.prioritizes {
		rivals = firstRivals - 1
	}
	left := slotCount - len(l.running) - rivals*len(l.starts) - reserved
	for _, other := range p.leaders {
		if other != l {
			left -= other.lastDigest.runs
		}
	}
	if float64(left) <= float64(rivals)*p.random.Float64() {
		return false
	}
	l.starts = append(l.starts, p.now)
	l.running = append(l.running, run{item: item, ends: p.now + itemDuration})
	return true
}

func (p *shardSimulation) sendDigests() {
	for _, each := range p.leaders {
		if p.random.Float64() < p.mode.lost {
			continue
		}
		each.lastDigest.runs, each.lastDigest.demand = len(each.running), each.demand
		each.lastDigest.running = make(map[string]float64)
		for _, item := range p.runningOf(each) {
			each.lastDigest.running[item.Tenant()]++
		}
	}
}

func (p *shardSimulation) recordIdle() {
	running, waiting := 0, 0
	for _, each := range p.leaders {
		running += len(each.running)
		waiting += len(each.waiting)
	}
	p.over = max(p.over, running-slotCount)
	p.idle += float64(max(0, min(waiting, slotCount-running))) * schedulingInterval.Seconds() / itemDuration.Seconds()
}

// onTimeFraction returns the fraction of a tenant's items that were on time.
func (p *shardSimulation) onTimeFraction(tenant string) float64 {
	return float64(p.onTime[tenant]) / float64(p.submitted[tenant])
}

// all returns the number of items that were on time.
func (p *shardSimulation) all() int {
	sum := 0
	for count := range maps.Values(p.onTime) {
		sum += count
	}
	return sum
}

func (p *shardSimulation) String() string {
	line := ""
	for _, tenant := range slices.Sorted(maps.Keys(p.submitted)) {
		line += fmt.Sprintf("%s %d of %d, ", tenant, p.onTime[tenant], p.submitted[tenant])
	}
	return fmt.Sprintf("%sall %d, unused %.0f, at most %d runs beyond the slots", line, p.all(), p.idle, p.over)
}

// The scheduling modes to compare: by due time alone; with sharing within each shard; with digests;
// with room left to other tenants; and the actual one, in which these use the room at once.
var (
	byDue           = schedulingMode{name: "by due"}
	withinShards    = schedulingMode{name: "within shards", shares: true}
	withDigests     = schedulingMode{name: "with digests", shares: true, digests: true}
	withReservation = schedulingMode{name: "with reservations", shares: true, digests: true, reserves: true}
	current         = schedulingMode{name: "current", shares: true, digests: true, reserves: true, prioritizes: true}
	currentRestarts = schedulingMode{name: "current, a third of the leaders restart", shares: true, digests: true, reserves: true, prioritizes: true, restarts: 4}
	currentLossy    = schedulingMode{name: "current, half of the digests lost", shares: true, digests: true, reserves: true, prioritizes: true, lost: 0.5}
)

// simulateAll runs the simulations of several modes in parallel.
func simulateAll(t *testing.T, batches []itemBatch, modes ...schedulingMode) map[string]*shardSimulation {
	t.Helper()
	simulations := make([]*shardSimulation, len(modes))
	var group sync.WaitGroup
	for place, mode := range modes {
		group.Go(func() { simulations[place] = simulateShards(mode, batches) })
	}
	group.Wait()
	byName := make(map[string]*shardSimulation)
	for place, mode := range modes {
		t.Logf("%s: %v", mode.name, simulations[place])
		if simulations[place].over > mode.maximumOver() {
			t.Errorf("%s: %d runs beyond the slots", mode.name, simulations[place].over)
		}
		byName[mode.name] = simulations[place]
	}
	return byName
}

// TestTenantsShareOverAllShards guards against a tenant with jobs in all shards getting many times
// the capacity of a tenant with jobs in a single shard.
func TestTenantsShareOverAllShards(t *testing.T) {
	t.Parallel()
	faulty := []schedulingMode{currentRestarts, currentLossy}
	modes := append([]schedulingMode{withinShards, current, byDue, withDigests, withReservation}, faulty...)
	if testing.Short() {
		// With the race detector, all modes take half a minute on a busy machine.
		faulty, modes = nil, []schedulingMode{withinShards, current}
	}
	simulations := simulateAll(t, unevenLoad(), modes...)
	if before := simulations[withinShards.name]; before.onTimeFraction("one") > 0.25 {
		t.Errorf("sharing within shards alone must make most items of the tenant late: %v", before)
	}
	for _, mode := range append(faulty, current) {
		simulation := simulations[mode.name]
		if simulation.onTimeFraction("one") < 0.7 || simulation.onTimeFraction("three") < 0.9 || simulation.onTimeFraction("small") < 1 {
			t.Errorf("%s: %v", mode.name, simulation)
		}
	}
	if simulations[current.name].all() < simulations[withinShards.name].all()*97/100 {
		t.Errorf("capacity stays unused: %v", simulations[current.name])
	}
}

// TestUnneededRoomIsUsed checks that a tenant gets all of the capacity that no other tenant needs,
// whether it is alone or another one has a few items.
func TestUnneededRoomIsUsed(t *testing.T) {
	t.Parallel()
	var batches []itemBatch
	for shard := range shardCount {
		batches = append(batches, itemBatch{tenant: "everywhere", shard: shard, items: 80})
	}
	little := append(slices.Clone(batches), itemBatch{tenant: "small", shard: 3, items: 8, arrived: laterArrival})
	if !testing.Short() {
		alone := simulateAll(t, batches, withinShards, current)
		if alone[current.name].all() < alone[withinShards.name].all()*99/100 {
			t.Errorf("alone, %d items on time instead of %d", alone[current.name].all(), alone[withinShards.name].all())
		}
	}
	shared := simulateAll(t, little, withinShards, current)
	if simulation := shared[current.name]; simulation.onTimeFraction("small") < 1 || simulation.all() < shared[withinShards.name].all()*97/100 {
		t.Errorf("beside a tenant with few items: %v", simulation)
	}
}

// TestTenantsShareOverAllShardsByWeight uses two tenants, one with three times the weight of the
// other.
func TestTenantsShareOverAllShardsByWeight(t *testing.T) {
	t.Parallel()
	var batches []itemBatch
	for shard := range shardCount {
		batches = append(batches, itemBatch{tenant: "light", shard: shard, items: 80})
		batches = append(batches, itemBatch{tenant: "heavy", weight: 3, shard: shard, items: 80})
	}
	simulation := simulateAll(t, batches, current)[current.name]
	ratio := float64(simulation.onTime["heavy"]) / float64(simulation.onTime["light"])
	if ratio < 2 || ratio > 4 {
		t.Errorf("%.1f times as many on time: %v", ratio, simulation)
	}
}

// TestOrderWithoutTenantsIsByDueTime checks that digests do not change the order on a site without
// tenants.
func TestOrderWithoutTenantsIsByDueTime(t *testing.T) {
	t.Parallel()
	var batches []itemBatch
	for shard := range shardCount {
		batches = append(batches, itemBatch{shard: shard, items: 80})
	}
	simulations := simulateAll(t, batches, byDue, current)
	if simulations[byDue.name].String() != simulations[current.name].String() {
		t.Error("the order differs from that by due time")
	}
}

// TestIdleTenantIsAheadUntilItRunsAsMuch checks that the advantage of a tenant with few running
// items ends once it has about as many as the others.
func TestIdleTenantIsAheadUntilItRunsAsMuch(t *testing.T) {
	usage := backlog.NewUsage(nil, map[string]float64{"busy": 10})
	item := at(0, 18, 2).WithTenant("quiet", 0)
	var demand backlog.UnmetDemand
	for range 100 {
		demand.Add(10)
	}
	usage.SetUnmetDemand(service, demand)
	begun := 0
	for usage.Reserved(service, item) == 0 && begun < 100 {
		usage.AddRunning(item)
		begun++
	}
	if begun < 9 || begun > 14 {
		t.Errorf("%d runs started beside ten of another tenant", begun)
	}
}
