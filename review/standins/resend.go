package main

import (
	"sync"
	"time"
)

const (
	// downTime is how long the killed store stays down.
	downTime = 2800 * time.Millisecond
	// storeCount is the number of stores of the site.
	storeCount = 6
	// cancelTime is cancel_ms, and contactTime contact_ms of the deployment.
	cancelTime  = 3 * time.Second
	contactTime = 4 * time.Second
)

// playResend hands jobs in and, some tenths of a second later, hands the same jobs in again at another
// router, right after a store was killed. In between a route was added that restricts the jobs to a
// region. Then the jobs are read at both routers, and ended.
func playResend(r *record, program string, trouble bool) bool {
	s := newSite(r, program, 2, false)
	cleanup = s.stop
	s.zones = []string{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f"}
	s.regionOf = map[string]string{"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1", "zone-d": "region-2", "zone-e": "region-2", "zone-f": "region-2"}
	for n := 1; n <= 5; n++ {
		s.add("core-"+string(rune('0'+n)), "coordinator", n)
	}
	for n := 1; n <= storeCount; n++ {
		s.add("store-"+string(rune('0'+n)), "store", n)
	}
	first, second := s.add("front-1", "router", 1), s.add("front-2", "router", 2)
	s.start()
	var models []*server
	for n := range 2 {
		model := newServer(s, "models", "m"+string(rune('1'+n)), n)
		model.events, model.eventEvery, model.slots = 40, 100*time.Millisecond, 2
		models = append(models, model)
	}
	newServer(s, "accounts", "a1", 3)
	o := &operator{record: r, site: s}
	routes := []map[string]any{safeRoute("lookup-1", "/safe1/"), batchRoute("lots-1", "/lots/", 3)}
	if !o.put(1, configurationOf(routes...), 15*time.Second) {
		notRun(r, "no coordinator acknowledged the first configuration")
	}
	for _, router := range []*process{first, second} {
		if !awaitReady(s, router, "/safe1/", 15*time.Second) {
			notRun(r, "a router isn't ready")
		}
	}
	warm := newJob("/lots/", 3)
	if !warm.submit(r, first, 15*time.Second) || !awaitDone(s, first, warm, 15*time.Second) {
		notRun(r, "the first job wasn't done")
	}
	time.Sleep(4 * time.Second)

	var jobs []*job
	for range 60 {
		j := newJob("/lots/narrow/", 3)
		if !j.submit(r, first, 2*time.Second) {
			notRun(r, "a job wasn't taken")
		}
		jobs = append(jobs, j)
	}
	narrow := batchRoute("lots-narrow", "/lots/narrow/", 3)
	narrow["placement"] = []string{"region-1"}
	if !o.put(2, configurationOf(append(routes, safeRoute("lookup-2", "/safe2/"), narrow)...), 4*time.Second) {
		notRun(r, "the second configuration wasn't acknowledged")
	}
	for !served(second, "/safe2/") {
		time.Sleep(20 * time.Millisecond)
	}
	r.add("client     the added routes are in force at front-2")
	killed := leadingStore(s)
	if trouble {
		s.kill(killed)
	}
	var sent sync.WaitGroup
	for _, j := range jobs {
		sent.Add(1)
		go func() {
			defer sent.Done()
			if !j.submit(r, second, 4*time.Second) {
				j.taken = time.Time{}
			}
		}()
	}
	sent.Wait()
	if trouble {
		time.Sleep(downTime)
		s.startProcess(killed)
	}
	restarted := time.Now()
	time.Sleep(1500 * time.Millisecond)
	held := true
	for _, j := range jobs {
		_, one, _ := j.read(first)
		_, other, _ := j.read(second)
		for position := range min(len(one), len(other)) {
			if one[position] != other[position] {
				r.add("BROKEN     position %d of job %s holds item %s at front-1 and item %s at front-2", position, j.id, one[position].ID, other[position].ID)
				held = false
			}
		}
	}
	ended := map[string]time.Time{}
	for _, j := range jobs {
		status := 0
		for tries := 0; tries < 40 && status != 200; tries++ {
			status, _ = call("DELETE", "http://"+second.front()+"/rockwind/lots/"+j.id, nil, map[string]string{"Host": host}, 2*time.Second)
			if status != 200 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		r.add("client     the end of job %s: %d", j.id, status)
		if status == 200 {
			ended[j.id] = time.Now()
		}
	}
	time.Sleep(30 * time.Second)
	for _, j := range jobs {
		end, known := ended[j.id]
		if !known {
			continue
		}
		late := 0
		for _, item := range j.items {
			for _, model := range models {
				for _, each := range model.runsOf(item) {
					if each.began.After(end.Add(cancelTime)) && each.began.After(restarted.Add(contactTime)) {
						late++
						r.add("BROKEN     item %s of job %s came to %s %.1f s after the end of its job was acknowledged", item, j.id, each.server, each.began.Sub(end).Seconds())
					}
				}
			}
		}
		if late > 0 {
			held = false
		}
	}
	return held
}

// leadingStore returns the store that leads the most ordinary shards of those outside of the region of the
// added route.
func leadingStore(s *site) *process {
	var best *process
	most := 0
	for _, p := range s.processes {
		if p.role != "store" || s.regionOf[p.zone] != "region-2" {
			continue
		}
		// The regional shards are numbered after the ordinary ones, of which there is one for each store.
		led := s.ledGroups(p, storeCount)
		s.record.add("operator   %s leads %d ordinary shards", p.name, led)
		if led > most {
			best, most = p, led
		}
	}
	if best == nil {
		notRun(s.record, "no store of region-2 leads a shard")
	}
	return best
}
