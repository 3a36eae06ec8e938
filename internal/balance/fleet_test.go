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

// fleet plays processes that choose servers in virtual time. Each process knows its own
// requests at once and those of the others from digests that are up to an interval old.
// Servers run as many requests as they have slots and queue the rest in order.
type fleet struct {
	random    *rand.Rand
	processes []*process
	servers   map[string]*engine
	names     []string
	holding   time.Duration
	interval  time.Duration
	clock     virtualtime.Queue
	waits     []time.Duration
	refused   int
	// lost counts the requests sent to servers that had gone dark.
	lost int
	// sequence numbers the digests.
	sequence uint64
}

type process struct {
	name   string
	pool   *balance.Pool
	shares *balance.SharedLoads
	// started is when this life began, in Unix milliseconds, and gone that it has ended
	// without a word to anyone.
	started int64
	gone    bool
}

type engine struct {
	slots   int
	running int
	queue   []func(now time.Duration)
	// dark servers answer nothing.
	dark bool
}

// newFleet returns a fleet without traffic.
func newFleet(seed uint64, processes, servers, slots int, holding, interval time.Duration) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), servers: make(map[string]*engine), holding: holding, interval: interval,
	}
	var members []balance.Member
	for i := range servers {
		name := fmt.Sprint("server-", i)
		f.names = append(f.names, name)
		f.servers[name] = &engine{slots: slots}
		members = append(members, balance.Member{ID: name, Address: name, Zone: "here", Slots: slots})
	}
	for i := range processes {
		shares := balance.NewSharedLoads()
		created := &process{name: fmt.Sprint("process-", i), pool: balance.NewPool("service", "here", shares), shares: shares, started: 1}
		created.pool.Update(members)
		f.processes = append(f.processes, created)
		f.at(time.Duration(f.random.Float64()*float64(interval)), func(now time.Duration) { f.tell(created, now) })
	}
	return f
}

// at plans what happens at a time.
func (f *fleet) at(when time.Duration, run func(now time.Duration)) {
	f.clock.At(when, func() { run(f.clock.Now()) })
}

// tell sends the digest of a process to all others.
func (f *fleet) tell(sender *process, now time.Duration) {
	if sender.gone {
		return
	}
	loads := make(map[uint32]balance.SharedLoad)
	add := func(server uint32, load balance.SharedLoad) { loads[server] = load }
	sender.pool.OwnLoads(now, add)
	sender.shares.OwnLeftBehind(add)
	f.sequence++
	sequence := f.sequence
	f.at(now+time.Millisecond, func(now time.Duration) {
		for _, other := range f.processes {
			if other != sender {
				other.shares.Apply(sender.name, sender.started, sequence, loads, now)
			}
		}
	})
	f.at(now+f.interval, func(now time.Duration) { f.tell(sender, now) })
}

// arrive sends requests at a rate a second until the end.
func (f *fleet) arrive(rate func(now time.Duration) float64, until time.Duration) {
	var next func(now time.Duration)
	next = func(now time.Duration) {
		if now >= until {
			return
		}
		f.request(f.processes[f.random.IntN(len(f.processes))], now)
		f.at(now+time.Duration(f.random.ExpFloat64()/rate(now)*float64(time.Second)), next)
	}
	f.at(0, next)
}

func (f *fleet) request(by *process, now time.Duration) {
	choice, found := by.pool.Choose(balance.Demand{}, nil, now, f.random)
	if !found {
		f.refused++
		return
	}
	f.send(by, choice, f.holding, now)
}

// send has the chosen server run a request for about so long. It returns what breaks the
// request off, which a process that is gone never does.
func (f *fleet) send(by *process, choice balance.Choice, holding, now time.Duration) (breakOff func(now time.Duration)) {
	chosen := f.servers[choice.ID]
	if chosen.dark {
		f.lost++
		return func(time.Duration) {}
	}
	running, over := false, false
	leave := func(now time.Duration) {
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
		by.pool.RecordFirstEvent(choice, true, began)
		f.at(began+time.Duration((0.5+f.random.Float64())*float64(holding)), func(now time.Duration) {
			if !over {
				by.pool.RecordOutcome(choice, health.Success, began-now, now, f.random)
				leave(now)
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
			leave(now)
		}
	}
}

// run plays all that was planned until the end.
func (f *fleet) run(until time.Duration) {
	for {
		next, some := f.clock.Next(until)
		if !some {
			return
		}
		next.Run()
	}
}

// late is the part of the requests that waited for longer, or found no room.
func (f *fleet) late(limit time.Duration) float64 {
	late := f.refused
	for _, wait := range f.waits {
		if wait > limit {
			late++
		}
	}
	return float64(late) / float64(len(f.waits)+f.refused)
}

// waited is a quantile of the waits.
func (f *fleet) waited(part float64) time.Duration {
	sorted := slices.Sorted(slices.Values(f.waits))
	return sorted[int(part*float64(len(sorted)-1))]
}
