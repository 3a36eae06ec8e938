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

// The load in virtual time: shards led by as many stores, which start items at the servers' slots
// as they see them. One tenant has a heap in each shard, one in a single shard, one in three and one
// a small job in the last; together they ask for nearly twice the room until their items are due.
const (
	shardCount  = 11
	slotCount   = 88
	itemRuns    = 2 * time.Second
	itemDue     = 18 * time.Second
	look        = 40 * time.Millisecond
	digestTurn  = 100 * time.Millisecond
	unseen      = 100 * time.Millisecond
	heapsCame   = time.Second
	shardsEnd   = 20 * time.Second
	restartTime = 6 * time.Second
	service     = "service"
	// firstRivals is that of package balance.
	firstRivals = 3
)

// heap is how many items of a tenant come in a shard.
type heap struct {
	tenant string
	weight uint32
	shard  int
	items  int
	came   time.Duration
}

func unequalHeaps() []heap {
	var heaps []heap
	for shard := range shardCount {
		heaps = append(heaps, heap{tenant: "everywhere", shard: shard, items: 80})
	}
	for shard := range 3 {
		heaps = append(heaps, heap{tenant: "three", shard: shard + 4, items: 70, came: heapsCame})
	}
	return append(heaps,
		heap{tenant: "one", items: 200, came: heapsCame},
		heap{tenant: "small", shard: shardCount - 1, items: 24, came: heapsCame})
}

// shardWay is how the leaders order items.
type shardWay struct {
	name string
	// shares: tenants share within a shard; tells: leaders know what runs elsewhere; leaves:
	// they leave room to items of tenants that have less; takes: these take what is left at once.
	shares, tells, leaves, takes bool
	// restarts is how many leaders lose their runs, and lost the part of digests that is.
	restarts int
	lost     float64
}

// The most runs beyond the slots, which wait at servers: an eighth of the slots where all digests
// come, and half of them with half of the digests lost. Leaders that hear nothing for longer than
// their starts count for (unseen) take the same slots; by due time alone they were 51 too many then.
const (
	mostOver      = slotCount / 8
	mostOverLossy = slotCount / 2
)

func (w shardWay) mostOver() int {
	if w.lost > 0 {
		return mostOverLossy
	}
	return mostOver
}

// run is an item that runs.
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
	// told is its newest digest.
	told struct {
		runs    int
		running map[string]float64
		need    backlog.UnmetDemand
	}
	need backlog.UnmetDemand
}

// shardsPlay is one play of the load.
type shardsPlay struct {
	way     shardWay
	random  *rand.Rand
	leaders []*leader
	now     time.Duration
	asked   map[string]int
	onTime  map[string]int
	// idle is the room that was not used while items waited, in runs of an item.
	idle float64
	// over is by how many runs there were more than slots at most.
	over int
}

func (p *shardsPlay) time() time.Time { return start.Add(p.now) }

func playShards(way shardWay, heaps []heap) *shardsPlay {
	p := &shardsPlay{way: way, random: rand.New(rand.NewPCG(3, 3)), asked: make(map[string]int), onTime: make(map[string]int)}
	for range shardCount {
		p.leaders = append(p.leaders, &leader{})
	}
	for ; p.now < shardsEnd; p.now += look {
		for _, heap := range heaps {
			if heap.came <= p.now && p.now < heap.came+look {
				p.come(heap)
			}
		}
		for shard, each := range p.leaders {
			p.end(each)
			if shard < way.restarts && p.now/look == restartTime/look {
				p.restart(each)
			}
		}
		for _, place := range p.random.Perm(shardCount) {
			p.schedule(p.leaders[place])
		}
		if p.now%digestTurn < look {
			p.tell()
		}
		p.noteIdle()
	}
	return p
}

func (p *shardsPlay) come(heap heap) {
	came := p.time()
	for range heap.items {
		item := backlog.NewItem(came, came.Add(itemDue), itemRuns).WithTenant(heap.tenant, heap.weight)
		p.leaders[heap.shard].waiting = append(p.leaders[heap.shard].waiting, item)
	}
	p.asked[heap.tenant] += heap.items
}

func (p *shardsPlay) end(l *leader) {
	var left []run
	for _, each := range l.running {
		if each.ends > p.now {
			left = append(left, each)
			continue
		}
		l.ended = append(l.ended, each)
		if each.item.OnTime(p.time().Add(-itemRuns)) {
			p.onTime[each.item.Tenant()]++
		}
	}
	l.running = left
}

// restart has a leader start anew: its runs are cut, and their items wait again.
func (p *shardsPlay) restart(l *leader) {
	for _, each := range l.running {
		l.waiting = append(l.waiting, each.item)
	}
	l.running, l.ended, l.starts = nil, nil, nil
	l.need = backlog.UnmetDemand{}
}

func (p *shardsPlay) runningOf(l *leader) []backlog.Item {
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

// use is what a leader knows of the tenants' use.
func (p *shardsPlay) use(l *leader) backlog.Usage {
	elsewhere := make(map[string]float64)
	var need backlog.UnmetDemand
	for _, other := range p.leaders {
		if other == l || !p.way.tells {
			continue
		}
		for tenant, running := range other.told.running {
			elsewhere[tenant] += running
		}
		for level, waiting := range other.told.need {
			need[level] += waiting
		}
	}
	use := backlog.NewUsage(p.runningOf(l), elsewhere)
	if p.way.leaves {
		use.SetUnmetDemand(service, need)
	}
	return use
}

func (p *shardsPlay) schedule(l *leader) {
	use := p.use(l)
	ordered, short := p.order(l, use)
	var left []backlog.Item
	full := make(map[string]bool)
	for _, item := range ordered {
		tenant := item.Tenant()
		if full[tenant] {
			left = append(left, item)
			continue
		}
		if !p.begin(l, item, use.Reserved(service, item), use.GoesFirst(service, item)) {
			full[tenant] = true
			left = append(left, item)
			continue
		}
		use.AddRunning(item)
	}
	l.waiting = left
	l.need = backlog.UnmetDemand{}
	for _, item := range short {
		l.need.Add(use.RunsPerWeight(item))
	}
}

func (p *shardsPlay) order(l *leader, use backlog.Usage) (ordered, short []backlog.Item) {
	if !p.way.shares {
		return backlog.Order(l.waiting, p.time(), same), nil
	}
	return backlog.OrderShared(l.waiting, len(l.running), use, p.time(), same)
}

// begin starts an item where the leader sees room beyond what is reserved, as package balance
// decides it: the other leaders are taken to have started as much as this one has lately.
func (p *shardsPlay) begin(l *leader, item backlog.Item, reserved int, first bool) bool {
	for len(l.starts) > 0 && p.now-l.starts[0] > unseen {
		l.starts = l.starts[1:]
	}
	rivals := shardCount - 1
	if first && p.way.takes {
		rivals = firstRivals - 1
	}
	left := slotCount - len(l.running) - rivals*len(l.starts) - reserved
	for _, other := range p.leaders {
		if other != l {
			left -= other.told.runs
		}
	}
	if float64(left) <= float64(rivals)*p.random.Float64() {
		return false
	}
	l.starts = append(l.starts, p.now)
	l.running = append(l.running, run{item: item, ends: p.now + itemRuns})
	return true
}

func (p *shardsPlay) tell() {
	for _, each := range p.leaders {
		if p.random.Float64() < p.way.lost {
			continue
		}
		each.told.runs, each.told.need = len(each.running), each.need
		each.told.running = make(map[string]float64)
		for _, item := range p.runningOf(each) {
			each.told.running[item.Tenant()]++
		}
	}
}

func (p *shardsPlay) noteIdle() {
	running, waiting := 0, 0
	for _, each := range p.leaders {
		running += len(each.running)
		waiting += len(each.waiting)
	}
	p.over = max(p.over, running-slotCount)
	p.idle += float64(max(0, min(waiting, slotCount-running))) * look.Seconds() / itemRuns.Seconds()
}

// part is the part of a tenant's items that are on time.
func (p *shardsPlay) part(tenant string) float64 {
	return float64(p.onTime[tenant]) / float64(p.asked[tenant])
}

// all is how many items are on time.
func (p *shardsPlay) all() int {
	sum := 0
	for count := range maps.Values(p.onTime) {
		sum += count
	}
	return sum
}

func (p *shardsPlay) String() string {
	line := ""
	for _, tenant := range slices.Sorted(maps.Keys(p.asked)) {
		line += fmt.Sprintf("%s %d of %d, ", tenant, p.onTime[tenant], p.asked[tenant])
	}
	return fmt.Sprintf("%sall %d, unused %.0f, at most %d too many", line, p.all(), p.idle, p.over)
}

// The ways compared: by due time alone, as within each shard before, with the order by what is told,
// with room left to others, and as built: what is left is taken at once.
var (
	byDue        = shardWay{name: "by due"}
	withinShards = shardWay{name: "within shards", shares: true}
	byTold       = shardWay{name: "told", shares: true, tells: true}
	roomLeft     = shardWay{name: "told, room left", shares: true, tells: true, leaves: true}
	built        = shardWay{name: "as built", shares: true, tells: true, leaves: true, takes: true}
	builtAnew    = shardWay{name: "as built, a third start anew", shares: true, tells: true, leaves: true, takes: true, restarts: 4}
	builtLossy   = shardWay{name: "as built, half of the digests lost", shares: true, tells: true, leaves: true, takes: true, lost: 0.5}
)

// playAll plays the ways side by side.
func playAll(t *testing.T, heaps []heap, ways ...shardWay) map[string]*shardsPlay {
	t.Helper()
	plays := make([]*shardsPlay, len(ways))
	var group sync.WaitGroup
	for place, way := range ways {
		group.Go(func() { plays[place] = playShards(way, heaps) })
	}
	group.Wait()
	byName := make(map[string]*shardsPlay)
	for place, way := range ways {
		t.Logf("%s: %v", way.name, plays[place])
		if plays[place].over > way.mostOver() {
			t.Errorf("%s: %d runs beyond the slots", way.name, plays[place].over)
		}
		byName[way.name] = plays[place]
	}
	return byName
}

// TestTenantsShareOverAllShards: a tenant with jobs in all shards had fifteen times as many items on
// time as one that had them in a single shard and whose share was more than half as much.
func TestTenantsShareOverAllShards(t *testing.T) {
	t.Parallel()
	faulty := []shardWay{builtAnew, builtLossy}
	ways := append([]shardWay{withinShards, built, byDue, byTold, roomLeft}, faulty...)
	if testing.Short() {
		// With the race detector all of them take half a minute on a busy machine.
		faulty, ways = nil, []shardWay{withinShards, built}
	}
	plays := playAll(t, unequalHeaps(), ways...)
	if before := plays[withinShards.name]; before.part("one") > 0.25 {
		t.Errorf("the load is none: %v", before)
	}
	for _, way := range append(faulty, built) {
		play := plays[way.name]
		if play.part("one") < 0.7 || play.part("three") < 0.9 || play.part("small") < 1 {
			t.Errorf("%s: %v", way.name, play)
		}
	}
	if plays[built.name].all() < plays[withinShards.name].all()*97/100 {
		t.Errorf("room stays unused: %v", plays[built.name])
	}
}

// TestRoomThatOthersDoNotAskForIsUsed: all is one tenant's, or another one has a little besides.
func TestRoomThatOthersDoNotAskForIsUsed(t *testing.T) {
	t.Parallel()
	var heaps []heap
	for shard := range shardCount {
		heaps = append(heaps, heap{tenant: "everywhere", shard: shard, items: 80})
	}
	little := append(slices.Clone(heaps), heap{tenant: "small", shard: 3, items: 8, came: heapsCame})
	if !testing.Short() {
		alone := playAll(t, heaps, withinShards, built)
		if alone[built.name].all() < alone[withinShards.name].all()*99/100 {
			t.Errorf("alone, %d items on time instead of %d", alone[built.name].all(), alone[withinShards.name].all())
		}
	}
	shared := playAll(t, little, withinShards, built)
	if play := shared[built.name]; play.part("small") < 1 || play.all() < shared[withinShards.name].all()*97/100 {
		t.Errorf("beside a little: %v", play)
	}
}

// TestTenantsShareOverAllShardsByWeight: one of two tenants weighs three times the other.
func TestTenantsShareOverAllShardsByWeight(t *testing.T) {
	t.Parallel()
	var heaps []heap
	for shard := range shardCount {
		heaps = append(heaps, heap{tenant: "light", shard: shard, items: 80})
		heaps = append(heaps, heap{tenant: "heavy", weight: 3, shard: shard, items: 80})
	}
	play := playAll(t, heaps, built)[built.name]
	ratio := float64(play.onTime["heavy"]) / float64(play.onTime["light"])
	if ratio < 2 || ratio > 4 {
		t.Errorf("%.1f times as many on time: %v", ratio, play)
	}
}

// TestOrderWithoutTenantsIsThatByDueTime, whatever others tell.
func TestOrderWithoutTenantsIsThatByDueTime(t *testing.T) {
	t.Parallel()
	var heaps []heap
	for shard := range shardCount {
		heaps = append(heaps, heap{shard: shard, items: 80})
	}
	plays := playAll(t, heaps, byDue, built)
	if plays[byDue.name].String() != plays[built.name].String() {
		t.Error("the order is another one")
	}
}

// TestQuietTenantIsAheadUntilItRunsAsMuch, and no longer.
func TestQuietTenantIsAheadUntilItRunsAsMuch(t *testing.T) {
	use := backlog.NewUsage(nil, map[string]float64{"busy": 10})
	item := at(0, 18, 2).WithTenant("quiet", 0)
	var need backlog.UnmetDemand
	for range 100 {
		need.Add(10)
	}
	use.SetUnmetDemand(service, need)
	begun := 0
	for use.Reserved(service, item) == 0 && begun < 100 {
		use.AddRunning(item)
		begun++
	}
	if begun < 9 || begun > 14 {
		t.Errorf("%d runs begun beside ten of another one", begun)
	}
}
