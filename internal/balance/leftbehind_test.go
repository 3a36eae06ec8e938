package balance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/leftbehind"
)

// Figures of a site whose processes all lose power at once. Reports are of reportAge earlier,
// and answers take a round trip and a connection.
const (
	lossAt     = 4 * time.Second
	backAt     = lossAt + 700*time.Millisecond
	backOver   = 300 * time.Millisecond
	reportAge  = 200 * time.Millisecond
	answerTime = 6 * time.Millisecond
	lookEach   = 20 * time.Millisecond
	itemTime   = 2500 * time.Millisecond
	mostStarts = 2
	aim        = 300 * time.Millisecond
)

// loss is a fleet whose processes all end without a word and come back.
type loss struct {
	*fleet
	stores int
	// lost is how many processes lose power, the stores first.
	lost int
	// loads are the true loads of the servers at past moments, by server.
	loads map[time.Duration]map[string]int
	// surveyed tells that servers are asked after the return; lie is what they answer, given
	// their true load.
	surveyed bool
	lie      func(server string, load int) int
	asked    int
	running  map[*process]map[string][]func(time.Duration)
}

func newLoss(seed uint64, surveyed bool) *loss {
	l := &loss{
		fleet: newFleet(seed, 90, 90, 8, 400*time.Millisecond, viewAge), stores: 14,
		lost: 90, surveyed: surveyed, loads: make(map[time.Duration]map[string]int),
		running: make(map[*process]map[string][]func(time.Duration)), lie: func(_ string, load int) int { return load },
	}
	for i, each := range l.processes {
		l.equip(each)
		if i < l.stores {
			l.at(0, func(now time.Duration) { l.items(each, now) })
		}
	}
	l.at(0, l.look)
	return l
}

// equip tells the pool of a process what the directory says of its peers.
func (l *loss) equip(each *process) {
	each.pool.SetMaxLoadAge(viewAge)
	each.pool.SetOnlineProcesses(len(l.processes) - l.stores)
	each.pool.SetBatchProcesses(l.stores)
}

// look notes the true loads.
func (l *loss) look(now time.Duration) {
	loads := make(map[string]int)
	for name, server := range l.servers {
		loads[name] = server.running + len(server.queue)
	}
	l.loads[now] = loads
	l.at(now+lookEach, l.look)
}

// items has a store start what it finds room for.
func (l *loss) items(store *process, now time.Duration) {
	if store.gone {
		return
	}
	store.pool.PreemptBatch(0, now, l.random, func(server string, requests int) int {
		running := l.running[store][server]
		gave := min(requests, len(running))
		for _, breakOff := range running[:gave] {
			breakOff(now)
		}
		l.running[store][server] = running[gave:]
		return gave
	})
	for range mostStarts {
		choice, found := store.pool.Choose(balance.Demand{Batch: true}, nil, now, l.random)
		if !found {
			break
		}
		if l.running[store] == nil {
			l.running[store] = make(map[string][]func(time.Duration))
		}
		l.running[store][choice.ID] = append(l.running[store][choice.ID], l.send(store, choice, itemTime, now))
	}
	l.at(now+40*time.Millisecond, func(now time.Duration) { l.items(store, now) })
}

// lose ends processes and has them come back.
func (l *loss) lose(now time.Duration) {
	for i, each := range l.processes[:l.lost] {
		each.gone = true
		// Nobody hears of it before it is back.
		l.processes[i] = &process{name: each.name, gone: true, shares: balance.NewSharedLoads()}
		back := backAt + time.Duration(l.random.Float64()*float64(backOver))
		l.at(back, func(now time.Duration) { l.comeBack(i, each.name, now) })
	}
}

func (l *loss) comeBack(place int, name string, now time.Duration) {
	shares := balance.NewSharedLoads()
	created := &process{name: name, pool: balance.NewPool("service", "here", shares), shares: shares, started: 1 + now.Milliseconds()}
	created.pool.Update(l.members())
	l.processes[place] = created
	l.equip(created)
	l.tell(created, now)
	if place >= l.stores {
		return
	}
	if !l.surveyed {
		l.items(created, now)
		return
	}
	survey := leftbehind.New(created.started)
	var servers []leftbehind.Server
	for _, member := range l.members() {
		servers = append(servers, leftbehind.Server{ID: member.ID, Address: member.Address, Slots: member.Slots})
	}
	survey.Start(name, l.storeNames(), servers, now)
	l.survey(created, survey, now)
	l.at(now+lookEach, func(now time.Duration) { l.itemsOnceKnown(created, survey, now) })
}

// itemsOnceKnown starts items as soon as it is known what was left behind.
func (l *loss) itemsOnceKnown(store *process, survey *leftbehind.Survey, now time.Duration) {
	if survey.Pending() {
		l.at(now+lookEach, func(now time.Duration) { l.itemsOnceKnown(store, survey, now) })
		return
	}
	l.items(store, now)
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

// survey has a store ask servers until its survey is over.
func (l *loss) survey(store *process, survey *leftbehind.Survey, now time.Duration) {
	earliest, heard := store.shares.EarliestStart()
	survey.Evaluate(leftbehind.PeerStatus{Heard: heard, EarliestStart: earliest, SurvivorsReported: store.shares.SurvivorsReported()}, store.pool.LiveInflight, now)
	l.tellLeft(store, survey)
	for _, server := range survey.Due(now) {
		l.asked++
		l.at(now+answerTime, func(now time.Duration) {
			told := l.lie(server.ID, l.loads[(now - reportAge).Truncate(lookEach)][server.ID])
			survey.Answered(server.ID, told, store.pool.LiveInflight(server.ID))
			l.tellLeft(store, survey)
		})
	}
	if !survey.Done() {
		l.at(now+lookEach, func(now time.Duration) { l.survey(store, survey, now) })
	}
}

func (l *loss) tellLeft(store *process, survey *leftbehind.Survey) {
	left := make(map[string]int)
	survey.LeftBehind(func(id string, count int) { left[id] = count })
	store.shares.SetLeftBehind(left, survey.ReportSurvivors())
}

// play runs the day: busy before the loss, then the usual rate, with those who waited coming
// first. It returns the part of the first events after the return that are late.
func (l *loss) play() float64 {
	l.arriveBetween(0, lossAt, 1000)
	l.at(lossAt, l.lose)
	l.at(backAt+backOver, func(now time.Duration) {
		l.waits, l.refused = nil, 0
		for range 150 {
			l.request(l.processes[l.stores+l.random.IntN(len(l.processes)-l.stores)], now)
		}
	})
	l.arriveBetween(backAt+backOver, backAt+backOver+3*time.Second, 400)
	l.run(backAt + backOver + 5*time.Second)
	return l.late(aim)
}

// arriveBetween sends requests to the routers at a rate a second.
func (l *loss) arriveBetween(from, until time.Duration, rate float64) {
	for now := from; now < until; now += time.Duration(l.random.ExpFloat64() / rate * float64(time.Second)) {
		l.at(now, func(now time.Duration) {
			l.request(l.processes[l.stores+l.random.IntN(len(l.processes)-l.stores)], now)
		})
	}
}

// TestRequestsAfterALossOfAllProcessesGoWhereThereIsRoom: servers that still ran items of
// stores that were gone counted as empty.
func TestRequestsAfterALossOfAllProcessesGoWhereThereIsRoom(t *testing.T) {
	const (
		part      = 0.4
		questions = 2 * 2 * 90
	)
	for seed := uint64(1); seed <= 3; seed++ {
		before, after := newLoss(seed, false), newLoss(seed, true)
		unasked, asked := before.play(), after.play()
		t.Logf("seed %d: late %.3f of %d unasked (p90 %v), %.3f of %d with %d questions (p90 %v)",
			seed, unasked, len(before.waits), before.waited(0.9), asked, len(after.waits), after.asked, after.waited(0.9))
		if asked > part*unasked || after.asked > questions {
			t.Errorf("seed %d: %.3f of the first events are late with %d questions, %.3f without", seed, asked, after.asked, unasked)
		}
	}
}

// TestRequestsAfterALossOfAllStoresGoWhereThereIsRoom: routers that lived on forgot what the
// stores had told, or took the word of their new lives for it.
func TestRequestsAfterALossOfAllStoresGoWhereThereIsRoom(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		before, after := newLoss(seed, false), newLoss(seed, true)
		before.lost, after.lost = before.stores, after.stores
		unasked, asked := before.play(), after.play()
		t.Logf("seed %d: late %.3f of %d unasked (p90 %v), %.3f of %d with %d questions (p90 %v)",
			seed, unasked, len(before.waits), before.waited(0.9), asked, len(after.waits), after.asked, after.waited(0.9))
		if asked > 0.7*unasked {
			t.Errorf("seed %d: %.3f of the first events are late with %d questions, %.3f without", seed, asked, after.asked, unasked)
		}
	}
}

// TestServersThatTellFalseLoadsAreUsedAgain: a tenth of them tell for good that they are
// full. Requests are late no more often than without a question, and those servers run as many
// as others in the end.
func TestServersThatTellFalseLoadsAreUsedAgain(t *testing.T) {
	const lying = 9
	before, after := newLoss(1, false), newLoss(1, true)
	after.lie = func(server string, load int) int {
		if slices.Index(after.names, server) < lying {
			return 30
		}
		return load
	}
	unasked, asked := before.play(), after.play()
	running := 0
	for _, name := range after.names[:lying] {
		running += after.servers[name].running
	}
	t.Logf("late %.3f unasked, %.3f with false answers; %d run at the servers that lie", unasked, asked, running)
	if asked > unasked || running < lying {
		t.Errorf("late %.3f unasked, %.3f with false answers; %d run at the servers that lie", unasked, asked, running)
	}
}

// TestWhatWasLeftBehindIsTheMeanOfThoseWhoAsked, and is forgotten with them.
func TestWhatWasLeftBehindIsTheMeanOfThoseWhoAsked(t *testing.T) {
	pool, shares, names := newPool(1, 8)
	tell := func(sender string, left int, now time.Duration) {
		other := balance.NewSharedLoads()
		other.SetLeftBehind(map[string]int{names[0]: left}, false)
		loads := make(map[uint32]balance.SharedLoad)
		other.OwnLeftBehind(func(hash uint32, load balance.SharedLoad) { loads[hash] = load })
		shares.Apply(sender, 1, uint64(now+1), loads, now)
	}
	tell("store-1", 3, 0)
	if got := pool.LeftBehind(); got != 3 {
		t.Errorf("%d left behind by one word, want 3", got)
	}
	tell("store-2", 6, time.Second)
	if got := pool.LeftBehind(); got != 5 {
		t.Errorf("%d left behind by two words, want 5", got)
	}
	if started := len(startAll(pool, time.Second)); started != 3 {
		t.Errorf("%d requests were started beside 5 in 8 slots", started)
	}
	// The first one ended before it could tell more.
	shares.Expire(1500 * time.Millisecond)
	if got := pool.LeftBehind(); got != 6 {
		t.Errorf("%d left behind by the word that is left, want 6", got)
	}
	shares.Expire(3 * time.Second)
	if got := pool.LeftBehind(); got != 0 {
		t.Errorf("%d left behind by nobody's word", got)
	}
	if changed := shares.SetLeftBehind(map[string]int{names[0]: 2}, false); !changed || pool.LeftBehind() != 2 {
		t.Errorf("%d left behind by this process's own word, want 2", pool.LeftBehind())
	}
	ignoring, others, _ := newPool(1, 8)
	others.IgnoreLeftBehind()
	if others.SetLeftBehind(map[string]int{names[0]: 2}, false); ignoring.LeftBehind() != 0 {
		t.Error("what was left behind counts where it is to be ignored")
	}
	if shares.SurvivorsReported() {
		t.Error("nobody said that others lived on")
	}
	if told := balance.NewSharedLoads(); !told.SetLeftBehind(nil, true) || told.SurvivorsReported() {
		t.Error("a process takes its own word for that of another")
	} else {
		loads := make(map[uint32]balance.SharedLoad)
		told.OwnLeftBehind(func(hash uint32, load balance.SharedLoad) { loads[hash] = load })
		shares.ApplyGroup("store-3", "zone", 9, 1, 1, loads, 3*time.Second)
		if !shares.SurvivorsReported() || pool.LeftBehind() != 2 {
			t.Error("the word of a new process that others lived on is not passed on by its delegate")
		}
	}
	if shares.SetLeftBehind(map[string]int{names[0]: 2}, false) || !shares.SetLeftBehind(nil, false) || pool.LeftBehind() != 0 {
		t.Error("a word that is taken back still counts")
	}
}
