package router_test

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/orphans"
	"rockwind.example/rockwind/internal/router"
)

const (
	// itemTime is how long a batch item holds its slot. Items that were running before the restart have
	// at least leastItemTime left.
	itemTime      = 5 * time.Second
	leastItemTime = time.Second
	// schedulePause, preemptableAfter and preemptPause are those of package store.
	schedulePause    = 40 * time.Millisecond
	preemptableAfter = 250 * time.Millisecond
	preemptPause     = 50 * time.Millisecond
	// leaderTime is how long after a store's start it leads its shards.
	leaderTime = 50 * time.Millisecond
	// surveyPause is the interval at which stores update their survey.
	surveyPause = 20 * time.Millisecond
	// sampleInterval is the interval at which the use of the slots is sampled.
	sampleInterval = 100 * time.Millisecond
)

// restartItem is a batch item of a store.
type restartItem struct {
	// skew is as that of a request.
	skew      time.Duration
	remaining time.Duration
	retryAt   time.Time
}

// itemRun is a run of an item.
type itemRun struct {
	item      *restartItem
	lease     *router.Lease
	run       *serverRun
	began     time.Time
	preempted bool
}

// restartStore runs batch items as an executor of package store does.
type restartStore struct {
	site    *restartSite
	process *restartProcess
	mutex   sync.Mutex
	waiting []*restartItem
	active  []*itemRun
}

// startStores gives the stores the items that they take up again, and further ones at the given rate.
func (s *restartSite) startStores(options restartOptions) {
	if options.items == 0 && options.itemRate == 0 {
		return
	}
	for _, process := range s.processes[:options.stores] {
		s.stores = append(s.stores, &restartStore{site: s, process: process})
	}
	stores := s.stores
	for i := range options.items {
		store := stores[i%len(stores)]
		store.waiting = append(store.waiting, s.newItem(s.between(leastItemTime, itemTime)))
	}
	random := newLockedRandom(options.seed, itemStream)
	var arrive func()
	arrive = func() {
		store := stores[random.between(0, time.Duration(len(stores)))]
		store.mutex.Lock()
		store.waiting = append(store.waiting, s.newItem(itemTime))
		store.mutex.Unlock()
		if s.elapsed() < options.length {
			time.AfterFunc(time.Duration(float64(time.Second)/options.itemRate), arrive)
		}
	}
	if options.itemRate > 0 {
		time.AfterFunc(0, arrive)
	}
	for _, store := range stores {
		s.storeRuns.Go(func() {
			time.Sleep(store.process.readyAt + leaderTime)
			store.run(2 * options.length)
		})
	}
}

// newItem returns an item that runs for the given time. Items are numbered in the order of the calls.
func (s *restartSite) newItem(remaining time.Duration) *restartItem {
	s.itemCount++
	return &restartItem{skew: time.Duration(s.itemCount) * requestSkew, remaining: remaining}
}

// run starts and preempts items until the site has run for the given time.
func (s *restartStore) run(length time.Duration) {
	for s.site.elapsed() < length {
		s.preempt()
		s.startItems()
		wake := time.After(schedulePause)
		for waiting := true; waiting; {
			select {
			case <-wake:
				waiting = false
			case <-s.process.dispatcher.OnlineWaiting():
				time.Sleep(wakeTime)
				s.preempt()
			}
		}
	}
}

func (s *restartStore) preempt() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.active) == 0 {
		return
	}
	s.process.dispatcher.PreemptBatch("app", func(server string, requests int) int {
		preempted := 0
		for _, each := range s.active {
			if preempted < requests && !each.preempted && each.lease.ID == server && time.Since(each.began) >= preemptableAfter {
				each.preempted = true
				preempted++
				time.AfterFunc(time.Millisecond+each.item.skew, func() { s.site.servers[server].finish(each.run) })
			}
		}
		return preempted
	})
}

func (s *restartStore) startItems() {
	for {
		s.mutex.Lock()
		now := time.Now()
		next := slices.IndexFunc(s.waiting, func(item *restartItem) bool { return !now.Before(item.retryAt) })
		if next < 0 {
			s.mutex.Unlock()
			return
		}
		lease := s.process.dispatcher.TryAcquire("app", balance.Demand{Batch: true})
		if lease == nil {
			s.mutex.Unlock()
			return
		}
		item := s.waiting[next]
		s.waiting = slices.Delete(s.waiting, next, next+1)
		s.start(item, lease)
		s.mutex.Unlock()
	}
}

// start sends an item to its server. The caller holds the mutex.
func (s *restartStore) start(item *restartItem, lease *router.Lease) {
	first, ended := make(chan balance.LoadReport, 1), make(chan struct{})
	started := &itemRun{item: item, lease: lease, began: time.Now()}
	started.run = &serverRun{
		kind: batchRun, hold: item.remaining, end: func() { close(ended) },
		firstEvent: func(report balance.LoadReport) { first <- report },
	}
	s.active = append(s.active, started)
	s.site.mutex.Lock()
	s.site.tally.itemStarts[min(int(s.site.elapsed()/time.Second), len(s.site.tally.itemStarts)-1)]++
	s.site.mutex.Unlock()
	s.site.storeRuns.Go(func() {
		time.Sleep(time.Millisecond + item.skew)
		if !s.site.servers[lease.ID].submit(started.run) {
			lease.Done(health.Refused, 0)
			s.end(started, item.remaining)
			return
		}
		awaitEnd(first, ended, lease.RecordLoad)
		ran := time.Duration(0)
		if started.run.running {
			ran = time.Since(started.run.began)
		}
		if ran < started.run.hold {
			lease.Abandon()
		} else {
			lease.Done(health.Success, ran)
		}
		s.end(started, started.run.hold-ran)
	})
}

// end records the end of a run. An item with remaining work waits again.
func (s *restartStore) end(ended *itemRun, remaining time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active = slices.DeleteFunc(s.active, func(each *itemRun) bool { return each == ended })
	s.site.mutex.Lock()
	defer s.site.mutex.Unlock()
	if remaining > 0 {
		ended.item.remaining, ended.item.retryAt = remaining, time.Now().Add(preemptPause)
		s.waiting = append(s.waiting, ended.item)
		s.site.tally.preempted++
		return
	}
	s.site.tally.itemsDone++
}

// surveyServers has the stores query the servers for orphaned requests, as they do at their start.
func (s *restartSite) surveyServers(options restartOptions, view *directory.View) {
	var processes []string
	for _, store := range s.processes[:options.stores] {
		processes = append(processes, store.name)
	}
	var servers []orphans.Server
	for _, server := range view.Servers() {
		servers = append(servers, orphans.Server{ID: server.GetId(), Address: server.GetAddress(), Slots: int(server.GetSlots())})
	}
	for _, store := range s.processes[:options.stores] {
		var update func()
		update = func() {
			due, over := store.dispatcher.UpdateSurvey()
			for _, server := range due {
				time.AfterFunc(store.random.between(2*time.Millisecond, 20*time.Millisecond), func() {
					queried := s.servers[server.ID]
					queried.mutex.Lock()
					requests := queried.reported.Running + queried.reported.Waiting
					queried.mutex.Unlock()
					time.AfterFunc(time.Millisecond, func() { store.dispatcher.AnswerSurvey(server.ID, requests) })
				})
			}
			if !over {
				time.AfterFunc(surveyPause, update)
			}
		}
		time.AfterFunc(store.readyAt+time.Microsecond, func() {
			store.dispatcher.BeginSurvey(store.name, processes, servers)
			update()
		})
	}
}

// slotSample is what the slots are used for at a moment.
type slotSample struct {
	kinds  [runKinds]int
	idle   int
	queued int
	// timely and late count the requests that wait in routers. limited counts the routers whose starts
	// are limited, and starved those with a waiting request in time whose credit is used up.
	timely, late     int
	limited, starved int
	orphanedKnown    int
}

// sample records what the slots are used for, repeatedly.
func (s *restartSite) sample(interval, length time.Duration) {
	var next slotSample
	for _, server := range s.servers {
		server.mutex.Lock()
		for kind, runs := range server.kinds {
			next.kinds[kind] += runs
		}
		next.idle += server.slots - server.running
		next.queued += len(server.queue)
		server.mutex.Unlock()
	}
	for _, each := range s.routers {
		state := each.dispatcher.QueueState("app")
		next.timely += state.Timely
		next.late += state.Waiting - state.Timely
		next.orphanedKnown += state.Orphaned
		if state.Limited {
			next.limited++
		}
		if state.Timely > 0 && state.NoCredit {
			next.starved++
		}
	}
	next.orphanedKnown /= max(1, len(s.routers))
	s.mutex.Lock()
	s.tally.samples = append(s.tally.samples, next)
	s.mutex.Unlock()
	if s.elapsed() < length {
		time.AfterFunc(interval, func() { s.sample(interval, length) })
	}
}

// String describes the sample in one line.
func (s slotSample) String() string {
	return fmt.Sprintf("orphaned %3d (known %3d) batch %3d timely %3d late %3d idle %3d queued %3d; waiting timely %3d late %4d; limited %2d starved %2d",
		s.kinds[orphanedRun], s.orphanedKnown, s.kinds[batchRun], s.kinds[timelyRun], s.kinds[lateRun], s.idle, s.queued, s.timely, s.late, s.limited, s.starved)
}
