package balance_test

import (
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/topology"
)

// retryInterval is how often a process tries to start its waiting requests.
const retryInterval = 10 * time.Millisecond

// regionalQueue is the queue of a process. Requests that find no room let others pass.
type regionalQueue struct {
	fleet   *fleet
	process *process
	waiting []regionalRequest
}

type regionalRequest struct {
	regions topology.RegionSet
	asked   time.Duration
	waits   *[]time.Duration
}

// countIn counts the waiting requests that are restricted to the given regions.
func (q *regionalQueue) countIn(regions topology.RegionSet) int {
	count := 0
	for _, each := range q.waiting {
		if each.regions.Key() == regions.Key() {
			count++
		}
	}
	return count
}

// serve starts all waiting requests that find room. The time until a request starts at its server is
// added to its waits.
func (q *regionalQueue) serve(now time.Duration) {
	pool, restricted := q.process.pool, in("south")
	var rest []regionalRequest
	for i, each := range q.waiting {
		waiting := len(rest) + len(q.waiting) - i
		pool.SetWaiting(waiting, waiting)
		pool.SetWaitingIn(map[string]int{restricted.Key(): q.countIn(restricted)})
		choice, found := pool.Choose(balance.Demand{Regions: each.regions}, nil, now, q.fleet.random)
		if !found {
			rest = append(rest, each)
			continue
		}
		server := q.fleet.servers[choice.ID]
		if server.running < server.slots {
			*each.waits = append(*each.waits, now-each.asked)
		} else {
			// A marker before the request, which takes no slot.
			server.queue = append(server.queue, func(began time.Duration) {
				*each.waits = append(*each.waits, began-each.asked)
				first := server.queue[0]
				server.queue = server.queue[1:]
				first(began)
			})
		}
		q.fleet.send(q.process, choice, q.fleet.serviceTime, now)
	}
	q.waiting = rest
	pool.SetWaiting(len(rest), len(rest))
	pool.SetWaitingIn(map[string]int{restricted.Key(): q.countIn(restricted)})
}

// newRegionalFleet returns a fleet of processes with queues and servers that are spread over
// testRegions.
func newRegionalFleet(seed uint64, processes, servers, slots int, serviceTime, loadAge time.Duration) (*fleet, []*regionalQueue) {
	f := newFleet(seed, processes, servers, slots, serviceTime, loadAge)
	var members []balance.Member
	for i, name := range f.names {
		members = append(members, balance.Member{ID: name, Address: name, Zone: "here", Region: testRegions[i%len(testRegions)], Slots: slots})
	}
	var queues []*regionalQueue
	for _, each := range f.processes {
		each.pool.Update(members)
		each.pool.SetOnlineProcesses(processes)
		each.pool.SetMaxLoadAge(loadAge)
		each.pool.KnowRegions([]topology.RegionSet{in("south")})
		queue := &regionalQueue{fleet: f, process: each}
		each.ownQueues = func(add func(hash uint32, load balance.SharedLoad)) {
			add(balance.QueueHash("service"), balance.SharedLoad{Inflight: len(queue.waiting)})
			add(balance.RegionsQueueHash("service", in("south")), balance.SharedLoad{Inflight: queue.countIn(in("south"))})
		}
		queues = append(queues, queue)
		var serve func(now time.Duration)
		serve = func(now time.Duration) {
			queue.serve(now)
			f.schedule(now+retryInterval, serve)
		}
		f.schedule(time.Duration(f.random.Float64()*float64(retryInterval)), serve)
	}
	return f, queues
}

// generateIn sends requests with the given regions at a rate per second to random processes.
func (f *fleet) generateIn(queues []*regionalQueue, regions topology.RegionSet, rate float64, until time.Duration, waits *[]time.Duration) {
	var next func(now time.Duration)
	next = func(now time.Duration) {
		if now >= until {
			return
		}
		queue := queues[f.random.IntN(len(queues))]
		queue.waiting = append(queue.waiting, regionalRequest{regions: regions, asked: now, waits: waits})
		queue.serve(now)
		f.schedule(now+time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.schedule(0, next)
}

// lateFractionOf returns the fraction of waits above a limit.
func lateFractionOf(waits []time.Duration, limit time.Duration) float64 {
	late := 0
	for _, wait := range waits {
		if wait > limit {
			late++
		}
	}
	return float64(late) / float64(max(1, len(waits)))
}

// Guards against a region that is overfilled by requests that may go nowhere else, or by others that
// could, while other regions have room.
func TestRestrictedRegionIsNotOverfilled(t *testing.T) {
	const (
		processes   = 49
		servers     = 90
		slots       = 8
		serviceTime = 450 * time.Millisecond
		loadAge     = 300 * time.Millisecond
		until       = 12 * time.Second
		late        = 150 * time.Millisecond
	)
	// A region runs 533 requests a second. The bounds are about twice what was measured.
	for _, each := range []struct{ restricted, others, lateRestricted, lateOthers float64 }{
		{150, 1000, 0.2, 0.2}, {340, 1000, 0.3, 1}, {400, 700, 0.4, 0.08},
	} {
		f, queues := newRegionalFleet(1, processes, servers, slots, serviceTime, loadAge)
		var restricted, others []time.Duration
		f.generateIn(queues, in("south"), each.restricted, until, &restricted)
		f.generateIn(queues, topology.RegionSet{}, each.others, until, &others)
		f.run(until + 5*time.Second)
		lateRestricted, lateOthers := lateFractionOf(restricted, late), lateFractionOf(others, late)
		t.Logf("%v and %v a second: late are %.3f of %d restricted requests and %.3f of %d others", each.restricted, each.others,
			lateRestricted, len(restricted), lateOthers, len(others))
		if lateRestricted > each.lateRestricted || lateOthers > each.lateOthers {
			t.Errorf("at most %v and %v are expected", each.lateRestricted, each.lateOthers)
		}
	}
}
