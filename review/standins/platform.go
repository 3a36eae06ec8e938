package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// operator sends configurations as the platform's operator does.
type operator struct {
	record *record
	site   *site
	// firstTried names the coordinator that is tried first, empty for any.
	firstTried string
}

// put sends a configuration to one coordinator after the other until one acknowledges it.
func (o *operator) put(version int, configuration map[string]any, patience time.Duration) bool {
	configuration["version"] = version
	body, _ := json.Marshal(configuration)
	until := time.Now().Add(patience)
	o.record.add("operator   Config.Put version %d", version)
	for time.Now().Before(until) {
		addresses := o.site.control()
		if first := o.site.byName(o.firstTried); first != nil {
			addresses = append([]string{first.internal()}, addresses...)
		}
		for _, address := range addresses {
			status, answer := call("POST", "http://"+address+"/rockwind/Config.Put", body, nil, time.Second)
			if status == http.StatusOK {
				o.record.add("operator   version %d acknowledged by %s", version, address)
				return true
			}
			if status >= 400 && status < 500 {
				o.record.add("operator   version %d refused by %s: %d %s", version, address, status, answer)
				return false
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// call makes one HTTP call on a connection of its own and returns the status, 0 if there is none.
func call(method, url string, body []byte, headers map[string]string, timeout time.Duration) (int, string) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	for name, value := range headers {
		if name == "Host" {
			request.Host = value
			continue
		}
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(content)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// run is one run of a request at a server.
type run struct {
	id, path, server string
	lastEvent        string
	began            time.Time
	status           int
	finished         bool
}

// server is a stand-in of a model server or an application server.
type server struct {
	record                  *record
	site                    *site
	service, id, zone, addr string
	version                 string
	slots, events           int
	eventEvery, firstAfter  time.Duration
	listener                net.Listener
	mutex                   sync.Mutex
	runs                    []*run
	// failures is how often an item is answered 500 before it is done, by the end of its path.
	failures map[string]int
	failed   map[string]int
	// surplusOf names a request whose first failure is answered once more, late: where the next answer
	// is expected.
	surplusOf string
	stopped   chan struct{}
}

func newServer(s *site, service, name string, number int) *server {
	return newServerOf(s, service, name, number, "v1")
}

// newServerOf starts a server of a software version.
func newServerOf(s *site, service, name string, number int, version string) *server {
	created := &server{
		version: version,
		record:  s.record, site: s, service: service, id: "i-" + name + "-" + newID()[:6], zone: s.zones[number%len(s.zones)],
		addr: fmt.Sprintf("%s.%d:%d", s.network, 100+number, portServer), slots: 8, events: 10, eventEvery: 20 * time.Millisecond,
		failures: map[string]int{}, failed: map[string]int{}, stopped: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", created.addr)
	if err != nil {
		notRun(s.record, "server: %v", err)
	}
	created.listener = listener
	go created.accept()
	go created.heartbeats()
	return created
}

func (v *server) stop() { close(v.stopped); v.listener.Close() }

// heartbeats registers the server as the platform's pages say.
func (v *server) heartbeats() {
	seq := 0
	for {
		seq++
		body, _ := json.Marshal(map[string]any{
			"service": v.service, "addr": v.addr, "zone": v.zone, "version": v.version, "slots": v.slots, "state": "ready", "cold_left_ms": 0,
			"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "seq": seq,
		})
		for _, offset := range rand.Perm(len(v.site.control())) {
			address := v.site.control()[offset]
			status, _ := call("POST", "http://"+address+"/rockwind/Instances.Heartbeat/"+v.id, body, nil, time.Second)
			if status/100 == 2 {
				break
			}
		}
		select {
		case <-time.After(1200 * time.Millisecond):
		case <-v.stopped:
			return
		}
	}
}

func (v *server) accept() {
	for {
		conn, err := v.listener.Accept()
		if err != nil {
			return
		}
		go v.serve(conn)
	}
}

// serve answers the requests of a connection one after the other.
func (v *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != "" {
			// The surplus answer arrives where the next answer is expected.
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			v.record.add("server     %s sends its answer to an earlier request once more (surplus, late)", v.id)
			late = ""
		}
		again, ok := v.answer(conn, reader, request, body)
		if !ok {
			return
		}
		late = again
	}
}

func (v *server) load() string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	running := 0
	for _, each := range v.runs {
		if !each.finished {
			running++
		}
	}
	return fmt.Sprintf("%d,0,%d", running, v.slots)
}

// answer answers one request. It returns an answer to send once more, empty if there is none.
func (v *server) answer(conn net.Conn, reader *bufio.Reader, request *http.Request, body []byte) (again string, ok bool) {
	id := request.Header.Get("Request-Id")
	plain := func(status int, headers, content string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nServer-Load: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, v.load(), headers, len(content), content)
	}
	send := func(text string) bool { _, err := io.WriteString(conn, text); return err == nil }
	switch {
	case request.URL.Path == "/healthz":
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != v.id {
			return "", send(plain(http.StatusMisdirectedRequest, "Instance-Id: "+v.id+"\r\nNot-Run: 1\r\n", ""))
		}
		return "", send(plain(http.StatusOK, "Instance-Id: "+v.id+"\r\n", ""))
	case request.URL.Path == "/rockwind/report":
		report := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"inflight":%s,"kv_used":0,"kv_total":147261,"handles":0}`, strings.Split(v.load(), ",")[0])
		return "", send(plain(http.StatusOK, "Content-Type: application/json\r\n", report))
	case id == "":
		return "", send(plain(http.StatusBadRequest, "Not-Run: 1\r\n", ""))
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != v.id {
		v.record.add("server     %s answers 421 to %s", v.id, id)
		return "", send(plain(http.StatusMisdirectedRequest, "Instance-Id: "+v.id+"\r\nNot-Run: 1\r\n", ""))
	}
	this := &run{id: id, path: request.URL.Path, server: v.id, lastEvent: request.Header.Get("Last-Event-Id"), began: time.Now()}
	v.mutex.Lock()
	v.runs = append(v.runs, this)
	fails := v.failed[id] < v.failures[id]
	if fails {
		v.failed[id]++
	}
	surplus := v.surplusOf == id && v.failed[id] == 1 && fails
	firstAfter := v.firstAfter
	v.mutex.Unlock()
	defer func() { v.mutex.Lock(); this.finished = true; v.mutex.Unlock() }()
	v.record.add("server     %s runs %s %s, Last-Event-Id %q", v.id, id, request.URL.Path, this.lastEvent)
	stamp := "Server-Stamp: " + v.id + "." + id + "\r\nWeight-Versions: 1\r\n"
	time.Sleep(firstAfter)
	if fails {
		text := plain(http.StatusInternalServerError, stamp, "failed")
		this.status = http.StatusInternalServerError
		v.record.add("server     %s answers 500 to %s", v.id, id)
		if !send(text) {
			return "", false
		}
		if surplus {
			return text, true
		}
		return "", true
	}
	if strings.HasPrefix(request.URL.Path, "/safe") {
		this.status = http.StatusOK
		return "", send(plain(http.StatusOK, stamp, "ok "+id))
	}
	after, _ := strconv.Atoi(this.lastEvent)
	if !send(fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Load: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, v.load(), stamp)) {
		return "", false
	}
	for n := after + 1; n <= v.events; n++ {
		time.Sleep(v.eventEvery)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventText(id, n))
		if !send(fmt.Sprintf("%x\r\n%s\r\n", len(event), event)) {
			v.record.add("server     %s: the caller of %s is gone after event %d", v.id, id, n-1)
			return "", false
		}
	}
	this.status = http.StatusOK
	v.record.add("server     %s has answered %s whole (200)", v.id, id)
	return "", send("0\r\n\r\n")
}

func eventText(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// wholeText is the text of an item that is done.
func (v *server) wholeText(id string) string {
	var parts []string
	for n := 1; n <= v.events; n++ {
		parts = append(parts, eventText(id, n))
	}
	return strings.Join(parts, "\n")
}

func (v *server) runsOf(id string) []run {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var found []run
	for _, each := range v.runs {
		if each.id == id {
			found = append(found, *each)
		}
	}
	return found
}

// job is a batch job of the client stand-in.
type job struct {
	id    string
	path  string
	items []string
	body  []byte
	sent  time.Time
	taken time.Time
}

func newJob(path string, count int) *job {
	j := &job{id: newID(), path: path}
	var items []any
	for n := range count {
		id := newID()
		j.items = append(j.items, id)
		items = append(items, map[string]any{
			"id": id, "path": fmt.Sprintf("%s%s/%d", path, j.id[:6], n), "body": []byte("prompt of " + id), "tokens": 100,
			"headers": map[string]string{"Model": "m", "Token-Usage": "60,40", "Prefix-Hash": "9c2e41:30," + id[:8] + ":30"},
		})
	}
	j.body, _ = json.Marshal(map[string]any{"items": items})
	return j
}

// submit hands a job in at a router until it is taken; other answers than 429 and 5xx end it.
func (j *job) submit(r *record, router *process, patience time.Duration) bool {
	j.sent = time.Now()
	until := j.sent.Add(patience)
	for time.Now().Before(until) {
		status, answer := call("POST", "http://"+router.front()+j.path+j.id[:6], j.body, map[string]string{"Host": host, "Request-Id": j.id, "Deadline-Ms": "4000"}, 4*time.Second)
		r.add("client     job %s (%d items) at %s: %d %s", j.id, len(j.items), j.path, status, short(answer))
		if status == http.StatusAccepted {
			j.taken = time.Now()
			return true
		}
		if status != 0 && status != http.StatusTooManyRequests && status < 500 {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// result is one result of a job.
type result struct{ ID, State, Message string }

// read reads all results of a job.
func (j *job) read(router *process) (total int, results []result, status int) {
	for {
		var answer string
		status, answer = call("GET", fmt.Sprintf("http://%s/rockwind/lots/%s?since_rev=%d", router.front(), j.id, len(results)), nil, map[string]string{"Host": host}, 3*time.Second)
		if status != http.StatusOK {
			return total, results, status
		}
		page := struct {
			Total   int
			Results []result
		}{}
		if json.Unmarshal([]byte(answer), &page) != nil {
			return total, results, 0
		}
		total = page.Total
		if len(page.Results) == 0 {
			return total, results, status
		}
		results = append(results, page.Results...)
	}
}

func short(text string) string {
	text = strings.ReplaceAll(text, "\n", " ")
	if len(text) > 160 {
		return text[:160]
	}
	return text
}

const host = "review.example"

// engine is the part of a service that the pages give for model servers.
var engine = map[string]any{"slots": 8, "kv_capacity": 147261, "kv_token_bytes": 327680, "link_mbps": 740000.0, "backups": true, "stride": 10, "max_queued_tokens": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}

func batchRoute(name, prefix string, attempts int) map[string]any {
	return map[string]any{"name": name, "host": host, "path_prefix": prefix, "kind": "batch", "goal_ms": 400, "due_ms": 20000, "max_wait_s": 60, "priority": 2, "service": "models", "attempts": attempts, "sticky": true, "resumable": true, "gap_goal_ms": 500, "timeout_ms": 25000}
}

func safeRoute(name, prefix string) map[string]any {
	return map[string]any{"name": name, "host": host, "path_prefix": prefix, "kind": "safe", "timeout_ms": 1500, "goal_ms": 100, "priority": 2, "service": "accounts", "attempts": 2}
}

func configurationOf(routes ...map[string]any) map[string]any {
	return map[string]any{
		"routes": routes,
		"services": []any{
			map[string]any{"name": "models", "health_path": "/healthz", "max_conns": 200, "protocol": "h1", "tls": false, "engine": engine},
			map[string]any{"name": "accounts", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// awaitReady waits until a router is ready and serves a safe path.
func awaitReady(s *site, router *process, path string, patience time.Duration) bool {
	until := time.Now().Add(patience)
	for time.Now().Before(until) {
		if status, _ := call("GET", "http://"+router.ready()+"/rockwind/readyz", nil, nil, time.Second); status == http.StatusOK {
			if served(router, path) {
				s.record.add("client     %s is served by %s", path, router.name)
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// served sends one request to a safe route.
func served(router *process, path string) bool {
	status, _ := call("GET", "http://"+router.front()+path+"x", nil, map[string]string{"Host": host, "Request-Id": newID(), "Deadline-Ms": "1500"}, 2*time.Second)
	return status == http.StatusOK
}
