package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of one of the platform's servers: it registers itself, refuses requests for other incarnations
// and hands the others to serve.
type server struct {
	id, service, zone string
	slots             int
	site              *site
	listener          net.Listener
	http              *http.Server
	serve             func(*server, http.ResponseWriter, *http.Request, []byte)
	state             atomic.Value
	sequence          atomic.Int64
	stopped           chan struct{}
	stopOnce          sync.Once
	running           atomic.Int64
	// born is the start of the server in Unix milliseconds.
	born int64
}

func startServer(s *site, id, service, zone string, slots int, serve func(*server, http.ResponseWriter, *http.Request, []byte)) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &server{id: id, service: service, zone: zone, slots: slots, site: s, listener: listener, serve: serve, stopped: make(chan struct{}), born: time.Now().UnixMilli()}
	v.state.Store("ready")
	v.http = &http.Server{Handler: http.HandlerFunc(v.handle)}
	go func() { _ = v.http.Serve(listener) }()
	go v.report()
	return v, nil
}

// stamp is the signature of the server under its answer to a request.
func (v *server) stamp(id string) string { return v.id + "." + id }

func (v *server) handle(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	if request.Method == http.MethodGet && request.URL.Path == "/healthz" {
		header.Set("Instance-Id", v.id)
		return
	}
	if request.URL.Path == "/rockwind/report" {
		header.Set("Content-Type", "application/json")
		fmt.Fprintf(writer, `{"stage":"both","models":[],"busy":false,"seq":1,"queued":0,"inflight":%d,"kv_used":0,"kv_total":90000,"handles":0}`, v.running.Load())
		return
	}
	id := request.Header.Get("Request-Id")
	header.Set("Request-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != v.id {
		header.Set("Not-Run", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		header.Set("Not-Run", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if v.running.Add(1) > int64(v.slots) {
		v.running.Add(-1)
		header.Set("Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer v.running.Add(-1)
	header.Set("Server-Stamp", v.stamp(id))
	v.serve(v, writer, request, body)
}

// report sends a heartbeat at each interval until the server ends.
func (v *server) report() {
	for {
		v.beat()
		select {
		case <-v.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// beat sends one heartbeat to the coordinators in turn until one acknowledges it.
func (v *server) beat() bool {
	message, _ := json.Marshal(map[string]any{
		"service": v.service, "addr": v.listener.Addr().String(), "zone": v.zone, "version": "v1", "slots": v.slots,
		"state": v.state.Load(), "cold_left_ms": 0, "seq": v.sequence.Add(1), "born": v.born,
	})
	for offset := range v.site.coordinators {
		c := v.site.coordinators[(int(v.sequence.Load())+offset)%len(v.site.coordinators)]
		got := call(http.MethodPost, c.internal, "/rockwind/Instances.Heartbeat/"+v.id, "control", nil, message, time.Second)
		if got.err == nil && got.status == http.StatusOK {
			return true
		}
	}
	return false
}

// startServers starts servers of a service, spread over three zones.
func startServers(s *site, count int, service string, serve func(*server, http.ResponseWriter, *http.Request, []byte)) ([]*server, error) {
	var servers []*server
	for index := range count {
		v, err := startServer(s, fmt.Sprintf("i-%d", index+1), service, fmt.Sprintf("zone-%d", index%3+1), 6, serve)
		if err != nil {
			return servers, err
		}
		servers = append(servers, v)
	}
	return servers, nil
}

// crashAll ends all servers at the end of a case.
func crashAll(servers []*server) {
	for _, v := range servers {
		v.crash()
	}
}

// leave takes the server out of the site as at a planned end: it reports that it drains, serves on for longer than
// the site needs to notice, deregisters and ends. It calls drained at the acknowledgement.
func (v *server) leave(drained func()) bool {
	v.state.Store("draining")
	if !v.beat() {
		return false
	}
	drained()
	time.Sleep(drainMs*time.Millisecond + drainMargin)
	message, _ := json.Marshal(map[string]any{"born": v.born})
	for _, c := range v.site.coordinators {
		got := call(http.MethodPost, c.internal, "/rockwind/Instances.Deregister/"+v.id, "control", nil, message, time.Second)
		if got.err == nil && got.status == http.StatusOK {
			break
		}
	}
	v.crash()
	return true
}

// drainMargin is how much longer than the bound a leaving server serves.
const drainMargin = time.Second

// crash ends the server as a killed process does: its port is closed and its connections break.
func (v *server) crash() {
	v.stopOnce.Do(func() {
		close(v.stopped)
		_ = v.http.Close()
	})
}
