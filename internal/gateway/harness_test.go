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

// Names and timeout of the fixture.
const (
	testModel   = "writer"
	testService = "bookings"
	testTenant  = "clinic"
	testKey     = "key-of-clinic"
	testZone    = "zone-a"
	testWait    = 20 * time.Second
)

// fixture runs a gateway with stand-in back ends in the process of the test.
type fixture struct {
	t              testing.TB
	control        *memoryControl
	configurations *fixedConfiguration
	gateway        *Gateway
	engines        []*standin.Engine
	service        *standin.Service
	backEnds       []*rockwindpb.BackEnd
	url            string
	// internalURL is the URL of the internal listener.
	internalURL string
	// wrapEngine replaces the HTTP handler of engines if it is not nil.
	wrapEngine func(*standin.Engine) http.Handler
	// callerTLS turns TLS for callers on if it is not nil.
	callerTLS  *rockwindpb.TlsSettings
	httpClient *http.Client
	// stalls replaces the default limits if it is not zero.
	stalls stallLimits
	stop   context.CancelFunc
	ended  chan error
}

// startFixture starts a gateway with the given number of engines and one service.
func startFixture(t testing.TB, engines int, config engine.Config) *fixture {
	t.Helper()
	f := newFixture(t)
	f.start(engines, config)
	return f
}

// newFixture returns a fixture that is not started, so that it can be configured.
func newFixture(t testing.TB) *fixture {
	return &fixture{t: t, control: newMemoryControl(), configurations: newFixedConfiguration(), ended: make(chan error, 1), httpClient: http.DefaultClient}
}

func (f *fixture) start(engines int, config engine.Config) {
	f.t.Helper()
	for index := range engines {
		f.startEngine(index, config)
	}
	f.startService()
	f.configure(f.configuration())
	f.startGateway()
}

func (f *fixture) startEngine(index int, config engine.Config) {
	config.Loaded = []string{testModel + "@v1"}
	standIn, err := standin.NewEngine(standin.EngineOptions{Name: "engine", Config: config, Seed: int64(index), EventPerToken: true})
	must(f.t, err)
	handler := standIn.Handler()
	if f.wrapEngine != nil {
		handler = f.wrapEngine(standIn)
	}
	server := httptest.NewServer(handler)
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		_ = standIn.Close()
	})
	f.engines = append(f.engines, standIn)
	f.backEnds = append(f.backEnds, &rockwindpb.BackEnd{
		Name: "engine-" + string(rune('a'+index)), Kind: rockwindpb.BackEndKind_BACK_END_KIND_ENGINE,
		Address: server.Listener.Addr().String(), Zone: testZone, Serves: []string{testModel}, Accelerators: 1,
	})
}

func (f *fixture) startService() {
	standIn, err := standin.NewService(standin.ServiceOptions{Name: testService, Latency: time.Millisecond, Concurrency: 16})
	must(f.t, err)
	server := httptest.NewServer(standIn.Handler())
	f.t.Cleanup(server.Close)
	f.service = standIn
	f.backEnds = append(f.backEnds, &rockwindpb.BackEnd{
		Name: "service-a", Kind: rockwindpb.BackEndKind_BACK_END_KIND_SERVICE,
		Address: server.Listener.Addr().String(), Zone: testZone, Serves: []string{testService}, Version: "v1",
	})
}

func (f *fixture) configuration() *rockwindpb.Configuration {
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

func (f *fixture) configure(next *rockwindpb.Configuration) {
	index, err := configuration.NewIndex(next)
	must(f.t, err)
	f.configurations.set(index)
}

func (f *fixture) startGateway() {
	folder := f.t.TempDir()
	gatewaySettings := &rockwindpb.GatewaySettings{
		Name: "gateway-a", Zone: testZone, Listen: "127.0.0.1:0", InternalListen: "127.0.0.1:0", DataFolder: folder,
		ExchangeInterval: durationpb.New(100 * time.Millisecond), BatchConcurrency: 64,
	}
	ring := logring.New(64, io.Discard)
	logger := &log.Logger{Handler: ring, Level: log.InfoLevel}
	gatewaySettings.CallerTls = f.callerTLS
	opened, err := openCertificates(gatewaySettings, logger)
	must(f.t, err)
	f.gateway = assemble(gatewaySettings, ring, logger, f.configurations, f.control, upstream.NewClient())
	f.gateway.useCertificates(opened)
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
	f.internalURL = "http://" + f.awaitFile(filepath.Join(folder, settings.InternalAddressFile))
}

// awaitFile waits until the file exists and returns its content.
func (f *fixture) awaitFile(path string) string {
	var content []byte
	f.await("the file "+path, func() bool {
		var err error
		content, err = os.ReadFile(path)
		return err == nil
	})
	return string(content)
}

// await polls until the condition is met, and fails the test after testWait.
func (f *fixture) await(what string, met func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(testWait)
	for !met() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *fixture) client(options ...option.RequestOption) openai.Client {
	all := append([]option.RequestOption{
		option.WithBaseURL(f.url + "/v1/"), option.WithAPIKey(testKey), option.WithMaxRetries(0), option.WithHTTPClient(f.httpClient),
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
