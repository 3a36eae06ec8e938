package fairshare_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fairshare"
	"rockwind.example/rockwind/internal/waiting"
)

// The load that the package answers, in virtual time: 75 tenants, a few of them large, at 50
// routers before servers that are used to four fifths; two of the four largest tenants send
// 6.6 times their usual, so that more than twice as much is asked as there is room for.
const (
	routerCount = 50
	tenantCount = 75
	skew        = 1.2
	usualPerMs  = 2.0
	floodFactor = 6.6
	slotCount   = 200
	holding     = 80 * time.Millisecond
	timely      = 255 * time.Millisecond
	patience    = 2500 * time.Millisecond
	work        = 470
	step        = 5 * time.Millisecond
	digestTurn  = 100 * time.Millisecond
	viewAge     = 300 * time.Millisecond
	leastCredit = 2.0
	// full is the part of the slots up to which requests are started, and beyond the part up to
	// which modest ones are: one more at each server of eight slots.
	full        = 1.01
	beyond      = 1.125
	floodBegins = 4 * time.Second
	floodEnds   = 7 * time.Second
	dayEnds     = 7500 * time.Millisecond
)

// names are those of the tenants, and usual how many requests each makes in a step on average.
var names, usual = func() (names []string, usual []float64) {
	total := 0.0
	for tenant := range tenantCount {
		names = append(names, fmt.Sprint("tenant ", tenant))
		usual = append(usual, math.Pow(float64(tenant+1), -skew))
		total += usual[tenant]
	}
	for tenant := range usual {
		usual[tenant] *= usualPerMs * float64(step.Milliseconds()) / total
	}
	return names, usual
}()

// flooding are the tenants that send more than their usual.
var flooding = []int{0, 3}

// way is how the routers order what waits.
type way struct {
	name string
	// shares: tenants share at all; tells: by what the others tell, too.
	shares, tells bool
	// byDemand: free slots go to routers by what waits there; else to all alike.
	byDemand bool
	// modest: requests of tenants that had little beside another one start beyond the slots.
	modest bool
	// flood: the two tenants do send more.
	flood bool
	// restarts is how many routers lose what they know in the middle of the flood, and lost
	// the part of the digests that get lost.
	restarts int
	lost     float64
}

// outcome is the part of the requests in time, of the flooding tenants and of the others.
type outcome struct{ flood, others, worst float64 }

func (o outcome) String() string {
	return fmt.Sprintf("in time: others %.3f, their worst router %.3f, flood %.3f", o.others, o.worst, o.flood)
}

// simulatedRouter is one router with its queue.
type simulatedRouter struct {
	queue  waiting.Queue[request]
	ledger *fairshare.Ledger
	sent   []fairshare.Entry
	// credit is how many requests it may start, and told how many waited at its last digest.
	credit float64
	told   int
	// since is what it has started since the last digest, less what ended.
	since int
}

func (r *simulatedRouter) waits() map[string]int {
	waits := make(map[string]int)
	r.queue.Each(func(place waiting.SortKey) { waits[place.Tenant().Name]++ })
	return waits
}

type request struct {
	tenant  int
	router  int
	arrived time.Duration
	ends    time.Duration
}

// simulation is one play of the load.
type simulation struct {
	way     way
	random  *rand.Rand
	routers []*simulatedRouter
	sums    map[uint32]fairshare.RemoteUsage
	now     time.Duration
	// waits is how many requests waited at the last digests.
	waits int
	// seen is how many requests had slots or waited for one at the last digest.
	seen int
	// running are the requests that have a slot, and started those that wait for one at
	// servers.
	running []request
	started []request
	order   uint64
	asked   [2]float64
	inTime  [2]float64
	// atRouter counts the requests of others by router: asked, and in time.
	atRouter [routerCount][2]float64
}

func origin() time.Time { return time.Unix(1_000_000, 0) }

func (s *simulation) ledger(router *simulatedRouter) *fairshare.Ledger {
	return fairshare.NewLedger("class", func(hash uint32) fairshare.RemoteUsage {
		if !s.way.tells {
			return fairshare.RemoteUsage{}
		}
		sum := s.sums[hash]
		for _, own := range router.sent {
			if own.Hash == hash {
				sum = fairshare.RemoteUsage{Waiting: sum.Waiting - own.Waiting, Work: sum.Work - own.Work}
			}
		}
		return sum
	})
}

func play(way way) outcome {
	s := &simulation{way: way, random: rand.New(rand.NewPCG(7, 7)), sums: make(map[uint32]fairshare.RemoteUsage)}
	for range routerCount {
		router := &simulatedRouter{credit: leastCredit}
		router.ledger = s.ledger(router)
		if way.shares {
			router.queue.EnableFairShare(func(place waiting.SortKey) float64 {
				if !s.scarce(router) {
					return 0
				}
				return router.ledger.VirtualTime(place.Tenant().Name, 1, s.now)
			})
		}
		s.routers = append(s.routers, router)
	}
	for s.now = 0; s.now < dayEnds; s.now += step {
		s.arrive()
		s.restart()
		if s.now%digestTurn == 0 {
			s.tell()
		}
		s.serve()
	}
	worst := 1.0
	for _, counts := range s.atRouter {
		worst = min(worst, counts[1]/counts[0])
	}
	return outcome{flood: s.inTime[1] / s.asked[1], others: s.inTime[0] / s.asked[0], worst: worst}
}

// scarce tells whether room is too little by what a router knows.
func (s *simulation) scarce(router *simulatedRouter) bool {
	waits := s.waits - router.told + router.queue.Len()
	return fairshare.Overloaded(time.Duration(waits) * holding / slotCount)
}

func (s *simulation) inFlood() bool { return s.now >= floodBegins && s.now < floodEnds }

// arrive has the requests of one step come to routers by chance.
func (s *simulation) arrive() {
	for tenant, mean := range usual {
		if s.way.flood && s.inFlood() && slices.Contains(flooding, tenant) {
			mean *= floodFactor
		}
		for range s.poisson(mean) {
			s.add(tenant, s.random.IntN(routerCount))
		}
	}
}

func (s *simulation) poisson(mean float64) int {
	count, product, limit := 0, s.random.Float64(), math.Exp(-mean)
	for product > limit {
		count++
		product *= s.random.Float64()
	}
	return count
}

func (s *simulation) add(tenant, router int) {
	s.order++
	now := origin().Add(s.now)
	place := waiting.NewSortKey(waiting.Priority{}, s.order, now.Add(timely), now.Add(patience)).
		WithTenant(waiting.Tenant{Name: names[tenant]})
	s.routers[router].queue.Add(place, request{tenant: tenant, router: router, arrived: s.now})
	if s.inFlood() {
		s.asked[class(tenant)]++
		if class(tenant) == 0 {
			s.atRouter[router][0]++
		}
	}
}

func class(tenant int) int {
	if slices.Contains(flooding, tenant) {
		return 1
	}
	return 0
}

// restart has some routers lose what they know halfway through the flood.
func (s *simulation) restart() {
	if s.now != (floodBegins+floodEnds)/2 {
		return
	}
	for _, router := range s.routers[:s.way.restarts] {
		router.ledger, router.sent = s.ledger(router), nil
	}
}

// tell replaces what all routers tell each other; where a digest gets lost, the one before it
// counts on.
func (s *simulation) tell() {
	clear(s.sums)
	s.seen = len(s.running) + len(s.started)
	for _, router := range s.routers {
		router.since = 0
		if s.random.Float64() >= s.way.lost {
			router.sent, router.told = router.ledger.Entries(router.waits(), s.now), router.queue.Len()
		}
		for _, entry := range router.sent {
			sum := s.sums[entry.Hash]
			s.sums[entry.Hash] = fairshare.RemoteUsage{Waiting: sum.Waiting + entry.Waiting, Work: sum.Work + entry.Work}
		}
	}
}

// serve ends what has run, has all routers start what they may, and gives slots to what was
// started, in this order.
func (s *simulation) serve() {
	s.running = slices.DeleteFunc(s.running, func(each request) bool {
		if each.ends <= s.now {
			s.routers[each.router].credit++
			s.routers[each.router].since--
		}
		return each.ends <= s.now
	})
	free := slotCount - float64(len(s.running)+len(s.started))
	s.waits = 0
	for _, router := range s.routers {
		s.waits += router.told
	}
	for _, index := range s.random.Perm(routerCount) {
		router := s.routers[index]
		part := free / routerCount
		if s.way.byDemand {
			own := router.queue.Len()
			part = free * float64(own+1) / float64(own+s.waits-router.told+routerCount)
		}
		router.credit = min(max(leastCredit, part), router.credit+max(0, part)*float64(step)/float64(viewAge))
		s.start(router)
	}
	for len(s.running) < slotCount && len(s.started) > 0 {
		s.run(s.started[0])
		s.started = s.started[1:]
	}
}

// start has a router start what it may.
func (s *simulation) start(router *simulatedRouter) {
	for {
		first := s.next(router)
		if first == nil {
			return
		}
		served := first.Value()
		router.queue.Remove(first)
		if s.now-served.arrived > patience {
			continue
		}
		router.credit--
		router.since++
		router.ledger.Charge(names[served.tenant], work, s.now)
		s.started = append(s.started, served)
	}
}

// next is the first request of a router that may start or gives up, nil where none does.
func (s *simulation) next(router *simulatedRouter) *waiting.Entry[request] {
	var found *waiting.Entry[request]
	router.queue.Walk(origin().Add(s.now), func(entry *waiting.Entry[request]) bool {
		if s.now-entry.Value().arrived > patience || s.mayStart(router, entry.Value()) {
			found = entry
		}
		return found == nil && s.way.modest
	})
	return found
}

func (s *simulation) mayStart(router *simulatedRouter, each request) bool {
	credit, most := router.credit, full
	if s.way.modest && router.ledger.IsLight(names[each.tenant], func(string) uint32 { return 1 }, s.now) {
		credit, most = credit+1, beyond
	}
	return credit >= 1 && float64(s.seen+router.since) < most*slotCount
}

func (s *simulation) run(served request) {
	served.ends = s.now + holding
	s.running = append(s.running, served)
	if s.now-served.arrived > timely || served.arrived < floodBegins || served.arrived >= floodEnds {
		return
	}
	s.inTime[class(served.tenant)]++
	if class(served.tenant) == 0 {
		s.atRouter[served.router][1]++
	}
}

// playAll plays the load once for each way, at the same time, and returns what came of each
// by its name.
func playAll(t *testing.T, ways []way) map[string]outcome {
	var mutex sync.Mutex
	var group sync.WaitGroup
	results := make(map[string]outcome)
	for _, each := range ways {
		group.Go(func() {
			result := play(each)
			mutex.Lock()
			defer mutex.Unlock()
			results[each.name] = result
		})
	}
	group.Wait()
	for _, each := range ways {
		t.Logf("%-34s %v", each.name, results[each.name])
	}
	return results
}

// TestFloodOfOneTenantDoesNotMakeOthersLate weighs the ways: by arrival most of the others
// are late, by what each router knows itself a few are, and what the others tell and slots
// that follow what waits leave hardly any.
func TestFloodOfOneTenantDoesNotMakeOthersLate(t *testing.T) {
	results := playAll(t, []way{
		{name: "calm, by arrival"},
		{name: "calm, by arrival, slots by demand", byDemand: true},
		{name: "calm, told, slots by demand", shares: true, tells: true, byDemand: true},
		{name: "by arrival", flood: true},
		{name: "by arrival, slots by demand", flood: true, byDemand: true},
		{name: "local", flood: true, shares: true},
		{name: "local, slots by demand", flood: true, shares: true, byDemand: true},
		{name: "told", flood: true, shares: true, tells: true},
		{name: "told, slots by demand", flood: true, shares: true, tells: true, byDemand: true},
		{name: "calm, modest go beyond", shares: true, tells: true, byDemand: true, modest: true},
		{name: "modest go beyond", flood: true, shares: true, tells: true, byDemand: true, modest: true},
	})
	if modest := results["modest go beyond"]; modest.others < results["calm, modest go beyond"].others-0.01 {
		t.Errorf("with the flood %v, without it %v", modest, results["calm, modest go beyond"])
	}
	calm, kept := results["calm, told, slots by demand"], results["told, slots by demand"]
	if kept.others < calm.others-0.02 {
		t.Errorf("with the flood %v, without it %v", kept, calm)
	}
	if without := results["by arrival"]; without.others > calm.others-0.1 {
		t.Errorf("the load is none: by arrival %v", without)
	}
	if equal := results["calm, by arrival"]; calm.others < equal.others+0.1 {
		t.Errorf("slots by demand gain nothing: %v instead of %v", calm, equal)
	}
}

// TestFloodDuringFailures: routers that start anew have no second helping for the flood, and
// lost digests cost little.
func TestFloodDuringFailures(t *testing.T) {
	plain := way{name: "no failure", flood: true, shares: true, tells: true, byDemand: true}
	restarted, lossy := plain, plain
	restarted.name, restarted.restarts = "half of the routers start anew", routerCount/2
	lossy.name, lossy.lost = "half of the digests get lost", 0.5
	results := playAll(t, []way{plain, restarted, lossy})
	for name, result := range results {
		if result.others < results[plain.name].others-0.02 {
			t.Errorf("%s: %v instead of %v", name, result, results[plain.name])
		}
	}
	if results[restarted.name].flood > results[plain.name].flood+0.02 {
		t.Errorf("the flood gains by restarts: %v instead of %v", results[restarted.name], results[plain.name])
	}
}
