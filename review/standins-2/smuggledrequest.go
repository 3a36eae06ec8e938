package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	batchHost = "batch.example"
	keyAlpha  = "key-of-alpha"
	jobID     = "job-1"
	// jobWait is how long the job is watched. Its items take milliseconds.
	jobWait = 8 * time.Second
)

// tenantConfiguration has a batch route and two tenants.
const tenantConfiguration = `{"version":5,"routes":[{"name":"batch","host":"batch.example","path_prefix":"/batch/","kind":"batch",
"timeout_ms":25000,"goal_ms":400,"priority":2,"service":"app","attempts":3,"due_ms":20000,"max_wait_s":60}],
"services":[{"name":"app","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],
"tenants":[{"name":"alpha","api_keys":["key-of-alpha"]},{"name":"beta","api_keys":["key-of-beta"]}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// jobItem is an item of a batch job.
type jobItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// serverRun is a request that a server ran.
type serverRun struct{ id, method, path, tenant, body string }

// playSmuggledRequest hands in a batch job of tenant alpha, whose items hold a second request.
func playSmuggledRequest(s *site, trouble bool) int {
	r := s.record
	var mutex sync.Mutex
	var runs []serverRun
	servers, err := startServers(s, 3, "app", func(v *server, writer http.ResponseWriter, request *http.Request, body []byte) {
		run := serverRun{request.Header.Get("Request-Id"), request.Method, request.URL.Path, request.Header.Get("Tenant"), string(body)}
		r.line("%s runs %+v", v.id, run)
		mutex.Lock()
		runs = append(runs, run)
		mutex.Unlock()
		if len(request.TransferEncoding) > 0 {
			// A request with both a length and an encoding ends its connection (RFC 9112, 6.3).
			writer.Header().Set("Connection", "close")
		}
		writer.Header().Set("Content-Type", "text/event-stream")
		for event := 1; event <= 3; event++ {
			fmt.Fprintf(writer, "id: %d\ndata: part %d\n\n", event, event)
		}
	})
	defer crashAll(servers)
	if err != nil || s.configure(tenantConfiguration) != nil || s.awaitReady() != nil {
		return cannotRun
	}
	time.Sleep(2 * heartbeat)
	const body = "5\r\nhello\r\n0\r\n\r\n"
	items := []jobItem{
		{ID: "item-1", Path: "/batch/1", Headers: map[string]string{"Model": "m"}, Body: base64.StdEncoding.EncodeToString([]byte(body)), Tokens: 100},
		{ID: "item-2", Path: "/batch/2", Headers: map[string]string{"Model": "m"}, Body: base64.StdEncoding.EncodeToString([]byte(body)), Tokens: 100},
	}
	expected := make(map[serverRun]bool)
	for _, item := range items {
		expected[serverRun{item.ID, http.MethodPost, item.Path, "alpha", body}] = true
	}
	if trouble {
		items[0].Headers["Transfer-Encoding"] = "chunked"
		items[1].Path = "/batch/2 HTTP/1.1\r\nHost: batch.example\r\nRequest-Id: item-2\r\nContent-Length: 0\r\n\r\n" +
			"POST /vault/1 HTTP/1.1\r\nHost: vault.example\r\nRequest-Id: not-sent-by-a-client\r\nTenant: beta\r\nContent-Length: 0\r\n\r\nPOST /batch/2"
	}
	message, _ := json.Marshal(map[string]any{"items": items})
	accepted := until(20*time.Second, func() bool {
		got := call(http.MethodPost, s.routers[0].listen, "/batch/"+jobID, batchHost,
			map[string]string{"Request-Id": jobID, "Content-Type": "application/json", "Deadline-Ms": "4000", "Credential": keyAlpha}, message, 4*time.Second)
		r.line("the job of tenant alpha, %s, was answered %d", message, got.status)
		// A refusal as invalid is an answer to such a job, too.
		return got.err == nil && (got.status == http.StatusAccepted || trouble && got.status == http.StatusBadRequest)
	})
	if accepted != nil {
		return cannotRun
	}
	results := func() int {
		got := call(http.MethodGet, s.routers[0].listen, "/rockwind/lots/"+jobID+"?since_rev=0", batchHost, map[string]string{"Credential": keyAlpha}, nil, 3*time.Second)
		var read struct {
			Results []struct{ ID, State string } `json:"results"`
		}
		_ = json.Unmarshal(got.body, &read)
		return len(read.Results)
	}
	done := until(jobWait, func() bool { return results() == len(items) }) == nil
	time.Sleep(time.Second)
	r.line("all items listed: %t", done)
	if !trouble && !done {
		return cannotRun
	}
	mutex.Lock()
	defer mutex.Unlock()
	result := held
	for _, run := range runs {
		if !expected[run] {
			r.line("UNASKED: no client sent %+v", run)
			result = broken
		}
	}
	return result
}
