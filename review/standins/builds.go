package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stream is a stream of the client stand-in, over several attempts.
type stream struct {
	path  string
	first string
	last  int
	whole bool
}

// attempt sends the stream's request, from the last event on, and reads until it ends or breaks off.
func (c *stream) attempt(r *record, router *process) (status int) {
	id := newID()
	conn, err := net.DialTimeout("tcp", router.front(), time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Usage: 60,40\r\nPrefix-Hash: 9c2e41:30,%s:30\r\nDeadline-Ms: 8000\r\nContent-Length: 2\r\n", c.path, host, id, id[:8])
	if c.last > 0 {
		fmt.Fprintf(&head, "Last-Event-Id: %d\r\nResumes: %s\r\n", c.last, c.first)
	}
	head.WriteString("\r\nhi")
	if _, err := conn.Write(head.Bytes()); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		r.add("client     %s after event %d at %s: %d", c.path, c.last, router.name, response.StatusCode)
		return response.StatusCode
	}
	r.add("client     %s after event %d at %s: 200, request %s", c.path, c.last, router.name, id)
	lines := bufio.NewScanner(response.Body)
	number := 0
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "id: ")
		if found {
			number, _ = strconv.Atoi(text)
		}
		if lines.Text() != "" || number == 0 {
			continue
		}
		if c.first == "" {
			c.first = id
		}
		c.last = max(c.last, number)
	}
	c.whole = lines.Err() == nil && c.last == streamEvents
	return http.StatusOK
}

// streamEvents is the number of events of a stream.
const streamEvents = 40

// playBuilds lets streams begin at servers of a new version while a front machine is cut off from the
// machines that count. The front machine of the streams is killed, and the clients take them up again at
// the one that is cut off.
func playBuilds(r *record, program string, trouble bool) bool {
	s := newSite(r, program, 1, true)
	cleanup = s.stop
	counted := []string{}
	for n := 1; n <= 3; n++ {
		counted = append(counted, s.add("core-"+string(rune('0'+n)), "coordinator", n).name)
	}
	for n := 1; n <= 3; n++ {
		counted = append(counted, s.add("store-"+string(rune('0'+n)), "store", n).name)
	}
	var fronts []*process
	for n := 1; n <= 6; n++ {
		fronts = append(fronts, s.add("front-"+string(rune('0'+n)), "router", n))
	}
	s.start()
	slow := func(model *server) *server {
		model.mutex.Lock()
		defer model.mutex.Unlock()
		model.events, model.eventEvery, model.slots = streamEvents, 60*time.Millisecond, 12
		return model
	}
	models := []*server{slow(newServer(s, "models", "m1", 0)), slow(newServer(s, "models", "m2", 1))}
	newServer(s, "accounts", "a1", 3)
	o := &operator{record: r, site: s}
	route := map[string]any{"name": "explain", "host": host, "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 8000, "goal_ms": 500, "priority": 0, "service": "models", "attempts": 2, "sticky": true, "resumable": true, "gap_goal_ms": 500}
	if !o.put(1, configurationOf(safeRoute("lookup-1", "/safe1/"), route), 15*time.Second) {
		notRun(r, "no coordinator acknowledged the configuration")
	}
	for _, front := range fronts {
		if !awaitReady(s, front, "/safe1/", 15*time.Second) {
			notRun(r, "a front machine isn't ready")
		}
	}
	time.Sleep(5 * time.Second)

	last := fronts[len(fronts)-1]
	if trouble {
		s.split([]string{last.name}, counted)
	}
	models = append(models, slow(newServerOf(s, "models", "m3", 2, "v1.2")))
	time.Sleep(600 * time.Millisecond)
	var streams []*stream
	var begun sync.WaitGroup
	for n := range 36 {
		each := &stream{path: fmt.Sprintf("/stream/%d", n)}
		streams = append(streams, each)
		begun.Add(1)
		go func() { defer begun.Done(); each.attempt(r, fronts[0]) }()
	}
	time.Sleep(1200 * time.Millisecond)
	s.kill(fronts[0])
	begun.Wait()
	var resumed sync.WaitGroup
	for _, each := range streams {
		if each.last == 0 || each.whole {
			continue
		}
		resumed.Add(1)
		go func() {
			defer resumed.Done()
			if each.attempt(r, last) != http.StatusOK {
				each.attempt(r, fronts[1])
			}
		}()
	}
	resumed.Wait()
	if trouble {
		s.heal()
	}
	mixed := 0
	for _, each := range streams {
		versions := map[string]int{}
		for _, model := range models {
			model.mutex.Lock()
			for _, known := range model.runs {
				if known.path == each.path {
					versions[model.version]++
				}
			}
			model.mutex.Unlock()
		}
		r.add("client     stream %s: %d of %d events, runs by version of the server: %v", each.path, each.last, streamEvents, versions)
		if len(versions) > 1 && each.whole {
			mixed++
		}
	}
	r.add("client     %d streams hold events of two versions", mixed)
	return mixed <= 2
}
