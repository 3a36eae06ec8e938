package hollow

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/wire"
)

// EnginesCommand is `rockwind-bench hollow engines`.
type EnginesCommand struct {
	Count  int      `help:"How many hollow engines run in this process." default:"100"`
	Host   string   `help:"Loopback IP number to listen on." default:"127.0.0.1"`
	Loaded []string `help:"What the engines report as loaded, one entry an engine, in turn: model@version."`
	Report string   `help:"Address of the report page." default:"127.0.0.1:0"`
}

// hollowEngine answers load reports.
type hollowEngine struct {
	loaded   []string
	sequence atomic.Int64
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

// noCacheEvents is the answer of an engine whose cache does not change, because it
// gets no requests.
const noCacheEvents = `{"epoch":1,"first":0,"next":0,"events":[]}`

const (
	// reportedStep is the step time that a hollow engine reports, in microseconds.
	reportedStep = 12_000
	// reportedRunning is the number of loads that its reports run through.
	reportedRunning = 16
)

func (e *hollowEngine) load(writer http.ResponseWriter, _ *http.Request) {
	sequence := e.sequence.Add(1)
	report := loadReport{
		Sequence: sequence, AtMs: time.Now().UnixMilli(), StepUs: reportedStep,
		// The load moves, so that every digest changes in every period.
		RunningOnline: int(sequence % reportedRunning), Loaded: e.loaded, Role: "mixed",
	}
	writer.Header().Set("Content-Type", "application/json")
	// A caller that went away is no fault of this process.
	_ = json.NewEncoder(writer).Encode(report)
}

func (e *hollowEngine) handler() http.Handler {
	handler := http.NewServeMux()
	handler.HandleFunc("GET /load", e.load)
	handler.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	handler.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
	handler.HandleFunc("GET /cache_events", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(writer, noCacheEvents)
	})
	return handler
}

// EnginesReport is what the report page of a process of hollow engines says.
type EnginesReport struct {
	// Addresses are those of the engines, in order.
	Addresses []string `json:"addresses"`
	// Traffic is that of all load reports, on the wire.
	Traffic wire.Traffic `json:"traffic"`
}

// Run implements the command. It ends with the process.
func (c *EnginesCommand) Run() error {
	var counter wire.Counter
	var addresses []string
	for number := range c.Count {
		listener, err := net.Listen("tcp", net.JoinHostPort(c.Host, "0"))
		if err != nil {
			return errors.Wrapf(err, "listen for hollow engine %d", number)
		}
		addresses = append(addresses, listener.Addr().String())
		engine := &hollowEngine{}
		if len(c.Loaded) > 0 {
			engine.loaded = []string{c.Loaded[number%len(c.Loaded)]}
		}
		server := &http.Server{Handler: engine.handler()}
		go func() { _ = server.Serve(counter.Listener(listener)) }()
	}
	return serveReport(c.Report, func() any {
		return EnginesReport{Addresses: addresses, Traffic: counter.Traffic()}
	}, nil)
}
