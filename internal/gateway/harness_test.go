package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"google.golang.org/protobuf/types/known/durationpb"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/settings"
	"rockwind.example/rockwind/internal/standin"
	"rockwind.example/rockwind/internal/upstream"
)

// Names of the test fleet.
const (
	testModel   = "writer"
	testService = "bookings"
	testTenant  = "clinic"
	testKey     = "key-of-clinic"
	testZone    = "zone-a"
	testWait    = 20 * time.Second
)

// fleet is a gateway over stand-ins, in one process on loopback.
type fleet struct {
	t        testing.TB
	control  *memoryControl
	source   *fixedConfiguration
	gateway  *Gateway
	engines  []*standin.Engine
	service  *standin.Service
	backEnds []*rockwindpb.BackEnd
	url      string
	// probes is the internal listener.
	probes string
	// wrapEngine, where it is set, makes the handler of an engine.
	wrapEngine func(*standin.Engine) http.Handler
	// callerTLS is nil where callers talk in the clear; http is the callers'
	// client.
	callerTLS *rockwindpb.TlsSettings
	http      *http.Client
	// stalls are the default ones where they are zero.
	stalls stallLimits
	stop   context.CancelFunc
	ended  chan error
}

// startFleet starts a gateway over so many engines and one service.
func startFleet(t testing.TB, engines int, config engine.Config) *fleet {
	t.Helper()
	f := newFleet(t)
	f.start(engines, config)
	return f
}

// newFleet is a fleet that is not started yet.
func newFleet(t testing.TB) *fleet {
	return &fleet{t: t, control: newMemoryControl(), source: newFixedConfiguration(), ended: make(chan error, 1), http: http.DefaultClient}
}

func (f *fleet) start(engines int, config engine.Config) {
	f.t.Helper()
	for number := range engines {
		f.startEngine(number, config)
	}
	f.startService()
	f.configure(f.configuration())
	f.startGateway()
}

func (f *fleet) startEngine(number int, config engine.Config) {
	config.Loaded = []string{testModel + "@v1"}
	stand, err := standin.NewEngine(standin.EngineOptions{Name: "engine", Config: config, Seed: int64(number), EventPerToken: true})
	must(f.t, err)
	handler := stand.Handler()
	if f.wrapEngine != nil {
		handler = f.wrapEngine(stand)
	}
	server := httptest.NewServer(handler)
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		_ = stand.Close()
	})
	f.engines = append(f.engines, stand)
	f.backEnds = append(f.backEnds, &rockwindpb.BackEnd{
		Name: "engine-" + string(rune('a'+number)), Kind: rockwindpb.BackEndKind_BACK_END_KIND_ENGINE,
		Address: server.Listener.Addr().String(), Zone: testZone, Serves: []string{testModel}, Accelerators: 1,
	})
}

func (f *fleet) startService() {
	stand, err := standin.NewService(standin.ServiceOptions{Name: testService, Latency: time.Millisecond, Concurrency: 16})
	must(f.t, err)
	server := httptest.NewServer(stand.Handler())
	f.t.Cleanup(server.Close)
	f.service = stand
	f.backEnds = append(f.backEnds, &rockwindpb.BackEnd{
		Name: "service-a", Kind: rockwindpb.BackEndKind_BACK_END_KIND_SERVICE,
		Address: server.Listener.Addr().String(), Zone: testZone, Serves: []string{testService}, Version: "v1",
	})
}

func (f *fleet) configuration() *rockwindpb.Configuration {
	hash := sha256.Sum256([]byte(testKey))
	version := []*rockwindpb.Version{{Name: "v1", Weight: 1, WeightsId: "w"}}
	return &rockwindpb.Configuration{
		Number: 1,
		Groups: []*rockwindpb.Group{{Name: "south", Share: 1, Objective: rockwindpb.Objective_OBJECTIVE_THROUGHPUT}},
		Tenants: []*rockwindpb.Tenant{{
			Name: testTenant, Group: "south", ApiKeySha256: []string{hex.EncodeToString(hash[:])},
		}},
		Models:       []*rockwindpb.Model{{Name: testModel, Versions: version, ContextTokens: 4096}},
		Services:     []*rockwindpb.Service{{Name: testService, Group: "south", Versions: version, Timeout: durationpb.New(5 * time.Second)}},
		BatchClasses: []*rockwindpb.BatchClass{{Name: "nightly", Tries: 3, Deadline: durationpb.New(time.Hour), Weight: 1}},
		BackEnds:     f.backEnds,
		Policy: &rockwindpb.Policy{
			RetryRatio: 0.5, OnlineStepTarget: durationpb.New(50 * time.Millisecond), OnlineQueueTimeout: durationpb.New(5 * time.Second),
		},
	}
}

func (f *fleet) configure(next *rockwindpb.Configuration) {
	index, err := configuration.NewIndex(next)
	must(f.t, err)
	f.source.set(index)
}

func (f *fleet) startGateway() {
	folder := f.t.TempDir()
	wanted := &rockwindpb.GatewaySettings{
		Name: "gateway-a", Zone: testZone, Listen: "127.0.0.1:0", InternalListen: "127.0.0.1:0", DataFolder: folder,
		ExchangeInterval: durationpb.New(100 * time.Millisecond), BatchConcurrency: 64,
	}
	ring := logring.New(64, io.Discard)
	logger := &log.Logger{Handler: ring, Level: log.InfoLevel}
	wanted.CallerTls = f.callerTLS
	opened, err := openCertificates(wanted, logger)
	must(f.t, err)
	f.gateway = assemble(wanted, ring, logger, f.source, f.control, upstream.NewClient())
	f.gateway.secure(opened)
	if f.stalls != (stallLimits{}) {
		f.gateway.stalls = f.stalls
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.ended <- f.gateway.run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		<-f.ended
	})
	scheme := "http://"
	if f.callerTLS != nil {
		scheme = "https://"
	}
	f.url = scheme + f.awaitFile(filepath.Join(folder, settings.AddressFile))
	f.probes = "http://" + f.awaitFile(filepath.Join(folder, settings.InternalAddressFile))
}

// awaitFile waits until a file is there.
func (f *fleet) awaitFile(path string) string {
	var content []byte
	f.await("the file "+path, func() bool {
		var err error
		content, err = os.ReadFile(path)
		return err == nil
	})
	return string(content)
}

// await waits for a condition that other goroutines bring about.
func (f *fleet) await(what string, met func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(testWait)
	for !met() {
		if time.Now().After(deadline) {
			f.t.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *fleet) client(options ...option.RequestOption) openai.Client {
	all := append([]option.RequestOption{
		option.WithBaseURL(f.url + "/v1/"), option.WithAPIKey(testKey), option.WithMaxRetries(0), option.WithHTTPClient(f.http),
	}, options...)
	return openai.NewClient(all...)
}

func must(t testing.TB, err error) {
	t.Helper()
	if err == nil {
		return
	}
	var typed *openai.Error
	if errors.As(err, &typed) {
		t.Fatalf("%v: %s", err, typed.RawJSON())
	}
	t.Fatal(err)
}
