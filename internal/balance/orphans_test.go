package balance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/orphans"
)

// Parameters of a site whose processes all lose power at once. A server's answer describes its load
// reportAge earlier and takes queryTime, which covers a connection and a round trip.
const (
	lossAt        = 4 * time.Second
	restartAt     = lossAt + 700*time.Millisecond
	restartSpread = 300 * time.Millisecond
	reportAge     = 200 * time.Millisecond
	queryTime     = 6 * time.Millisecond
	pollInterval  = 20 * time.Millisecond
	itemTime      = 2500 * time.Millisecond
	maxStarts     = 2
	lateLimit     = 300 * time.Millisecond
)

// loss is a fleet whose processes end without notice and restart.
type loss struct {
	*fleet
	stores int
	// lost is how many processes fail, the stores first.
	lost int
	// loads are the true loads of the servers at past times.
	loads map[time.Duration]map[string]int
	// surveys is set if restarted stores query the servers. falsify returns a server's answer, given
	// its true load.
	surveys bool
	falsify func(server string, load int) int
	queried int
	running map[*process]map[string][]func(time.Duration)
}

func newLoss(seed uint64, surveys bool) *loss {
	l := &loss{
		fleet: newFleet(seed, 90, 90, 8, 400*time.Millisecond, maxLoadAge), stores: 14,
		lost: 90, surveys: surveys, loads: make(map[time.Duration]map[string]int),
		running: make(map[*process]map[string][]func(time.Duration)), falsify: func(_ string, load int) int { return load },
	}
	for i, each := range l.processes {
		l.configure(each)
		if i < l.stores {
			l.schedule(0, func(now time.Duration) { l.runItems(each, now) })
		}
	}
	l.schedule(0, l.recordLoads)
	return l
}

// configure sets what a process knows of its peers.
func (l *loss) configure(each *process) {
	each.pool.SetMaxLoadAge(maxLoadAge)
	each.pool.SetOnlineProcesses(len(l.processes) - l.stores)
	each.pool.SetBatchProcesses(l.stores)
}

// recordLoads records the true loads.
func (l *loss) recordLoads(now time.Duration) {
	loads := make(map[string]int)
	for name, server := range l.servers {
		loads[name] = server.running + len(server.queue)
	}
	l.loads[now] = loads
	l.schedule(now+pollInterval, l.recordLoads)
}

// runItems has a store preempt and start batch requests periodically.
func (l *loss) runItems(store *process, now time.Duration) {
	if store.gone {
		return
	}
	store.pool.PreemptBatch(0, now, l.random, func(server string, requests int) int {
		running := l.running[store][server]
		preempted := min(requests, len(running))
		for _, cancel := range running[:preempted] {
			cancel(now)
		}
		l.running[store][server] = running[preempted:]
		return preempted
	})
	for range maxStarts {
		choice, found := store.pool.Choose(balance.Demand{Batch: true}, nil, now, l.random)
		if !found {
			break
		}
		if l.running[store] == nil {
			l.running[store] = make(map[string][]func(time.Duration))
		}
		l.running[store][choice.ID] = append(l.running[store][choice.ID], l.send(store, choice, itemTime, now))
	}
	l.schedule(now+40*time.Millisecond, func(now time.Duration) { l.runItems(store, now) })
}

// failProcesses ends processes and schedules their restart.
func (l *loss) failProcesses(now time.Duration) {
	for i, each := range l.processes[:l.lost] {
		each.gone = true
		// A placeholder sends no digests until the restart.
		l.processes[i] = &process{name: each.name, gone: true, sharedLoads: balance.NewSharedLoads()}
		back := restartAt + time.Duration(l.random.Float64()*float64(restartSpread))
		l.schedule(back, func(now time.Duration) { l.restart(i, each.name, now) })
	}
}

func (l *loss) restart(place int, name string, now time.Duration) {
	sharedLoads := balance.NewSharedLoads()
	created := &process{name: name, pool: balance.NewPool("service", "here", sharedLoads), sharedLoads: sharedLoads, started: 1 + now.Milliseconds()}
	created.pool.Update(l.members())
	l.processes[place] = created
	l.configure(created)
	l.sendDigest(created, now)
	if place >= l.stores {
		return
	}
	if !l.surveys {
		l.runItems(created, now)
		return
	}
	survey := orphans.New(created.started)
	var servers []orphans.Server
	for _, member := range l.members() {
		servers = append(servers, orphans.Server{ID: member.ID, Address: member.Address, Slots: member.Slots})
	}
	survey.Start(name, l.storeNames(), servers, now)
	l.survey(created, survey, now)
	l.schedule(now+pollInterval, func(now time.Duration) { l.runItemsAfterSurvey(created, survey, now) })
}

// runItemsAfterSurvey starts items once the survey knows the orphaned requests.
func (l *loss) runItemsAfterSurvey(store *process, survey *orphans.Survey, now time.Duration) {
	if survey.Pending() {
		l.schedule(now+pollInterval, func(now time.Duration) { l.runItemsAfterSurvey(store, survey, now) })
		return
	}
	l.runItems(store, now)
}

func (l *loss) members() []balance.Member {
	var members []balance.Member
	for _, name := range l.names {
		members = append(members, balance.Member{ID: name, Address: name, Zone: "here", Slots: 8})
	}
	return members
}

func (l *loss) storeNames() []string {
	var names []string
	for i := range l.stores {
		names = append(names, fmt.Sprint("process-", i))
	}
	return names
}

// survey has a store query servers until its survey is over.
func (l *loss) survey(store *process, survey *orphans.Survey, now time.Duration) {
	earliest, reported := store.sharedLoads.EarliestStart()
	survey.Evaluate(orphans.PeerStatus{Reported: reported, EarliestStart: earliest, SurvivorsReported: store.sharedLoads.SurvivorsReported()}, store.pool.LiveInflight, now)
	l.reportOrphaned(store, survey)
	for _, server := range survey.Due(now) {
		l.queried++
		l.schedule(now+queryTime, func(now time.Duration) {
			told := l.falsify(server.ID, l.loads[(now - reportAge).Truncate(pollInterval)][server.ID])
			survey.Answered(server.ID, told, store.pool.LiveInflight(server.ID))
			l.reportOrphaned(store, survey)
		})
	}
	if !survey.Done() {
		l.schedule(now+pollInterval, func(now time.Duration) { l.survey(store, survey, now) })
	}
}

func (l *loss) reportOrphaned(store *process, survey *orphans.Survey) {
	left := make(map[string]int)
	survey.Orphaned(func(id string, count int) { left[id] = count })
	store.sharedLoads.SetOrphaned(left, survey.ReportSurvivors())
}

// runScenario runs heavy load before the failure and normal load after it, starting with the
// requests that waited. It returns the fraction of late first events after the restart.
func (l *loss) runScenario() float64 {
	l.generateBetween(0, lossAt, 1000)
	l.schedule(lossAt, l.failProcesses)
	l.schedule(restartAt+restartSpread, func(now time.Duration) {
		l.waits, l.refused = nil, 0
		for range 150 {
			l.request(l.processes[l.stores+l.random.IntN(len(l.processes)-l.stores)], now)
		}
	})
	l.generateBetween(restartAt+restartSpread, restartAt+restartSpread+3*time.Second, 400)
	l.run(restartAt + restartSpread + 5*time.Second)
	return l.lateFraction(lateLimit)
}

// generateBetween sends requests to the routers at a rate per second.
func (l *loss) generateBetween(from, until time.Duration, rate float64) {
	for now := from; now < until; now += time.Duration(l.random.ExpFloat64() / rate * float64(time.Second)) {
		l.schedule(now, func(now time.Duration) {
			l.request(l.processes[l.stores+l.random.IntN(len(l.processes)-l.stores)], now)
		})
	}
}

// TestRequestsAfterALossOfAllProcessesGoWhereThereIsRoom guards against treating servers as empty
// that still run orphaned requests of failed stores.
func TestRequestsAfterALossOfAllProcessesGoWhereThereIsRoom(t *testing.T) {
	const (
		part       = 0.4
		maxQueries = 2 * 2 * 90
	)
	for seed := uint64(1); seed <= 3; seed++ {
		before, after := newLoss(seed, false), newLoss(seed, true)
		lateWithout, lateWith := before.runScenario(), after.runScenario()
		t.Logf("seed %d: late %.3f of %d without queries (p90 %v), %.3f of %d with %d queries (p90 %v)",
			seed, lateWithout, len(before.waits), before.waitQuantile(0.9), lateWith, len(after.waits), after.queried, after.waitQuantile(0.9))
		if lateWith > part*lateWithout || after.queried > maxQueries {
			t.Errorf("seed %d: %.3f of the first events are late with %d queries, %.3f without", seed, lateWith, after.queried, lateWithout)
		}
	}
}

// TestRequestsAfterALossOfAllStoresFindRoom guards against routers that keep running dropping the
// loads of failed stores, or replacing them by the empty loads of restarted ones.
func TestRequestsAfterALossOfAllStoresFindRoom(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		before, after := newLoss(seed, false), newLoss(seed, true)
		before.lost, after.lost = before.stores, after.stores
		lateWithout, lateWith := before.runScenario(), after.runScenario()
		t.Logf("seed %d: late %.3f of %d without queries (p90 %v), %.3f of %d with %d queries (p90 %v)",
			seed, lateWithout, len(before.waits), before.waitQuantile(0.9), lateWith, len(after.waits), after.queried, after.waitQuantile(0.9))
		if lateWith > 0.7*lateWithout {
			t.Errorf("seed %d: %.3f of the first events are late with %d queries, %.3f without", seed, lateWith, after.queried, lateWithout)
		}
	}
}

// TestServersWithFalseLoadsAreUsedAgain checks that servers that always claim to be full get
// requests again, and that requests aren't late more often than without queries.
func TestServersWithFalseLoadsAreUsedAgain(t *testing.T) {
	const lyingServers = 9
	before, after := newLoss(1, false), newLoss(1, true)
	after.falsify = func(server string, load int) int {
		if slices.Index(after.names, server) < lyingServers {
			return 30
		}
		return load
	}
	lateWithout, lateWith := before.runScenario(), after.runScenario()
	running := 0
	for _, name := range after.names[:lyingServers] {
		running += after.servers[name].running
	}
	t.Logf("late %.3f without queries, %.3f with false answers; %d requests run at servers with false loads", lateWithout, lateWith, running)
	if lateWith > lateWithout || running < lyingServers {
		t.Errorf("late %.3f without queries, %.3f with false answers; %d requests run at servers with false loads", lateWithout, lateWith, running)
	}
}

// TestOrphanedCountIsTheMeanOfReports checks that the number of orphaned requests is the mean of
// the reports and that it expires with the reporting processes.
func TestOrphanedCountIsTheMeanOfReports(t *testing.T) {
	pool, sharedLoads, names := newPool(1, 8)
	report := func(sender string, left int, now time.Duration) {
		other := balance.NewSharedLoads()
		other.SetOrphaned(map[string]int{names[0]: left}, false)
		loads := make(map[uint32]balance.SharedLoad)
		other.OwnOrphaned(func(hash uint32, load balance.SharedLoad) { loads[hash] = load })
		sharedLoads.Apply(sender, 1, uint64(now+1), loads, now)
	}
	report("store-1", 3, 0)
	if got := pool.Orphaned(); got != 3 {
		t.Errorf("%d orphaned according to one report, want 3", got)
	}
	report("store-2", 6, time.Second)
	if got := pool.Orphaned(); got != 5 {
		t.Errorf("%d orphaned according to two reports, want 5", got)
	}
	if started := len(startAll(pool, time.Second)); started != 3 {
		t.Errorf("%d requests were started with 5 of 8 slots in use, want 3", started)
	}
	// The first report expires before the second one.
	sharedLoads.Expire(1500 * time.Millisecond)
	if got := pool.Orphaned(); got != 6 {
		t.Errorf("%d orphaned according to the remaining report, want 6", got)
	}
	sharedLoads.Expire(3 * time.Second)
	if got := pool.Orphaned(); got != 0 {
		t.Errorf("%d orphaned after all reports expired, want 0", got)
	}
	if changed := sharedLoads.SetOrphaned(map[string]int{names[0]: 2}, false); !changed || pool.Orphaned() != 2 {
		t.Errorf("%d orphaned according to this process, want 2", pool.Orphaned())
	}
	ignoring, others, _ := newPool(1, 8)
	others.IgnoreOrphaned()
	if others.SetOrphaned(map[string]int{names[0]: 2}, false); ignoring.Orphaned() != 0 {
		t.Error("orphaned requests count although they are ignored")
	}
	if sharedLoads.SurvivorsReported() {
		t.Error("survivors are reported, but by no process")
	}
	if told := balance.NewSharedLoads(); !told.SetOrphaned(nil, true) || told.SurvivorsReported() {
		t.Error("a process counts its own report of survivors")
	} else {
		loads := make(map[uint32]balance.SharedLoad)
		told.OwnOrphaned(func(hash uint32, load balance.SharedLoad) { loads[hash] = load })
		sharedLoads.ApplyGroup("store-3", "zone", 9, 1, 1, loads, 3*time.Second)
		if !sharedLoads.SurvivorsReported() || pool.Orphaned() != 2 {
			t.Error("a report of survivors is not passed on by the delegate")
		}
	}
	if sharedLoads.SetOrphaned(map[string]int{names[0]: 2}, false) || !sharedLoads.SetOrphaned(nil, false) || pool.Orphaned() != 0 {
		t.Error("orphaned requests still count after the report was withdrawn")
	}
}
