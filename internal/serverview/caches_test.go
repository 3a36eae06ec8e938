package serverview

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/standin"
	"rockwind.example/rockwind/internal/upstream"
)

// engineFixture is a view with one stand-in engine and one unreachable server.
type engineFixture struct {
	*testing.T
	view    *View
	engine  *standin.Engine
	address string
}

func newEngineFixture(t *testing.T, loss float64) *engineFixture {
	config := engine.DefaultConfig().Scale(0.01)
	config.CacheEventLag = 0
	config.CacheEventLoss = loss
	server, err := standin.NewEngine(standin.EngineOptions{Config: config, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(func() {
		listener.Close()
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	})
	fixture := &engineFixture{T: t, engine: server, address: listener.Listener.Addr().String()}
	client := upstream.NewClient()
	t.Cleanup(client.Close)
	fixture.view = New(Options{Gateway: "g", Zone: "z", Client: client, Random: rand.New(rand.NewPCG(1, 2))})
	fixture.view.Configure(Config{
		Models: []*rockwindpb.Model{{Name: "m", Versions: []*rockwindpb.Version{{Name: "1", Weight: 1}}}},
		BackEnds: []*rockwindpb.BackEnd{
			{Name: "other", Address: "127.0.0.1:1", Zone: "z", Serves: []string{"m"}},
			{Name: "engine", Address: fixture.address, Zone: "z", Serves: []string{"m"}},
		},
	})
	return fixture
}

// complete sends a prompt directly to the engine and waits for the end of the
// response.
func (f *engineFixture) complete(prompt string) {
	f.Helper()
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":1}`, prompt)
	response, err := http.Post("http://"+f.address+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		f.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		f.Fatalf("status %d, %v", response.StatusCode, err)
	}
}

// poll polls the engine once, as the owner goroutine does.
func (f *engineFixture) poll() {
	v := f.view
	v.mutex.Lock()
	e := v.byName["engine"]
	task := pollTask{target: upstream.Target{Name: e.name, Address: e.address}, cache: v.cacheQueryFor(e, v.now())}
	v.mutex.Unlock()
	v.finishPoll(context.Background(), v.poll(context.Background(), task), time.Now())
}

// hintedTokens returns the length of the prefix that the engine caches
// according to the view.
func (f *engineFixture) hintedTokens(prompt string) int32 {
	v := f.view
	v.mutex.Lock()
	defer v.mutex.Unlock()
	requirements := Requirements{Prefixes: routing.PrefixesOf(engine.BlockHashes(prompt), engine.TokensPerBlock, nil)}
	for _, hint := range v.hintsFor(requirements) {
		if v.entries[hint.Server].name == "engine" {
			return hint.CachedTokens
		}
	}
	return 0
}

const cachedBlocks = 8

func testPrompt(number int) string {
	return strings.Repeat(fmt.Sprintf("%08d", number), cachedBlocks*engine.BlockBytes/8)
}

func TestViewReadsCacheEvents(t *testing.T) {
	f := newEngineFixture(t, 0)
	f.poll()
	f.complete(testPrompt(1))
	if found := f.hintedTokens(testPrompt(1)); found != 0 {
		t.Fatalf("%d tokens hinted before any event", found)
	}
	f.poll()
	if found := f.hintedTokens(testPrompt(1)); found != cachedBlocks*engine.TokensPerBlock {
		t.Fatalf("%d tokens hinted after the events", found)
	}
}

func TestViewFetchesSnapshotAfterGapAndClearsEmptiedCache(t *testing.T) {
	f := newEngineFixture(t, 1)
	f.complete(testPrompt(1))
	f.poll()
	if found := f.hintedTokens(testPrompt(1)); found != cachedBlocks*engine.TokensPerBlock {
		t.Fatalf("%d tokens hinted with all events lost, want a snapshot", found)
	}
	f.complete(testPrompt(2))
	f.poll()
	if found := f.hintedTokens(testPrompt(2)); found != 0 {
		t.Fatal("a second snapshot was read within snapshotInterval")
	}
	f.engine.Inject(standin.FaultRequest{Kind: engine.FaultDie})
	f.engine.Inject(standin.FaultRequest{Kind: engine.FaultNone})
	f.poll()
	if found := f.hintedTokens(testPrompt(1)); found != 0 {
		t.Fatalf("%d tokens hinted after the cache was emptied", found)
	}
}

func TestCacheReadsAreLimitedByBudget(t *testing.T) {
	f := newEngineFixture(t, 0)
	f.view.mutex.Lock()
	defer f.view.mutex.Unlock()
	e := f.view.byName["engine"]
	now := f.view.now()
	if !f.view.cacheQueryFor(e, now).read {
		t.Fatal("cache events are not read within the budget")
	}
	f.view.mergeCache(e, cacheResult{bytes: cacheBytesBurst + cacheBytesPerSecond})
	if f.view.cacheQueryFor(e, now).read {
		t.Fatal("cache events are read beyond the budget")
	}
	if !f.view.cacheQueryFor(e, now+2*time.Second).read {
		t.Fatal("cache events are not read after the budget was replenished")
	}
}
