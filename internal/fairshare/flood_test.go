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
	"rockwind.example/rockwind/internal/waitqueue"
)

// The simulated load: 75 tenants, a few of them large, at 50 routers in front of servers that are
// usually 80% busy. Two of the four largest tenants send 6.6 times their usual requests, which
// is more than twice what the servers can serve.
const (
	routerCount    = 50
	tenantCount    = 75
	skew           = 1.2
	usualPerMs     = 2.0
	floodFactor    = 6.6
	slotCount      = 200
	serviceTime    = 80 * time.Millisecond
	onTimeLimit    = 255 * time.Millisecond
	waitLimit      = 2500 * time.Millisecond
	work           = 470
	step           = 5 * time.Millisecond
	digestInterval = 100 * time.Millisecond
	viewDelay      = 300 * time.Millisecond
	minCredit      = 2.0
	// loadLimit is the part of the slots up to which requests start, and lightLoadLimit the same
	// for light tenants: one more on each server of eight slots.
	loadLimit      = 1.01
	lightLoadLimit = 1.125
	floodBegins    = 4 * time.Second
	floodEnds      = 7 * time.Second
	runEnds        = 7500 * time.Millisecond
)

// names are the tenants' names, and usual their mean numbers of requests per step.
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

// flooding are the tenants that send more than usual.
var flooding = []int{0, 3}

// policy is how the routers order waiting requests, and the failures of a run.
type policy struct {
	name string
	// fair enables sharing among tenants, remote the use of remote usage.
	fair, remote bool
	// byDemand divides free slots among routers by their waiting requests, instead of equally.
	byDemand bool
	// light lets requests of light tenants start beyond the slots.
	light bool
	// flood has the flooding tenants send more.
	flood bool
	// restarts is the number of routers that restart during the flood, and lossRate the part of
	// digests that is lost.
	restarts int
	lossRate float64
}

// outcome is the part of the requests in time, of the flooding tenants and of the others.
type outcome struct{ flood, others, worst float64 }

func (o outcome) String() string {
	return fmt.Sprintf("in time: others %.3f, their worst router %.3f, flood %.3f", o.others, o.worst, o.flood)
}

// simulatedRouter is one router with its queue.
type simulatedRouter struct {
	queue    waitqueue.Queue[request]
	ledger   *fairshare.Ledger
	reported []fairshare.Entry
	// credit is how many requests it may start, and reportedWaiting how many waited at its last
	// digest.
	credit          float64
	reportedWaiting int
	// startedSince is the requests started since the last digest, minus those that ended.
	startedSince int
}

func (r *simulatedRouter) waits() map[string]int {
	waits := make(map[string]int)
	r.queue.Each(func(place waitqueue.SortKey) { waits[place.Tenant().Name]++ })
	return waits
}

type request struct {
	tenant  int
	router  int
	arrived time.Duration
	ends    time.Duration
}

// simulation is one run of the load.
type simulation struct {
	policy  policy
	random  *rand.Rand
	routers []*simulatedRouter
	sums    map[uint32]fairshare.RemoteUsage
	now     time.Duration
	// waits is how many requests waited at the last digests.
	waits int
	// seen is how many requests occupied or awaited a slot at the last digests.
	seen int
	// running are the requests that occupy a slot, and started those that wait for one at a
	// server.
	running []request
	started []request
	order   uint64
	asked   [2]float64
	inTime  [2]float64
	// atRouter counts the requests of other tenants by router: all, and those in time.
	atRouter [routerCount][2]float64
}

func origin() time.Time { return time.Unix(1_000_000, 0) }

func (s *simulation) ledger(router *simulatedRouter) *fairshare.Ledger {
	return fairshare.NewLedger("class", func(hash uint32) fairshare.RemoteUsage {
		if !s.policy.remote {
			return fairshare.RemoteUsage{}
		}
		sum := s.sums[hash]
		for _, own := range router.reported {
			if own.Hash == hash {
				sum = fairshare.RemoteUsage{Waiting: sum.Waiting - own.Waiting, Work: sum.Work - own.Work}
			}
		}
		return sum
	})
}

func simulate(policy policy) outcome {
	s := &simulation{policy: policy, random: rand.New(rand.NewPCG(7, 7)), sums: make(map[uint32]fairshare.RemoteUsage)}
	for range routerCount {
		router := &simulatedRouter{credit: minCredit}
		router.ledger = s.ledger(router)
		if policy.fair {
			router.queue.EnableFairShare(func(place waitqueue.SortKey) float64 {
				if !s.overloaded(router) {
					return 0
				}
				return router.ledger.VirtualTime(place.Tenant().Name, 1, s.now)
			})
		}
		s.routers = append(s.routers, router)
	}
	for s.now = 0; s.now < runEnds; s.now += step {
		s.arrive()
		s.restart()
		if s.now%digestInterval == 0 {
			s.exchange()
		}
		s.serve()
	}
	worst := 1.0
	for _, counts := range s.atRouter {
		worst = min(worst, counts[1]/counts[0])
	}
	return outcome{flood: s.inTime[1] / s.asked[1], others: s.inTime[0] / s.asked[0], worst: worst}
}

// overloaded reports whether the service is overloaded as far as a router knows.
func (s *simulation) overloaded(router *simulatedRouter) bool {
	waits := s.waits - router.reportedWaiting + router.queue.Len()
	return fairshare.Overloaded(time.Duration(waits) * serviceTime / slotCount)
}

func (s *simulation) inFlood() bool { return s.now >= floodBegins && s.now < floodEnds }

// arrive adds the requests of one step to random routers.
func (s *simulation) arrive() {
	for tenant, mean := range usual {
		if s.policy.flood && s.inFlood() && slices.Contains(flooding, tenant) {
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
	place := waitqueue.NewSortKey(waitqueue.Priority{}, s.order, now.Add(onTimeLimit), now.Add(waitLimit)).
		WithTenant(waitqueue.Tenant{Name: names[tenant]})
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

// restart clears the state of some routers halfway through the flood.
func (s *simulation) restart() {
	if s.now != (floodBegins+floodEnds)/2 {
		return
	}
	for _, router := range s.routers[:s.policy.restarts] {
		router.ledger, router.reported = s.ledger(router), nil
	}
}

// exchange replaces the digests of all routers. If a digest is lost, the previous one remains.
func (s *simulation) exchange() {
	clear(s.sums)
	s.seen = len(s.running) + len(s.started)
	for _, router := range s.routers {
		router.startedSince = 0
		if s.random.Float64() >= s.policy.lossRate {
			router.reported, router.reportedWaiting = router.ledger.Entries(router.waits(), s.now), router.queue.Len()
		}
		for _, entry := range router.reported {
			sum := s.sums[entry.Hash]
			s.sums[entry.Hash] = fairshare.RemoteUsage{Waiting: sum.Waiting + entry.Waiting, Work: sum.Work + entry.Work}
		}
	}
}

// serve ends finished requests, has all routers start requests within their credit, and assigns
// slots to started requests in this order.
func (s *simulation) serve() {
	s.running = slices.DeleteFunc(s.running, func(each request) bool {
		if each.ends <= s.now {
			s.routers[each.router].credit++
			s.routers[each.router].startedSince--
		}
		return each.ends <= s.now
	})
	free := slotCount - float64(len(s.running)+len(s.started))
	s.waits = 0
	for _, router := range s.routers {
		s.waits += router.reportedWaiting
	}
	for _, index := range s.random.Perm(routerCount) {
		router := s.routers[index]
		share := free / routerCount
		if s.policy.byDemand {
			own := router.queue.Len()
			share = free * float64(own+1) / float64(own+s.waits-router.reportedWaiting+routerCount)
		}
		router.credit = min(max(minCredit, share), router.credit+max(0, share)*float64(step)/float64(viewDelay))
		s.start(router)
	}
	for len(s.running) < slotCount && len(s.started) > 0 {
		s.run(s.started[0])
		s.started = s.started[1:]
	}
}

// start starts a router's requests within its credit.
func (s *simulation) start(router *simulatedRouter) {
	for {
		first := s.next(router)
		if first == nil {
			return
		}
		served := first.Value()
		router.queue.Remove(first)
		if s.now-served.arrived > waitLimit {
			continue
		}
		router.credit--
		router.startedSince++
		router.ledger.Charge(names[served.tenant], work, s.now)
		s.started = append(s.started, served)
	}
}

// next returns the first request of a router that may start or has timed out, or nil.
func (s *simulation) next(router *simulatedRouter) *waitqueue.Entry[request] {
	var found *waitqueue.Entry[request]
	router.queue.Walk(origin().Add(s.now), func(entry *waitqueue.Entry[request]) bool {
		if s.now-entry.Value().arrived > waitLimit || s.mayStart(router, entry.Value()) {
			found = entry
		}
		return found == nil && s.policy.light
	})
	return found
}

func (s *simulation) mayStart(router *simulatedRouter, each request) bool {
	credit, most := router.credit, loadLimit
	if s.policy.light && router.ledger.IsLight(names[each.tenant], func(string) uint32 { return 1 }, s.now) {
		credit, most = credit+1, lightLoadLimit
	}
	return credit >= 1 && float64(s.seen+router.startedSince) < most*slotCount
}

func (s *simulation) run(served request) {
	served.ends = s.now + serviceTime
	s.running = append(s.running, served)
	if s.now-served.arrived > onTimeLimit || served.arrived < floodBegins || served.arrived >= floodEnds {
		return
	}
	s.inTime[class(served.tenant)]++
	if class(served.tenant) == 0 {
		s.atRouter[served.router][1]++
	}
}

// simulateAll runs the load once for each policy, concurrently, and returns the outcomes by name.
func simulateAll(t *testing.T, policies []policy) map[string]outcome {
	var mutex sync.Mutex
	var group sync.WaitGroup
	results := make(map[string]outcome)
	for _, each := range policies {
		group.Go(func() {
			result := simulate(each)
			mutex.Lock()
			defer mutex.Unlock()
			results[each.name] = result
		})
	}
	group.Wait()
	for _, each := range policies {
		t.Logf("%-34s %v", each.name, results[each.name])
	}
	return results
}

// TestFloodOfOneTenantDoesNotMakeOthersLate compares the policies: in order of arrival most other
// requests are late, with local usage some are, and with remote usage and slots by demand hardly
// any.
func TestFloodOfOneTenantDoesNotMakeOthersLate(t *testing.T) {
	results := simulateAll(t, []policy{
		{name: "calm, by arrival"},
		{name: "calm, by arrival, slots by demand", byDemand: true},
		{name: "calm, remote usage, slots by demand", fair: true, remote: true, byDemand: true},
		{name: "by arrival", flood: true},
		{name: "by arrival, slots by demand", flood: true, byDemand: true},
		{name: "local", flood: true, fair: true},
		{name: "local, slots by demand", flood: true, fair: true, byDemand: true},
		{name: "remote usage", flood: true, fair: true, remote: true},
		{name: "remote usage, slots by demand", flood: true, fair: true, remote: true, byDemand: true},
		{name: "calm, light tenants beyond slots", fair: true, remote: true, byDemand: true, light: true},
		{name: "light tenants beyond slots", flood: true, fair: true, remote: true, byDemand: true, light: true},
	})
	if light := results["light tenants beyond slots"]; light.others < results["calm, light tenants beyond slots"].others-0.01 {
		t.Errorf("with the flood %v, without it %v", light, results["calm, light tenants beyond slots"])
	}
	calm, kept := results["calm, remote usage, slots by demand"], results["remote usage, slots by demand"]
	if kept.others < calm.others-0.02 {
		t.Errorf("with the flood %v, without it %v", kept, calm)
	}
	if without := results["by arrival"]; without.others > calm.others-0.1 {
		t.Errorf("the flood makes no difference in order of arrival: %v", without)
	}
	if equal := results["calm, by arrival"]; calm.others < equal.others+0.1 {
		t.Errorf("slots by demand gain nothing: %v instead of %v", calm, equal)
	}
}

// TestFloodDuringFailures checks that restarted routers give the flooding tenants no second share
// and that lost digests cost little.
func TestFloodDuringFailures(t *testing.T) {
	plain := policy{name: "no failure", flood: true, fair: true, remote: true, byDemand: true}
	restarted, lossy := plain, plain
	restarted.name, restarted.restarts = "half of the routers restart", routerCount/2
	lossy.name, lossy.lossRate = "half of the digests get lost", 0.5
	results := simulateAll(t, []policy{plain, restarted, lossy})
	for name, result := range results {
		if result.others < results[plain.name].others-0.02 {
			t.Errorf("%s: %v instead of %v", name, result, results[plain.name])
		}
	}
	if results[restarted.name].flood > results[plain.name].flood+0.02 {
		t.Errorf("the flooding tenants gain by restarts: %v instead of %v", results[restarted.name], results[plain.name])
	}
}
