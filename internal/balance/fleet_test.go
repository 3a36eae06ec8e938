package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/virtualtime"
)

// fleet simulates processes that choose servers, in virtual time. Each process knows its own
// requests immediately and those of the others from digests that are up to interval old. Servers
// run as many requests as they have slots and queue the others in order.
type fleet struct {
	random      *rand.Rand
	processes   []*process
	servers     map[string]*simulatedServer
	names       []string
	serviceTime time.Duration
	interval    time.Duration
	clock       virtualtime.Queue
	waits       []time.Duration
	refused     int
	// lost counts the requests sent to failed servers.
	lost int
	// sequence numbers the digests.
	sequence uint64
	// reaches reports whether a digest sent at the given time is for another process; nil if all are.
	reaches func(sender, other *process, now time.Duration) bool
}

type process struct {
	name        string
	pool        *balance.Pool
	sharedLoads *balance.SharedLoads
	// started is the start time in Unix milliseconds. gone is set once the process has ended without
	// notice.
	started int64
	gone    bool
	// ownQueues adds the queues of the process to its digest; nil if there are none.
	ownQueues func(add func(hash uint32, load balance.SharedLoad))
}

type simulatedServer struct {
	slots   int
	running int
	queue   []func(now time.Duration)
	// failed servers don't respond.
	failed bool
}

// newFleet returns a fleet without traffic.
func newFleet(seed uint64, processes, servers, slots int, serviceTime, interval time.Duration) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), servers: make(map[string]*simulatedServer), serviceTime: serviceTime, interval: interval,
	}
	var members []balance.Member
	for i := range servers {
		name := fmt.Sprint("server-", i)
		f.names = append(f.names, name)
		f.servers[name] = &simulatedServer{slots: slots}
		members = append(members, balance.Member{ID: name, Address: name, Zone: "here", Slots: slots})
	}
	for i := range processes {
		sharedLoads := balance.NewSharedLoads()
		created := &process{name: fmt.Sprint("process-", i), pool: balance.NewPool("service", "here", sharedLoads), sharedLoads: sharedLoads, started: 1}
		created.pool.Update(members)
		f.processes = append(f.processes, created)
		f.schedule(time.Duration(f.random.Float64()*float64(interval)), func(now time.Duration) { f.sendDigest(created, now) })
	}
	return f
}

// schedule runs a function at a time.
func (f *fleet) schedule(when time.Duration, run func(now time.Duration)) {
	f.clock.At(when, func() { run(f.clock.Now()) })
}

// sendDigest sends the digest of a process to all others, repeatedly.
func (f *fleet) sendDigest(sender *process, now time.Duration) {
	if sender.gone {
		return
	}
	loads := make(map[uint32]balance.SharedLoad)
	add := func(server uint32, load balance.SharedLoad) { loads[server] = load }
	sender.pool.OwnLoads(now, add)
	sender.sharedLoads.OwnOrphaned(add)
	if sender.ownQueues != nil {
		sender.ownQueues(add)
	}
	f.sequence++
	sequence := f.sequence
	sent := now
	f.schedule(now+time.Millisecond, func(now time.Duration) {
		for _, other := range f.processes {
			if other != sender && (f.reaches == nil || f.reaches(sender, other, sent)) {
				other.sharedLoads.Apply(sender.name, sender.started, sequence, loads, now)
			}
		}
	})
	f.schedule(now+f.interval, func(now time.Duration) { f.sendDigest(sender, now) })
}

// generate sends requests at a rate per second until the given time.
func (f *fleet) generate(rate func(now time.Duration) float64, until time.Duration) {
	var next func(now time.Duration)
	next = func(now time.Duration) {
		if now >= until {
			return
		}
		f.request(f.processes[f.random.IntN(len(f.processes))], now)
		f.schedule(now+time.Duration(f.random.ExpFloat64()/rate(now)*float64(time.Second)), next)
	}
	f.schedule(0, next)
}

func (f *fleet) request(by *process, now time.Duration) {
	choice, found := by.pool.Choose(balance.Demand{}, nil, now, f.random)
	if !found {
		f.refused++
		return
	}
	f.send(by, choice, f.serviceTime, now)
}

// send has the chosen server run a request for about serviceTime. It returns a function that
// cancels the request, which a terminated process never calls.
func (f *fleet) send(by *process, choice balance.Choice, serviceTime, now time.Duration) (cancel func(now time.Duration)) {
	return f.sendObserved(by, choice, serviceTime, now, func(time.Duration) {})
}

// sendObserved is send with a function that is called when the request begins to run.
func (f *fleet) sendObserved(by *process, choice balance.Choice, serviceTime, now time.Duration, onBegin func(began time.Duration)) (cancel func(now time.Duration)) {
	chosen := f.servers[choice.ID]
	if chosen.failed {
		f.lost++
		return func(time.Duration) {}
	}
	running, over := false, false
	free := func(now time.Duration) {
		over = true
		if !running {
			return
		}
		chosen.running--
		for len(chosen.queue) > 0 && chosen.running < chosen.slots {
			first := chosen.queue[0]
			chosen.queue = chosen.queue[1:]
			first(now)
		}
	}
	begin := func(began time.Duration) {
		if over {
			return
		}
		chosen.running++
		running = true
		if !choice.Batch && !by.gone {
			f.waits = append(f.waits, began-now)
		}
		onBegin(began)
		by.pool.RecordFirstEvent(choice, true, began)
		f.schedule(began+time.Duration((0.5+f.random.Float64())*float64(serviceTime)), func(now time.Duration) {
			if !over {
				by.pool.RecordOutcome(choice, health.Success, began-now, now, f.random)
				free(now)
			}
		})
	}
	if chosen.running < chosen.slots {
		begin(now)
	} else {
		chosen.queue = append(chosen.queue, begin)
	}
	return func(now time.Duration) {
		if !over {
			by.pool.Abandon(choice)
			free(now)
		}
	}
}

// run runs all scheduled events until the given time.
func (f *fleet) run(until time.Duration) {
	for {
		next, some := f.clock.Next(until)
		if !some {
			return
		}
		next.Run()
	}
}

// lateFraction returns the fraction of requests that waited longer than limit or found no room.
func (f *fleet) lateFraction(limit time.Duration) float64 {
	late := f.refused
	for _, wait := range f.waits {
		if wait > limit {
			late++
		}
	}
	return float64(late) / float64(len(f.waits)+f.refused)
}

// waitQuantile returns a quantile of the waits.
func (f *fleet) waitQuantile(quantile float64) time.Duration {
	sorted := slices.Sorted(slices.Values(f.waits))
	return sorted[int(quantile*float64(len(sorted)-1))]
}
