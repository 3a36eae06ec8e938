package pace_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/virtualtime"
)

// Figures of the engines in these tests: a step takes some ms and more for each request in
// it, and the prompt of a new one is read within it.
const (
	slots          = 8
	stepBase       = 10 * time.Millisecond
	stepEach       = 2500 * time.Microsecond
	tokensPerMilli = 168.0
	promptTokens   = 450
	events         = 17
	patience       = 2500 * time.Millisecond
	goal           = 300 * time.Millisecond
	digestInterval = 250 * time.Millisecond
	recheck        = 25 * time.Millisecond
	// Servers that share their machines are slow for a time, now and then.
	busyFactor = 2.5
	busyTime   = 600 * time.Millisecond
	busyPart   = 0.15
)

// site plays processes that choose among uneven servers in virtual time.
type site struct {
	random *rand.Rand
	clock  virtualtime.Queue
	// sequence numbers the digests.
	sequence  uint64
	processes []*process
	// zones are those of the processes in turn; one that is empty shares everything.
	zones   []string
	servers map[string]*server
	names   []string
	met
	// byZone is what the requests of the processes of each zone met.
	byZone map[string]*met
	until  time.Duration
}

// met is what some requests met: the times to the first event and to the end of each; one
// without room counts as late.
type met struct {
	first, whole []time.Duration
	refused      int
}

// server is an engine that advances all its requests by an event in each step.
type server struct {
	speed float64
	// busy tells that others use its machine, and slowed is by how much it is slower than
	// usual without saying so.
	busy    bool
	slowed  float64
	running []*request
	waiting []*request
	stepped bool
	// slowFor is how many steps an event takes for the callers of a zone, one where it is not said.
	slowFor map[string]int
}

func (s *server) told() float64 {
	if s.busy {
		return busyFactor
	}
	return 1
}

// pace is the true one.
func (s *server) pace() float64 { return s.speed * s.told() * s.slowed }

type process struct {
	name    string
	zone    string
	pool    *balance.Pool
	shares  *balance.SharedLoads
	waiting []*request
}

type request struct {
	by      *process
	choice  balance.Choice
	arrived time.Duration
	sent    time.Duration
	began   time.Duration
	told    float64
	steps   int
	made    int
}

// newSite returns a site whose processes choose with pacers that are made for each of them;
// none chooses by free slots alone.
func newSite(seed uint64, processes, servers int, pacer func(s *site) balance.PaceEstimator, zones ...string) *site {
	s := &site{random: rand.New(rand.NewPCG(seed, 1)), servers: make(map[string]*server), byZone: make(map[string]*met)}
	s.zones = append(zones, "")[:max(1, len(zones))]
	var members []balance.Member
	for i := range servers {
		name := fmt.Sprint("server-", i)
		s.names = append(s.names, name)
		s.servers[name] = &server{speed: []float64{0.6, 1, 1.6}[i%3], slowed: 1}
		members = append(members, balance.Member{ID: name, Address: name, Zone: "here", Slots: slots})
		s.share(s.servers[name])
	}
	for i := range processes {
		shares := balance.NewSharedLoads()
		zone := s.zones[i%len(s.zones)]
		shares.SetZone(zone)
		s.byZone[zone] = &met{}
		created := &process{name: fmt.Sprint("process-", i), zone: zone, shares: shares, pool: balance.NewPool("service", "here", shares)}
		if made := pacer(s); made != nil {
			created.pool.SetPaceEstimator(made)
		}
		created.pool.SetMaxLoadAge(digestInterval)
		created.pool.SetOnlineProcesses(processes)
		created.pool.Update(members)
		s.processes = append(s.processes, created)
		s.clock.Every(s.part(digestInterval), digestInterval, func() { s.tell(created) })
		s.clock.Every(s.part(recheck), recheck, func() { s.serve(created) })
		s.clock.Every(s.part(time.Second), time.Second, func() { created.pool.Evaluate(s.clock.Now(), s.random) })
	}
	for _, zone := range s.zones {
		if zone != "" {
			s.clock.Every(s.part(digestInterval), digestInterval, func() { s.tellZone(zone) })
		}
	}
	return s
}

func (s *site) part(of time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(of))
}

// share has others use the machine of a server now and then.
func (s *site) share(each *server) {
	mean := float64(busyTime)
	if !each.busy {
		mean *= (1 - busyPart) / busyPart
	}
	s.clock.After(time.Duration(s.random.ExpFloat64()*mean), func() {
		each.busy = !each.busy
		s.share(each)
	})
}

// tell sends the digest of a process to all others of its zone.
func (s *site) tell(sender *process) {
	loads := make(map[uint32]balance.SharedLoad)
	sender.pool.OwnLoads(s.clock.Now(), func(server uint32, load balance.SharedLoad) { loads[server] = load })
	s.sequence++
	sequence := s.sequence
	s.clock.After(time.Millisecond, func() {
		for _, other := range s.processes {
			if other != sender && other.zone == sender.zone {
				other.shares.Apply(sender.name, 1, sequence, loads, s.clock.Now())
			}
		}
	})
}

// tellZone sends the sum of a zone's digests to the processes of the other zones.
func (s *site) tellZone(zone string) {
	loads := make(map[uint32]balance.SharedLoad)
	members := 0
	for _, each := range s.processes {
		if each.zone != zone {
			continue
		}
		members++
		each.pool.OwnLoads(s.clock.Now(), func(server uint32, load balance.SharedLoad) { loads[server] = loads[server].Plus(load) })
	}
	s.sequence++
	sequence := s.sequence
	s.clock.After(time.Millisecond, func() {
		for _, other := range s.processes {
			if other.zone != zone {
				other.shares.ApplyGroup("delegate of "+zone, zone, members, 1, sequence, loads, s.clock.Now())
			}
		}
	})
}

// arrive sends requests at a rate a second until the end.
func (s *site) arrive(rate float64, until time.Duration) {
	s.until = until
	var next func()
	next = func() {
		if s.clock.Now() >= until {
			return
		}
		by := s.processes[s.random.IntN(len(s.processes))]
		by.waiting = append(by.waiting, &request{by: by, arrived: s.clock.Now()})
		s.serve(by)
		s.clock.After(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.clock.After(0, next)
}

// serve sends what waits at a process to servers with room.
func (s *site) serve(by *process) {
	for len(by.waiting) > 0 {
		first := by.waiting[0]
		if s.clock.Now()-first.arrived > patience {
			by.waiting = by.waiting[1:]
			s.refused++
			s.byZone[by.zone].refused++
			continue
		}
		choice, found := by.pool.Choose(balance.Demand{Parts: []balance.Part{{ID: s.random.Uint64(), Tokens: promptTokens}}}, nil, s.clock.Now(), s.random)
		if !found {
			return
		}
		by.waiting = by.waiting[1:]
		first.choice, first.sent = choice, s.clock.Now()
		chosen := s.servers[choice.ID]
		chosen.waiting = append(chosen.waiting, first)
		if !chosen.stepped {
			s.step(chosen)
		}
	}
}

// step runs one step of a server, and the next ones while it has work.
func (s *site) step(each *server) {
	reads := 0
	for len(each.waiting) > 0 && len(each.running) < slots {
		each.running = append(each.running, each.waiting[0])
		each.waiting = each.waiting[1:]
		reads += promptTokens
	}
	each.stepped = len(each.running) > 0
	if !each.stepped {
		return
	}
	took := stepBase + time.Duration(len(each.running))*stepEach + time.Duration(float64(reads)/tokensPerMilli*float64(time.Millisecond))
	s.clock.After(time.Duration(float64(took)*each.pace()), func() {
		each.running = slices.DeleteFunc(each.running, func(r *request) bool { return s.made(each, r) })
		s.step(each)
	})
}

// made takes an event of a request, and tells whether it was the last one.
func (s *site) made(each *server, r *request) bool {
	pool, zone := r.by.pool, s.byZone[r.by.zone]
	r.steps++
	if r.steps%max(1, each.slowFor[r.by.zone]) != 0 {
		return false
	}
	r.made++
	if r.made == 1 {
		r.began, r.told = s.clock.Now(), each.told()
		pool.RecordReport(r.choice.ID, balance.LoadReport{Running: len(each.running), Waiting: len(each.waiting), Slots: slots, Pace: r.told}, s.clock.Now())
		pool.RecordFirstEvent(r.choice, true, s.clock.Now())
		s.first = append(s.first, s.clock.Now()-r.arrived)
		zone.first = append(zone.first, s.clock.Now()-r.arrived)
	}
	if r.made < events {
		return false
	}
	pool.RecordRun(r.choice, r.made, s.clock.Now()-r.began, r.told, s.clock.Now())
	pool.RecordOutcome(r.choice, health.Success, r.began-r.sent, s.clock.Now(), s.random)
	s.whole = append(s.whole, s.clock.Now()-r.arrived)
	zone.whole = append(zone.whole, s.clock.Now()-r.arrived)
	s.clock.After(0, func() { s.serve(r.by) })
	return true
}

// run plays until the end.
func (s *site) run(until time.Duration) {
	for {
		next, some := s.clock.Next(until)
		if !some {
			return
		}
		next.Run()
	}
}

// capacity is how many requests a second the servers run when all their slots are taken.
func (s *site) capacity() float64 {
	total := 0.0
	full := (stepBase+slots*stepEach).Seconds()*events + slots*promptTokens/tokensPerMilli/1000
	for _, each := range s.servers {
		total += slots / (full * each.speed * each.slowed * (1 + busyPart*(busyFactor-1)))
	}
	return total
}

// result is what the requests of a site met.
type result struct {
	first, first99, whole time.Duration
	// late is the part of the requests whose first event came after the goal or never.
	late float64
}

func (m *met) result() result {
	late := m.refused
	for _, each := range m.first {
		if each > goal {
			late++
		}
	}
	slices.Sort(m.first)
	return result{
		first: mean(m.first), first99: m.first[len(m.first)*99/100], whole: mean(m.whole),
		late: float64(late) / float64(len(m.first)+m.refused),
	}
}

func mean(all []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, each := range all {
		sum += each
	}
	return sum / time.Duration(max(1, len(all)))
}
