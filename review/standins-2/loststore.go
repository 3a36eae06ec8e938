package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	clueHost = "clue.example"
	clueJobs = 12
	// awayTime is how long a killed store is away, and catchUp how long the site has until the next loss.
	awayTime = 2800 * time.Millisecond
	catchUp  = 4900 * time.Millisecond
	// successorTime is the time until an empty store comes for one that is gone.
	successorTime = 2 * time.Second
	// recovery is how long the site has after the last loss until its jobs are read.
	recovery = 12 * time.Second
	// readTime is how long the jobs are tried to be read.
	readTime = 12 * time.Second
)

// clueConfiguration has a batch route.
const clueConfiguration = `{"version":5,"routes":[{"name":"clue","host":"clue.example","path_prefix":"/clue/","kind":"batch",
"timeout_ms":25000,"goal_ms":400,"priority":2,"service":"app","attempts":3,"due_ms":20000,"max_wait_s":60}],
"services":[{"name":"app","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// clueResults reads the results of a job. It returns -1 if the job can't be read.
func clueResults(s *site, router int, id string) (count, status int) {
	got := call(http.MethodGet, s.routers[router%len(s.routers)].listen, "/rockwind/lots/"+id+"?since_rev=0", clueHost, nil, nil, 3*time.Second)
	var read struct {
		Results []json.RawMessage `json:"results"`
	}
	if got.err != nil || got.status != http.StatusOK || json.Unmarshal(got.body, &read) != nil {
		return -1, got.status
	}
	return len(read.Results), got.status
}

// playLostStore lets stores lose and regain their places, and then loses two of them for good, one after the other.
func playLostStore(s *site, trouble bool) int {
	r := s.record
	servers, err := startServers(s, 3, "app", func(_ *server, writer http.ResponseWriter, _ *http.Request, _ []byte) {
		writer.Header().Set("Content-Type", "text/event-stream")
		for event := 1; event <= 3; event++ {
			fmt.Fprintf(writer, "id: %d\ndata: clue %d\n\n", event, event)
		}
	})
	defer crashAll(servers)
	if err != nil || s.configure(clueConfiguration) != nil || s.awaitReady() != nil {
		return cannotRun
	}
	time.Sleep(2 * heartbeat)
	var jobs []string
	for index := range clueJobs {
		id := fmt.Sprintf("job-%d", index+1)
		message, _ := json.Marshal(map[string]any{"items": []map[string]any{{
			"id": id + "-item", "path": "/clue/1", "headers": map[string]string{"Model": "m"}, "body": base64.StdEncoding.EncodeToString([]byte(id)), "tokens": 100,
		}}})
		if until(10*time.Second, func() bool {
			got := call(http.MethodPost, s.routers[index%len(s.routers)].listen, "/clue/"+id, clueHost,
				map[string]string{"Request-Id": id, "Content-Type": "application/json", "Deadline-Ms": "4000"}, message, 4*time.Second)
			r.line("%s is answered %d", id, got.status)
			return got.err == nil && got.status == http.StatusAccepted
		}) != nil {
			return cannotRun
		}
		jobs = append(jobs, id)
	}
	for index, id := range jobs {
		if until(10*time.Second, func() bool { count, _ := clueResults(s, index, id); return count == 1 }) != nil {
			return cannotRun
		}
		r.line("%s has 1 result, which is read", id)
	}
	if _, err := s.addStore(); err != nil {
		return cannotRun
	}
	r.line("store-4 is added")
	time.Sleep(catchUp)
	if trouble {
		// Each store is away twice, since the time is sometimes too short for the spare one to take its place. One that
		// has lost its place is a spare the second time.
		for _, away := range []*process{s.stores[1], s.stores[1], s.stores[2], s.stores[2]} {
			away.kill()
			r.line("%s is killed", away.name)
			time.Sleep(awayTime)
			if s.run(away) != nil {
				return cannotRun
			}
			r.line("%s starts again with its disk", away.name)
			time.Sleep(catchUp)
		}
		for _, gone := range []*process{s.stores[1], s.stores[0]} {
			gone.kill()
			r.line("%s is gone for good", gone.name)
			time.Sleep(successorTime)
			successor, err := s.addStore()
			if err != nil {
				return cannotRun
			}
			r.line("%s comes with an empty disk", successor.name)
			time.Sleep(2 * catchUp)
		}
	}
	time.Sleep(recovery - 2*catchUp)
	var lost atomic.Int64
	var readers sync.WaitGroup
	deadline := time.Now().Add(readTime)
	for index, id := range jobs {
		readers.Go(func() {
			count, status := clueResults(s, index, id)
			for try := 1; count < 1 && time.Now().Before(deadline); try++ {
				time.Sleep(200 * time.Millisecond)
				count, status = clueResults(s, index+try, id)
			}
			r.line("%s is read: status %d, %d results", id, status, max(0, count))
			if count < 1 {
				lost.Add(1)
			}
		})
	}
	readers.Wait()
	if lost.Load() > 0 {
		r.line("LOST: %d of %d jobs, whose results had been read, can't be read", lost.Load(), len(jobs))
		return broken
	}
	return held
}
