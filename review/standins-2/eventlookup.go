package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

const (
	lookupHost   = "lookup.example"
	lookupEvents = 20
	lookupPause  = 50 * time.Millisecond
	// lookupServers are so many that the crash of one is a share of 0.167.
	lookupServers = 6
	lookupClients = 18
)

// lookupConfiguration has a safe route with two attempts.
const lookupConfiguration = `{"version":5,"routes":[{"name":"lookup","host":"lookup.example","path_prefix":"/lookup/","kind":"safe",
"timeout_ms":5000,"goal_ms":300,"priority":0,"service":"app","attempts":2}],
"services":[{"name":"app","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// lookupEvent is one event of a server's answer to a request.
func lookupEvent(v *server, id string, event int) []byte {
	return fmt.Appendf(nil, "id: %d\ndata: entry %d of %s\n\n", event, event, v.stamp(id))
}

// lookupBody is the whole body of a server's answer to a request.
func lookupBody(v *server, id string) []byte {
	var body []byte
	for event := 1; event <= lookupEvents; event++ {
		body = append(body, lookupEvent(v, id, event)...)
	}
	return body
}

// namedAnswer is the answer to a request.
type namedAnswer struct {
	answer
	id string
}

// playEventLookup reads lookups that are answered as event streams while one of the servers crashes.
func playEventLookup(s *site, trouble bool) int {
	r := s.record
	servers, err := startServers(s, lookupServers, "app", func(v *server, writer http.ResponseWriter, request *http.Request, _ []byte) {
		id := request.Header.Get("Request-Id")
		r.line("%s runs %s", v.id, id)
		writer.Header().Set("Content-Type", "text/event-stream")
		for event := 1; event <= lookupEvents; event++ {
			if _, err := writer.Write(lookupEvent(v, id, event)); err != nil {
				return
			}
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(lookupPause)
		}
		r.line("%s has answered %s", v.id, id)
	})
	defer crashAll(servers)
	if err != nil || s.configure(lookupConfiguration) != nil || s.awaitReady() != nil {
		return cannotRun
	}
	lookup := func(router int, id string) answer {
		return call(http.MethodGet, s.routers[router].listen, "/lookup/entries", lookupHost, map[string]string{"Request-Id": id, "Deadline-Ms": "5000"}, nil, 5*time.Second)
	}
	warm := 0
	if until(20*time.Second, func() bool {
		warm++
		got := lookup(warm%len(s.routers), fmt.Sprintf("warm-%d", warm))
		return got.err == nil && got.status == http.StatusOK
	}) != nil {
		return cannotRun
	}
	time.Sleep(2 * heartbeat)
	answers := make(chan namedAnswer, lookupClients)
	for client := range lookupClients {
		id := fmt.Sprintf("lookup-%d", client+1)
		r.line("sent %s", id)
		go func() { answers <- namedAnswer{lookup(client%len(s.routers), id), id} }()
	}
	time.Sleep(lookupEvents * lookupPause / 2)
	if trouble {
		busiest := servers[0]
		for _, v := range servers {
			if v.running.Load() > busiest.running.Load() {
				busiest = v
			}
		}
		r.line("%s crashes with %d requests", busiest.id, busiest.running.Load())
		busiest.crash()
	}
	result := held
	for range lookupClients {
		if !wholeLookup(r, servers, <-answers) {
			result = broken
		}
	}
	return result
}

// wholeLookup reports whether an answer is no success, or the whole body of the server that signed it.
func wholeLookup(r *record, servers []*server, got namedAnswer) bool {
	if got.err != nil {
		r.line("%s ended without a complete answer: status %d, %d bytes, %v", got.id, got.status, len(got.body), got.err)
		return true
	}
	signature := got.header.Get("Server-Stamp")
	r.line("%s was answered %d, signature %q, %d events", got.id, got.status, signature, bytes.Count(got.body, []byte("\n\n")))
	if got.status != http.StatusOK {
		return true
	}
	for _, v := range servers {
		if signature == v.stamp(got.id) && bytes.Equal(got.body, lookupBody(v, got.id)) {
			return true
		}
	}
	r.line("MIXED: the body of %s is not the server's whole body: %q", got.id, got.body)
	return false
}
