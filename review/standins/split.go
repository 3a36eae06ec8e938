package main

import "time"

const (
	// cutTime is how long the machines that count are cut in two.
	cutTime = 5500 * time.Millisecond
	// maxWait is max_wait_s of the batch routes.
	maxWait = 60 * time.Second
)

// playSplit adds a batch route while the machines that count are cut in two halves, of which one has
// most of the stores and the other most of the coordinators, and hands in jobs on that route.
func playSplit(r *record, program string, trouble bool) bool {
	s := newSite(r, program, 1, true)
	cleanup = s.stop
	for n := 1; n <= 5; n++ {
		s.add("core-"+string(rune('0'+n)), "coordinator", n)
	}
	for n := 1; n <= 3; n++ {
		s.add("store-"+string(rune('0'+n)), "store", n)
	}
	router := s.add("front-1", "router", 1)
	s.start()
	models := []*server{newServer(s, "models", "m1", 0), newServer(s, "models", "m2", 1), newServer(s, "models", "m3", 2)}
	newServer(s, "accounts", "a1", 3)
	o := &operator{record: r, site: s}
	first := []map[string]any{safeRoute("lookup-1", "/safe1/"), batchRoute("lots-1", "/lots1/", 3)}
	if !o.put(1, configurationOf(first...), 15*time.Second) {
		notRun(r, "no coordinator acknowledged the first configuration")
	}
	if !awaitReady(s, router, "/safe1/", 15*time.Second) {
		notRun(r, "the router isn't ready")
	}
	warm := newJob("/lots1/", 3)
	if !warm.submit(r, router, 15*time.Second) || !awaitDone(s, router, warm, 15*time.Second) {
		notRun(r, "the first job wasn't done")
	}
	time.Sleep(3 * time.Second)

	began := time.Now()
	if trouble {
		one, other := halves(s)
		s.split(one, other)
		o.firstTried = other[len(other)-1]
	}
	second := append(first, safeRoute("lookup-2", "/safe2/"), batchRoute("lots-2", "/lots2/", 3))
	if !o.put(2, configurationOf(second...), 4*time.Second) {
		notRun(r, "the second configuration wasn't acknowledged in time")
	}
	for !served(router, "/safe2/") {
		if time.Since(began) > 4*time.Second {
			notRun(r, "the second configuration isn't in force at the router in time")
		}
		time.Sleep(30 * time.Millisecond)
	}
	r.add("client     the new routes are in force at the router")
	var jobs []*job
	for range 6 {
		j := newJob("/lots2/", 2)
		if j.submit(r, router, 2*time.Second) {
			jobs = append(jobs, j)
		}
	}
	if len(jobs) == 0 {
		notRun(r, "no job was taken")
	}
	time.Sleep(time.Until(began.Add(cutTime)))
	if trouble {
		s.heal()
	}
	time.Sleep(8 * time.Second)
	held := true
	for _, j := range jobs {
		total, results, status := j.read(router)
		r.add("client     job %s read: status %d, %d of %d results, %.1f s after it was sent", j.id, status, len(results), total, time.Since(j.sent).Seconds())
		for _, each := range results {
			runs := 0
			for _, model := range models {
				runs += len(model.runsOf(each.ID))
			}
			r.add("client       item %s is %s, %d runs at servers", each.ID, each.State, runs)
			if each.State == "dead" && runs == 0 && time.Since(j.sent) < maxWait {
				r.add("BROKEN     item %s is dead before a 422, 3 answers of 500, max_wait_s and the end of its job and route", each.ID)
				held = false
				body, _ := call("GET", "http://"+router.front()+"/rockwind/items/"+j.id+"?id="+each.ID, nil, map[string]string{"Host": host}, 2*time.Second)
				r.add("client       the body of item %s: %d", each.ID, body)
			}
		}
	}
	return held
}

// awaitDone waits until all items of a job are done.
func awaitDone(s *site, router *process, j *job, patience time.Duration) bool {
	until := time.Now().Add(patience)
	for time.Now().Before(until) {
		total, results, _ := j.read(router)
		if total > 0 && len(results) == total {
			s.record.add("client     job %s: all %d results are there", j.id, total)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// halves returns the two halves of the cut. The leader of the coordinators is in the half with most of them,
// so that the new configuration needn't wait for an election.
func halves(s *site) (one, other []string) {
	one, other = []string{"store-1", "store-2"}, []string{"store-3"}
	for _, p := range s.processes {
		switch {
		case p.role != "coordinator":
		case len(one) < 4 && s.ledGroups(p, 1) == 0:
			one = append(one, p.name)
		default:
			other = append(other, p.name)
		}
	}
	return one, other
}
