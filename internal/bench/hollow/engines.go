package hollow

import (
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/wire"
)

// EnginesCommand is `rockwind-bench hollow engines`.
type EnginesCommand struct {
	Count   int      `help:"How many hollow engines run in this process." default:"100"`
	Hosts   []string `help:"Loopback IP numbers to listen on, one engine after another." default:"127.0.0.1"`
	Loaded  []string `help:"What each engine reports as loaded, model@version."`
	Control string   `help:"Address of this process's own report page." default:"127.0.0.1:0"`
}

// engineHost is a process that answers load reports for many hollow engines.
type engineHost struct {
	loaded    []string
	sequence  atomic.Int64
	counter   wire.Counter
	addresses []string
}

// loadReport is the body of GET /load, as an idle engine gives it.
type loadReport struct {
	Sequence       int64    `json:"sequence"`
	AtMs           int64    `json:"at_ms"`
	RunningOnline  int      `json:"running_online"`
	RunningBatch   int      `json:"running_batch"`
	Waiting        int      `json:"waiting"`
	KVUsedPermille int      `json:"kv_used_permille"`
	StepUs         int      `json:"step_us"`
	Loaded         []string `json:"loaded"`
	Role           string   `json:"role"`
	Draining       bool     `json:"draining"`
}

// reportedStep is the step time that a hollow engine reports.
const reportedStep = 12_000

func (e *engineHost) load(writer http.ResponseWriter, _ *http.Request) {
	sequence := e.sequence.Add(1)
	report := loadReport{
		Sequence: sequence, AtMs: time.Now().UnixMilli(), StepUs: reportedStep,
		// The load moves, so that digests change as they do in use.
		RunningOnline: int(sequence % 16), Loaded: e.loaded, Role: "mixed",
	}
	writer.Header().Set("Content-Type", "application/json")
	// A caller that went away is no fault of this process.
	_ = json.NewEncoder(writer).Encode(report)
}

// EngineReport is what the report page of a process of hollow engines says.
type EngineReport struct {
	Addresses []string `json:"addresses"`
	// SentBytes and ReceivedBytes are all traffic of load reports, on the wire.
	SentBytes     int64 `json:"sent_bytes"`
	ReceivedBytes int64 `json:"received_bytes"`
}

// Run implements the command. It ends with the process.
func (c *EnginesCommand) Run() error {
	host := &engineHost{loaded: c.Loaded}
	handler := http.NewServeMux()
	handler.HandleFunc("GET /load", host.load)
	handler.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	handler.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
	handler.HandleFunc("GET /cache_events", func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusNotFound)
	})
	server := &http.Server{Handler: handler}
	for number := range c.Count {
		listener, err := net.Listen("tcp", net.JoinHostPort(c.Hosts[number%len(c.Hosts)], "0"))
		if err != nil {
			return errors.Wrapf(err, "listen for hollow engine %d", number)
		}
		host.addresses = append(host.addresses, listener.Addr().String())
		go func() { _ = server.Serve(host.counter.Listener(listener)) }()
	}
	return serveReport(c.Control, func() any {
		return EngineReport{
			Addresses: host.addresses, SentBytes: host.counter.Sent(), ReceivedBytes: host.counter.Received(),
		}
	}, nil)
}
