package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/bench/load"
	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/standin"
)

// fastConfig returns a configuration with short steps and no delays.
func fastConfig() engine.Config {
	config := engine.DefaultConfig().Scale(0.02)
	config.CacheEventLag = 0
	config.CacheEventLoss = 0
	config.ReportLag = 0
	return config
}

func startEngine(t *testing.T, options standin.EngineOptions) (*standin.Engine, string) {
	t.Helper()
	server, err := standin.NewEngine(options)
	if err != nil {
		t.Fatal(err)
	}
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(func() {
		listener.CloseClientConnections()
		listener.Close()
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	})
	return server, listener.Listener.Addr().String()
}

// exchange sends a request, decodes the response body if into is set, and returns
// the response.
func exchange(t *testing.T, method, url, body string, into any) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if into != nil {
		if err := json.Unmarshal(data, into); err != nil {
			t.Fatalf("%s: %v in %q", url, err, data)
		}
	}
	return response
}

// Concurrent requests must get complete responses that match their own prompts.
func TestAnswersAreWholeAndOwn(t *testing.T) {
	config := fastConfig()
	config.MaxSequences = 16
	for _, perToken := range []bool{true, false} {
		_, address := startEngine(t, standin.EngineOptions{Config: config, EventPerToken: perToken})
		client := load.NewClient(100, time.Minute)
		defer client.Close()
		var calls sync.WaitGroup
		for number := range 100 {
			calls.Go(func() {
				call := load.Call{
					Target: address, Model: "m", MaxTokens: number%30 + 1, Stream: number%3 != 0,
					Content: load.Prompt(1, 70, 150, uint64(number)), ID: fmt.Sprint("r", number),
				}
				if measured := client.Do(context.Background(), call, time.Now()); measured.Outcome != load.OutcomeOK {
					t.Errorf("%+v", measured)
				}
			})
		}
		calls.Wait()
		var page standin.JournalPage
		exchange(t, http.MethodGet, address+"/journal", "", &page)
		if len(page.Entries) != 100 {
			t.Fatalf("the journal has %d entries", len(page.Entries))
		}
		var events standin.CacheEvents
		exchange(t, http.MethodGet, address+"/cache_events?since=1", "", &events)
		if len(events.Events) == 0 || events.First != 1 {
			t.Fatalf("cache events %+v", events)
		}
	}
}

const truncatedBody = `{"model":"m","messages":[{"role":"user","content":"a riddle"}],"max_tokens":40,"stream":true}`

// A broken stream must be resumable after the last delivered token, without running
// the request again.
func TestTruncatedStreamIsResumedWithTheMissingTokens(t *testing.T) {
	server, address := startEngine(t, standin.EngineOptions{Config: fastConfig(), EventPerToken: true})
	prompt := engine.UserPrompt("a riddle")
	server.Inject(standin.FaultRequest{Kind: engine.FaultTruncate, Count: 1, Tokens: 7})
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(truncatedBody))
	request.Header.Set(standin.HeaderRequestID, "cut")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	delivered, err := load.ReadStream(response.Body, prompt, 40, nil)
	response.Body.Close()
	if err == nil || delivered < 7 || delivered >= 40 {
		t.Fatalf("%d tokens, error %v", delivered, err)
	}
	resumed, err := http.Post("http://"+address+"/v1/requests/cut/resume", "application/json",
		strings.NewReader(fmt.Sprintf(`{"offset":%d}`, delivered)))
	if err != nil {
		t.Fatal(err)
	}
	defer resumed.Body.Close()
	rest, err := io.ReadAll(resumed.Body)
	if err != nil {
		t.Fatal(err)
	}
	first := fmt.Sprintf(`{"choices":[{"delta":{"content":"%s"}}]}`, engine.ExpectedText(prompt, delivered))
	whole := append([]byte("data: "+first+"\n\n"), rest...)
	if count, err := load.ReadStream(bytes.NewReader(whole), prompt, 40, nil); err != nil || count != 40 {
		t.Fatalf("%d tokens, error %v", count, err)
	}
	var page standin.JournalPage
	exchange(t, http.MethodGet, address+"/journal", "", &page)
	if len(page.Entries) != 1 {
		t.Fatalf("resumed request has %d journal entries, want 1", len(page.Entries))
	}
}

// Refused requests must be marked as not run and must not be journaled.
func TestRefusalsDidNotRun(t *testing.T) {
	config := fastConfig()
	config.Loaded = []string{"m@v1"}
	server, address := startEngine(t, standin.EngineOptions{Config: config})
	other := exchange(t, http.MethodPost, address+"/v1/completions", `{"model":"other","prompt":"p"}`, nil)
	server.Inject(standin.FaultRequest{Kind: engine.FaultRefuse, Count: 1})
	fault := exchange(t, http.MethodPost, address+"/v1/completions", `{"model":"m","prompt":"p"}`, nil)
	for _, response := range []*http.Response{other, fault} {
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(standin.HeaderNotRun) != "true" {
			t.Fatalf("%d %v", response.StatusCode, response.Header)
		}
	}
	if response := exchange(t, http.MethodPost, address+"/v1/completions", `{"model":"m","prompt":"p"}`, nil); response.StatusCode != http.StatusOK {
		t.Fatalf("request after the refusals: status %d", response.StatusCode)
	}
	var page standin.JournalPage
	exchange(t, http.MethodGet, address+"/journal", "", &page)
	if len(page.Entries) != 1 {
		t.Fatalf("the journal has %d entries", len(page.Entries))
	}
}

// FaultDie must abort requests in progress and refuse new connections.
func TestDeadEngineBreaksItsConnections(t *testing.T) {
	config := fastConfig()
	config.BaseStep = time.Hour
	server, address := startEngine(t, standin.EngineOptions{Config: config})
	client := load.NewClient(1, time.Minute)
	defer client.Close()
	done := make(chan load.Measurement, 1)
	go func() {
		done <- client.Do(context.Background(), load.Call{Target: address, Model: "m", Content: "x", MaxTokens: 5}, time.Now())
	}()
	for entries := 0; entries == 0; {
		var page standin.JournalPage
		exchange(t, http.MethodGet, address+"/journal", "", &page)
		entries = len(page.Entries)
	}
	server.Inject(standin.FaultRequest{Kind: engine.FaultDie, DurationMs: 3_600_000})
	if measured := <-done; measured.Outcome != load.OutcomeConnection {
		t.Fatalf("%+v", measured)
	}
	if _, err := http.Get("http://" + address + "/healthz"); err == nil {
		t.Fatal("dead engine responds to GET /healthz")
	}
}

// An order must load weights from the weight store; a stale fence must be refused.
func TestOrdersLoadFromTheStore(t *testing.T) {
	store := httptest.NewServer(standin.NewWeightStore(200_000, 1e9).Handler())
	defer store.Close()
	config := fastConfig()
	config.Loaded = []string{"m@v1"}
	_, address := startEngine(t, standin.EngineOptions{Config: config, WeightsURL: store.URL})
	order := `{"fence":5,"action":"load_model","model":"m","version":"v2","weights_id":"w2"}`
	var fence standin.FenceResponse
	if response := exchange(t, http.MethodPost, address+"/orders", order, &fence); response.StatusCode != http.StatusAccepted || fence.Fence != 5 {
		t.Fatalf("%d %+v", response.StatusCode, fence)
	}
	if response := exchange(t, http.MethodPost, address+"/orders", order, &fence); response.StatusCode != http.StatusConflict || fence.Fence != 5 {
		t.Fatalf("%d %+v", response.StatusCode, fence)
	}
	for loaded := 0; loaded != 2; {
		var report standin.LoadReport
		exchange(t, http.MethodGet, address+"/load", "", &report)
		loaded = len(report.Loaded)
	}
}

func TestKVMovesBetweenEngines(t *testing.T) {
	_, from := startEngine(t, standin.EngineOptions{Config: fastConfig(), KVBytesPerToken: 2})
	_, to := startEngine(t, standin.EngineOptions{Config: fastConfig()})
	prompt := load.Prompt(9, 300, 300, 1)
	body, _ := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": 1})
	exchange(t, http.MethodPost, from+"/v1/completions", string(body), nil)
	blocks := engine.BlockHashes(prompt)
	last := fmt.Sprintf("%x", blocks[len(blocks)-1])
	response, err := http.Post("http://"+from+"/kv/export", "application/json", strings.NewReader(`{"block":"`+last+`"}`))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	request, _ := http.NewRequest(http.MethodPost, "http://"+to+"/kv/import", response.Body)
	request.Header.Set(standin.HeaderBlock, last)
	imported, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer imported.Body.Close()
	var snapshot standin.CacheSnapshot
	exchange(t, http.MethodGet, to+"/cache_snapshot", "", &snapshot)
	if len(snapshot.Blocks) != len(blocks) {
		t.Fatalf("imported %d of %d blocks", len(snapshot.Blocks), len(blocks))
	}
}

func TestServiceRespondsAndJournals(t *testing.T) {
	service, err := standin.NewService(standin.ServiceOptions{Name: "s", Concurrency: 2, MaxWaiting: 100})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	address := server.Listener.Addr().String()
	client := load.NewClient(10, time.Minute)
	defer client.Close()
	var calls sync.WaitGroup
	for number := range 20 {
		calls.Go(func() {
			call := load.Call{Target: address, Path: "/slots", Content: fmt.Sprint("body ", number)}
			if measured := client.Do(context.Background(), call, time.Now()); measured.Outcome != load.OutcomeOK {
				t.Errorf("%+v", measured)
			}
		})
	}
	calls.Wait()
	service.Inject(standin.FaultRequest{Kind: engine.FaultRefuse, Count: 1})
	if measured := client.Do(context.Background(), load.Call{Target: address, Path: "/slots"}, time.Now()); measured.Outcome != load.OutcomeNotRun {
		t.Fatalf("%+v", measured)
	}
	var page standin.JournalPage
	exchange(t, http.MethodGet, address+"/journal", "", &page)
	if len(page.Entries) != 20 {
		t.Fatalf("the journal has %d entries", len(page.Entries))
	}
}

func TestPlatformListLags(t *testing.T) {
	for _, lag := range []time.Duration{0, time.Hour} {
		platform := standin.NewPlatform(lag)
		platform.Change(standin.Machine{Address: "127.0.0.1:1", State: standin.MachineLive})
		platform.Change(standin.Machine{Address: "127.0.0.1:1", State: standin.MachineLeaving})
		machines := platform.Machines().Machines
		if lag == 0 && (len(machines) != 1 || machines[0].State != standin.MachineLeaving) {
			t.Fatalf("%+v", machines)
		}
		if lag > 0 && len(machines) != 0 {
			t.Fatalf("change visible before the lag: %+v", machines)
		}
	}
}
