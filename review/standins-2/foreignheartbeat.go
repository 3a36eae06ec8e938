package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	draftHost    = "draft.example"
	draftEvents  = 12
	draftPause   = 50 * time.Millisecond
	draftClients = 26
	draftServers = 6
	// foreignSequence is the count of the other writer, which is its own.
	foreignSequence = 100
)

// draftConfiguration has a streaming route that can't be resumed.
const draftConfiguration = `{"version":5,"routes":[{"name":"draft","host":"draft.example","path_prefix":"/draft/","kind":"streaming",
"timeout_ms":8000,"goal_ms":300,"priority":0,"service":"app","attempts":1,"sticky":true,"resumable":false,"gap_goal_ms":500}],
"services":[{"name":"app","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// playForeignHeartbeat takes a server out of the site as planned. Before that, another writer has sent a heartbeat
// with missing fields under its identifier.
func playForeignHeartbeat(s *site, trouble bool) int {
	r := s.record
	var drainedAt atomic.Int64
	var late atomic.Int64
	var lateRequests sync.Map
	var leaving *server
	servers, err := startServers(s, draftServers, "app", func(v *server, writer http.ResponseWriter, request *http.Request, _ []byte) {
		id := request.Header.Get("Request-Id")
		if at := drainedAt.Load(); v == leaving && at != 0 {
			after := time.Since(time.Unix(0, at))
			r.line("%s reaches %s %d ms after its drain was acknowledged", id, v.id, after.Milliseconds())
			if after > drainMs*time.Millisecond {
				late.Add(1)
				lateRequests.Store(id, true)
			}
		}
		writer.Header().Set("Content-Type", "text/event-stream")
		for event := 1; event <= draftEvents; event++ {
			if _, err := fmt.Fprintf(writer, "id: %d\ndata: word %d\n\n", event, event); err != nil {
				return
			}
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(draftPause)
		}
	})
	defer crashAll(servers)
	if err != nil || s.configure(draftConfiguration) != nil || s.awaitReady() != nil {
		return cannotRun
	}
	leaving = servers[0]
	var number atomic.Int64
	draft := func() namedAnswer {
		count := number.Add(1)
		id := fmt.Sprintf("draft-%d", count)
		got := call(http.MethodPost, s.routers[int(count)%len(s.routers)].listen, "/draft/1", draftHost,
			map[string]string{"Request-Id": id, "Deadline-Ms": "8000", "Model": "m", "Token-Usage": "100,24"}, []byte("text"), 8*time.Second)
		return namedAnswer{got, id}
	}
	if until(20*time.Second, func() bool { got := draft(); return got.err == nil && got.status == http.StatusOK }) != nil {
		return cannotRun
	}
	time.Sleep(2 * heartbeat)
	if trouble {
		message, _ := json.Marshal(map[string]any{"service": "app", "addr": leaving.listener.Addr().String(), "slots": 6, "state": "ready", "seq": foreignSequence})
		got := call(http.MethodPost, s.coordinators[0].internal, "/rockwind/Instances.Heartbeat/"+leaving.id, "control", nil, message, time.Second)
		r.line("another writer's heartbeat for %s, %s: answered %d", leaving.id, message, got.status)
		time.Sleep(2 * heartbeat)
	}
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	var cut atomic.Int64
	for range draftClients {
		clients.Go(func() {
			for {
				select {
				case <-stopped:
					return
				default:
				}
				got := draft()
				_, wasLate := lateRequests.Load(got.id)
				if got.err != nil || got.status != http.StatusOK {
					r.line("%s ended with status %d, %d bytes, %v; sent to the leaving server too late: %t", got.id, got.status, len(got.body), got.err, wasLate)
					if wasLate {
						cut.Add(1)
					}
				}
			}
		})
	}
	time.Sleep(time.Second)
	left := leaving.leave(func() {
		drainedAt.Store(time.Now().UnixNano())
		r.line("the drain of %s is acknowledged", leaving.id)
	})
	r.line("%s has ended", leaving.id)
	close(stopped)
	clients.Wait()
	if !left {
		return cannotRun
	}
	r.line("%d requests reached %s later than %d ms after its drain was acknowledged; %d of them were cut at its end", late.Load(), leaving.id, drainMs, cut.Load())
	if late.Load() > 0 {
		return broken
	}
	return held
}
