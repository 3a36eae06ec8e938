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

// Parameters of the simulated engines and load.
const (
	slots          = 8
	stepBase       = 10 * time.Millisecond
	stepEach       = 2500 * time.Microsecond
	tokensPerMilli = 168.0
	promptTokens   = 450
	events         = 17
	maximumWait    = 2500 * time.Millisecond
	firstEventGoal = 300 * time.Millisecond
	digestInterval = 250 * time.Millisecond
	recheck        = 25 * time.Millisecond
	// A server that shares its machine with other work is slow from time to time.
	busyFactor   = 2.5
	busyTime     = 600 * time.Millisecond
	busyFraction = 0.15
)

// site simulates, in virtual time, processes that choose among servers of uneven speed.
type site struct {
	random *rand.Rand
	clock  virtualtime.Queue
	// sequence is the number of the last digest.
	sequence  uint64
	processes []*process
	// zones are assigned to the processes in turn. With an empty zone, all processes exchange
	// digests.
	zones   []string
	servers map[string]*server
	names   []string
	outcomes
	// byZone holds the results of the requests by the zone of their process.
	byZone map[string]*outcomes
	until  time.Duration
}

// outcomes holds the times of requests to their first event and to their end. Requests that found
// no free server in time count as refused.
type outcomes struct {
	first, whole []time.Duration
	refused      int
}

// server simulates an engine that produces one event for each of its requests per step.
type server struct {
	speed float64
	// busy is whether other work uses the machine; the server reports it. slowed is a slowdown
	// factor that it does not report.
	busy    bool
	slowed  float64
	running []*request
	waiting []*request
	active  bool
	// stepsPerEvent is the number of steps that an event takes for the callers of a zone; 1 by default.
	stepsPerEvent map[string]int
}

func (s *server) reportedPace() float64 {
	if s.busy {
		return busyFactor
	}
	return 1
}

// pace returns the true pace.
func (s *server) pace() float64 { return s.speed * s.reportedPace() * s.slowed }

type process struct {
	name    string
	zone    string
	pool    *balance.Pool
	shares  *balance.SharedLoads
	waiting []*request
}

type request struct {
	sender       *process
	choice       balance.Choice
	arrived      time.Duration
	sent         time.Duration
	began        time.Duration
	reportedPace float64
	steps        int
	produced     int
}

// newSite returns a site. newEstimator makes a pace estimator for each process; if it returns nil,
// the process chooses by free slots alone.
func newSite(seed uint64, processes, servers int, newEstimator func(s *site) balance.PaceEstimator, zones ...string) *site {
	s := &site{random: rand.New(rand.NewPCG(seed, 1)), servers: make(map[string]*server), byZone: make(map[string]*outcomes)}
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
		s.byZone[zone] = &outcomes{}
		created := &process{name: fmt.Sprint("process-", i), zone: zone, shares: shares, pool: balance.NewPool("service", "here", shares)}
		if estimator := newEstimator(s); estimator != nil {
			created.pool.SetPaceEstimator(estimator)
		}
		created.pool.SetMaxLoadAge(digestInterval)
		created.pool.SetOnlineProcesses(processes)
		created.pool.Update(members)
		s.processes = append(s.processes, created)
		s.clock.Every(s.randomPart(digestInterval), digestInterval, func() { s.sendDigest(created) })
		s.clock.Every(s.randomPart(recheck), recheck, func() { s.serve(created) })
		s.clock.Every(s.randomPart(time.Second), time.Second, func() { created.pool.Evaluate(s.clock.Now(), s.random) })
	}
	for _, zone := range s.zones {
		if zone != "" {
			s.clock.Every(s.randomPart(digestInterval), digestInterval, func() { s.sendZoneDigest(zone) })
		}
	}
	return s
}

func (s *site) randomPart(of time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(of))
}

// share switches other work on the machine of a server on and off at random times.
func (s *site) share(each *server) {
	mean := float64(busyTime)
	if !each.busy {
		mean *= (1 - busyFraction) / busyFraction
	}
	s.clock.After(time.Duration(s.random.ExpFloat64()*mean), func() {
		each.busy = !each.busy
		s.share(each)
	})
}

// sendDigest sends the digest of a process to the other processes of its zone.
func (s *site) sendDigest(sender *process) {
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

// sendZoneDigest sends the sum of a zone's digests to the processes of the other zones.
func (s *site) sendZoneDigest(zone string) {
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

// arrive generates requests at a rate per second until the given time.
func (s *site) arrive(rate float64, until time.Duration) {
	s.until = until
	var next func()
	next = func() {
		if s.clock.Now() >= until {
			return
		}
		sender := s.processes[s.random.IntN(len(s.processes))]
		sender.waiting = append(sender.waiting, &request{sender: sender, arrived: s.clock.Now()})
		s.serve(sender)
		s.clock.After(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.clock.After(0, next)
}

// serve sends the waiting requests of a process to servers with free slots.
func (s *site) serve(sender *process) {
	for len(sender.waiting) > 0 {
		first := sender.waiting[0]
		if s.clock.Now()-first.arrived > maximumWait {
			sender.waiting = sender.waiting[1:]
			s.refused++
			s.byZone[sender.zone].refused++
			continue
		}
		choice, found := sender.pool.Choose(balance.Demand{Parts: []balance.Part{{ID: s.random.Uint64(), Tokens: promptTokens}}}, nil, s.clock.Now(), s.random)
		if !found {
			return
		}
		sender.waiting = sender.waiting[1:]
		first.choice, first.sent = choice, s.clock.Now()
		chosen := s.servers[choice.ID]
		chosen.waiting = append(chosen.waiting, first)
		if !chosen.active {
			s.step(chosen)
		}
	}
}

// step runs one step of a server and schedules the next one while the server has work.
func (s *site) step(each *server) {
	promptTokensRead := 0
	for len(each.waiting) > 0 && len(each.running) < slots {
		each.running = append(each.running, each.waiting[0])
		each.waiting = each.waiting[1:]
		promptTokensRead += promptTokens
	}
	each.active = len(each.running) > 0
	if !each.active {
		return
	}
	took := stepBase + time.Duration(len(each.running))*stepEach + time.Duration(float64(promptTokensRead)/tokensPerMilli*float64(time.Millisecond))
	s.clock.After(time.Duration(float64(took)*each.pace()), func() {
		each.running = slices.DeleteFunc(each.running, func(r *request) bool { return s.recordEvent(each, r) })
		s.step(each)
	})
}

// recordEvent records an event of a request and reports whether it was the last one.
func (s *site) recordEvent(each *server, r *request) bool {
	pool, zone := r.sender.pool, s.byZone[r.sender.zone]
	r.steps++
	if r.steps%max(1, each.stepsPerEvent[r.sender.zone]) != 0 {
		return false
	}
	r.produced++
	if r.produced == 1 {
		r.began, r.reportedPace = s.clock.Now(), each.reportedPace()
		pool.RecordReport(r.choice.ID, balance.LoadReport{Running: len(each.running), Waiting: len(each.waiting), Slots: slots, Pace: r.reportedPace}, s.clock.Now())
		pool.RecordFirstEvent(r.choice, true, s.clock.Now())
		s.first = append(s.first, s.clock.Now()-r.arrived)
		zone.first = append(zone.first, s.clock.Now()-r.arrived)
	}
	if r.produced < events {
		return false
	}
	pool.RecordRun(r.choice, r.produced, s.clock.Now()-r.began, r.reportedPace, s.clock.Now())
	pool.RecordOutcome(r.choice, health.Success, r.began-r.sent, s.clock.Now(), s.random)
	s.whole = append(s.whole, s.clock.Now()-r.arrived)
	zone.whole = append(zone.whole, s.clock.Now()-r.arrived)
	s.clock.After(0, func() { s.serve(r.sender) })
	return true
}

// run runs the simulation until the given time.
func (s *site) run(until time.Duration) {
	for {
		next, found := s.clock.Next(until)
		if !found {
			return
		}
		next.Run()
	}
}

// capacity returns how many requests per second the servers complete when all slots are in use.
func (s *site) capacity() float64 {
	total := 0.0
	full := (stepBase+slots*stepEach).Seconds()*events + slots*promptTokens/tokensPerMilli/1000
	for _, each := range s.servers {
		total += slots / (full * each.speed * each.slowed * (1 + busyFraction*(busyFactor-1)))
	}
	return total
}

// result summarizes outcomes.
type result struct {
	first, first99, whole time.Duration
	// late is the fraction of requests whose first event came after the goal or never.
	late float64
}

func (o *outcomes) result() result {
	late := o.refused
	for _, each := range o.first {
		if each > firstEventGoal {
			late++
		}
	}
	slices.Sort(o.first)
	return result{
		first: mean(o.first), first99: o.first[len(o.first)*99/100], whole: mean(o.whole),
		late: float64(late) / float64(len(o.first)+o.refused),
	}
}

func mean(all []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, each := range all {
		sum += each
	}
	return sum / time.Duration(max(1, len(all)))
}
