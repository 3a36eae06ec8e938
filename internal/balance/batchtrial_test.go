package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/health"
)

const (
	// Batch work of a store: an item every 100 ms, which takes 5 s, and a health evaluation every 250 ms.
	storeItemInterval = 100 * time.Millisecond
	storeItemTime     = 5 * time.Second
	storeSlots        = 8
	// unreachableTime is how long an attempt at an unreachable server takes.
	unreachableTime = 400 * time.Millisecond
)

// simulatedItems is the batch work of a single store, some of whose servers fail.
type simulatedItems struct {
	pool    *balance.Pool
	random  *rand.Rand
	demand  balance.Demand
	running []simulatedAttempt
	// outcome is the outcome of attempts at the servers of failing.
	outcome health.Outcome
	failing map[string]bool
	// starts counts the items by server.
	starts map[string]int
}

type simulatedAttempt struct {
	choice  balance.Choice
	outcome health.Outcome
	end     time.Duration
}

// newSimulatedItems returns the work of a store at servers that other processes use as well. The last
// tenth of the servers, and at least one, is ejected at time 0.
func newSimulatedItems(servers int, demand balance.Demand) (s *simulatedItems, ejected []string) {
	sharedLoads := balance.NewSharedLoads()
	s = &simulatedItems{
		pool: balance.NewPool("service", "here", sharedLoads), random: rand.New(rand.NewPCG(1, 2)), demand: demand,
		failing: make(map[string]bool), starts: make(map[string]int),
	}
	loads := make(map[uint32]balance.SharedLoad)
	for i := range servers {
		name := fmt.Sprint("server-", i)
		s.pool.Put(balance.Member{ID: name, Address: name, Zone: "here", Slots: storeSlots})
		loads[balance.ServerHash(name)] = balance.SharedLoad{Inflight: 1}
		if i >= servers-max(1, servers/10) {
			ejected = append(ejected, name)
		}
	}
	sharedLoads.Apply("others", 1, 1, loads, 0)
	for _, name := range ejected {
		for range 4 {
			choice, _ := s.pool.StartAt(name, balance.Demand{Batch: true}, 0)
			s.pool.RecordOutcome(choice, health.Failure, 0, 0, s.random)
		}
	}
	s.pool.Evaluate(0, s.random)
	return s, ejected
}

// run starts items from one time to another.
func (s *simulatedItems) run(from, to time.Duration) {
	for now := from; now < to; now += storeItemInterval / 2 {
		s.end(now)
		if now%(250*time.Millisecond) == 0 {
			s.pool.Evaluate(now, s.random)
		}
		if now%storeItemInterval == 0 {
			s.start(now)
		}
	}
}

func (s *simulatedItems) end(now time.Duration) {
	s.running = slices.DeleteFunc(s.running, func(each simulatedAttempt) bool {
		if each.end > now {
			return false
		}
		s.pool.RecordFirstEvent(each.choice, each.outcome == health.Success, now)
		s.pool.RecordOutcome(each.choice, each.outcome, 0, now, s.random)
		return true
	})
}

func (s *simulatedItems) start(now time.Duration) {
	choice, found := s.pool.Choose(s.demand, nil, now, s.random)
	if !found {
		return
	}
	s.starts[choice.ID]++
	attempt := simulatedAttempt{choice: choice, outcome: health.Success, end: now + storeItemTime}
	if s.failing[choice.ID] {
		attempt.outcome, attempt.end = s.outcome, now+unreachableTime
	} else {
		s.pool.RecordFirstEvent(choice, true, now)
	}
	s.running = append(s.running, attempt)
}

func (s *simulatedItems) startsAt(servers []string) int {
	sum := 0
	for _, name := range servers {
		sum += s.starts[name]
	}
	return sum
}

// Guards against servers that a store never uses again. The pattern: a store ejects servers during a
// network partition of 30 s, which then ends. It starts batch items only, so that no online request is
// a trial.
func TestStoreUsesRecoveredServersAgain(t *testing.T) {
	for _, servers := range []int{10, targetServers} {
		s, ejected := newSimulatedItems(servers, balance.Demand{Batch: true, MayTry: true})
		s.outcome = health.Failure
		for _, name := range ejected {
			s.failing[name] = true
		}
		s.run(time.Second, 30*time.Second)
		clear(s.failing)
		// The longest hold-down so far is 16 s and its jitter, and a recovery takes two trials.
		const settled = 90 * time.Second
		s.run(30*time.Second, settled)
		clear(s.starts)
		s.run(settled, settled+10*time.Minute)
		all := 0
		for _, count := range s.starts {
			all += count
		}
		share := float64(len(ejected)) / float64(servers)
		got := float64(s.startsAt(ejected)) / float64(all)
		t.Logf("%d servers: %.3f of %d items run at the %.3f of the servers that recovered", servers, got, all, share)
		if got < share/2 {
			t.Errorf("%d servers: %.3f of the items run at the servers that recovered, which are %.3f of all", servers, got, share)
		}
	}
}

// Guards against trials without a bound at servers that stay dead or refuse everything. Hold-downs double
// from 2 s to a minute; a refused trial is repeated after 2 s.
func TestBatchTrialsAreBounded(t *testing.T) {
	const duration = 10 * time.Minute
	for _, each := range []struct {
		outcome health.Outcome
		most    int
	}{{health.Failure, 15}, {health.Timeout, 15}, {health.Refused, 300}} {
		s, ejected := newSimulatedItems(10, balance.Demand{Batch: true, MayTry: true})
		s.outcome = each.outcome
		s.failing[ejected[0]] = true
		s.run(time.Second, duration)
		got := s.startsAt(ejected)
		t.Logf("outcome %v: %d trials in %v", each.outcome, got, duration)
		if got == 0 || got > each.most {
			t.Errorf("outcome %v: %d trials in %v, want 1 to %d", each.outcome, got, duration, each.most)
		}
	}
}

// Guards against trials with items that must not be sent where they are likely to fail.
func TestItemThatMustNotTryAvoidsEjectedServers(t *testing.T) {
	for _, servers := range []int{10, targetServers} {
		s, ejected := newSimulatedItems(servers, balance.Demand{Batch: true})
		s.run(time.Second, 2*time.Minute)
		if got := s.startsAt(ejected); got != 0 {
			t.Errorf("%d servers: %d items were sent to ejected servers", servers, got)
		}
		// A server that is due for a trial still gets it from the next item that may be one.
		if choice, found := s.pool.Choose(balance.Demand{Batch: true, MayTry: true}, nil, 2*time.Minute, s.random); !found || !choice.Trial || !slices.Contains(ejected, choice.ID) {
			t.Errorf("%d servers: %v is chosen, %v; an ejected server is due for a trial", servers, choice.ID, found)
		}
	}
}

// Guards against routers that avoid servers because stores, which a partition separates from these, repeat
// failed trials: a store reports an ejection as before, for its first hold-down.
func TestFailedBatchTrialIsNoSuspicion(t *testing.T) {
	s, ejected := newSimulatedItems(10, balance.Demand{Batch: true, MayTry: true})
	suspects := func(now time.Duration) int {
		count := 0
		s.pool.OwnLoads(now, func(server uint32, load balance.SharedLoad) {
			if server == balance.ServerHash(ejected[0]) {
				count += load.Suspects
			}
		})
		return count
	}
	if suspects(time.Second) != 1 {
		t.Error("the ejection is not reported")
	}
	s.outcome = health.Failure
	s.failing[ejected[0]] = true
	for now := 3 * time.Second; now < 2*time.Minute; now += time.Second {
		s.run(now, now+time.Second)
		if suspects(now+time.Second) != 0 {
			t.Fatalf("%v after the ejection the server is reported as failing", now)
		}
	}
	clear(s.failing)
	s.run(2*time.Minute, 6*time.Minute)
	for range 4 {
		choice, found := s.pool.StartAt(ejected[0], balance.Demand{Batch: true}, 6*time.Minute)
		if !found || choice.Trial {
			t.Fatal("the server has not recovered")
		}
		s.pool.RecordOutcome(choice, health.Failure, 0, 6*time.Minute, s.random)
	}
	if suspects(6*time.Minute) != 1 {
		t.Error("an ejection after the recovery is not reported")
	}
}

// Guards against ejected servers that stay unused as long as all others are full, which is when they are
// needed: the slots that batch work may use are those of the other servers.
func TestTrialNeedsNoFreeSlotElsewhere(t *testing.T) {
	for _, servers := range []int{10, targetServers} {
		s, ejected := newSimulatedItems(servers, balance.Demand{Batch: true})
		const now = 10 * time.Second
		for {
			if _, found := s.pool.Choose(s.demand, nil, now, s.random); !found {
				break
			}
		}
		trials := make(map[string]bool)
		for range 2 * len(ejected) {
			if choice, found := s.pool.Choose(balance.Demand{Batch: true, MayTry: true}, nil, now, s.random); found {
				if !choice.Trial || trials[choice.ID] || !slices.Contains(ejected, choice.ID) {
					t.Fatalf("%d servers: %v is chosen, trial %v", servers, choice.ID, choice.Trial)
				}
				trials[choice.ID] = true
			}
		}
		if len(trials) != len(ejected) {
			t.Errorf("%d servers: %d trials at %d ejected servers while all others are full", servers, len(trials), len(ejected))
		}
	}
}
