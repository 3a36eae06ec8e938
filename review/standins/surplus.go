package main

import "time"

// playSurplus hands in an item that fails twice and then succeeds, on a route with three attempts. The
// server sends its first answer of 500 once more, late: where the next answer is expected.
func playSurplus(r *record, program string, trouble bool) bool {
	s := newSite(r, program, 1, false)
	cleanup = s.stop
	for n := 1; n <= 3; n++ {
		s.add("core-"+string(rune('0'+n)), "coordinator", n)
	}
	for n := 1; n <= 3; n++ {
		s.add("store-"+string(rune('0'+n)), "store", n)
	}
	router := s.add("front-1", "router", 1)
	s.start()
	model := newServer(s, "models", "m1", 0)
	newServer(s, "accounts", "a1", 3)
	o := &operator{record: r, site: s}
	if !o.put(1, configurationOf(safeRoute("lookup-1", "/safe1/"), batchRoute("lots-1", "/lots1/", attemptsOfRoute)), 15*time.Second) {
		notRun(r, "no coordinator acknowledged the configuration")
	}
	if !awaitReady(s, router, "/safe1/", 15*time.Second) {
		notRun(r, "the router isn't ready")
	}
	// One answer in forty is sent twice, so that the share stays below three in a hundred.
	warm := newJob("/lots1/", 40)
	if !warm.submit(r, router, 15*time.Second) || !awaitDone(s, router, warm, 20*time.Second) {
		notRun(r, "the first job wasn't done")
	}
	time.Sleep(2 * time.Second)

	j := newJob("/lots1/", 1)
	item := j.items[0]
	model.mutex.Lock()
	model.failures[item] = attemptsOfRoute - 1
	model.surplusOf = ""
	if trouble {
		model.surplusOf = item
	}
	model.firstAfter = 600 * time.Millisecond
	model.mutex.Unlock()
	if !j.submit(r, router, 5*time.Second) {
		notRun(r, "the job wasn't taken")
	}
	if !awaitDone(s, router, j, 20*time.Second) {
		notRun(r, "the job has no result")
	}
	time.Sleep(2 * time.Second)
	_, results, _ := j.read(router)
	failed, whole := 0, 0
	for _, each := range model.runsOf(item) {
		switch each.status {
		case 500:
			failed++
		case 200:
			whole++
		}
	}
	r.add("client     item %s is %s; the server answered 500 to %d of its runs and 200 to %d; attempts is %d", item, results[0].State, failed, whole, attemptsOfRoute)
	if results[0].State == "dead" && failed < attemptsOfRoute {
		r.add("BROKEN     item %s is dead after %d runs that were answered 500", item, failed)
		return false
	}
	if results[0].State == "done" && results[0].Message != model.wholeText(item) {
		r.add("BROKEN     item %s is done with another text", item)
		return false
	}
	return true
}

// attemptsOfRoute is that of the batch route in the users' site files.
const attemptsOfRoute = 3
