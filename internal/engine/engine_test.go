package engine

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// oracle follows an engine from outside and checks what must hold.
type oracle struct {
	t        *rapid.T
	engine   *Engine
	now      time.Duration
	events   []Event
	live     map[string]Request
	produced map[string]int
	ended    map[string]EventKind
	ids      []string
	detached map[string]bool
}

func smallConfig(t *rapid.T) Config {
	config := DefaultConfig()
	config.MaxSequences = rapid.IntRange(1, 6).Draw(t, "places")
	config.MaxWaiting = rapid.IntRange(0, 10).Draw(t, "queue")
	config.KVCapacity = rapid.IntRange(400, 3000).Draw(t, "memory")
	config.PrefixBlocks = rapid.IntRange(0, 12).Draw(t, "blocks")
	config.PrefillChunk = rapid.IntRange(1, 300).Draw(t, "chunk")
	config.TokensPerStep = rapid.IntRange(1, 4).Draw(t, "tokens per step")
	config.StepJitter = 0.2
	config.CacheEventLoss = 0.1
	config.CacheEventLog = 8
	return config
}

func newOracle(t *rapid.T) *oracle {
	return &oracle{
		t:        t,
		engine:   New(smallConfig(t), rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))),
		live:     map[string]Request{},
		produced: map[string]int{},
		ended:    map[string]EventKind{},
		detached: map[string]bool{},
	}
}

func (o *oracle) anyID() string {
	if len(o.ids) == 0 {
		o.t.Skip("no request yet")
	}
	return rapid.SampledFrom(o.ids).Draw(o.t, "id")
}

func (o *oracle) submit(t *rapid.T) {
	chain := []uint64{}
	family := rapid.Uint64Range(1, 3).Draw(t, "family")
	for depth := range rapid.IntRange(0, 5).Draw(t, "depth") {
		chain = append(chain, family*100+uint64(depth))
	}
	request := Request{
		ID:               fmt.Sprintf("r%d", len(o.ids)),
		Priority:         rapid.SampledFrom([]int{PriorityOnline, 5, PriorityBatch, 12}).Draw(t, "priority"),
		PromptTokens:     len(chain)*TokensPerBlock + rapid.IntRange(1, 100).Draw(t, "rest"),
		MaxTokens:        rapid.IntRange(1, 60).Draw(t, "answer"),
		BatchTokenBudget: rapid.IntRange(0, 8).Draw(t, "budget"),
		Blocks:           chain,
	}
	o.ids = append(o.ids, request.ID)
	if _, accepted := o.engine.Submit(o.now, request); accepted {
		o.live[request.ID] = request
	}
}

func (o *oracle) advance(until time.Duration) {
	o.now = max(o.now, until)
	o.events = o.engine.Advance(o.now, o.events[:0])
	for _, event := range o.events {
		o.observe(event)
	}
}

func (o *oracle) observe(event Event) {
	if event.Kind == EventLoaded {
		return
	}
	request, known := o.live[event.ID]
	if !known {
		o.t.Fatalf("event %d for %s, which was not accepted", event.Kind, event.ID)
	}
	if kind, over := o.ended[event.ID]; over {
		o.t.Fatalf("event %d for %s after its end %d", event.Kind, event.ID, kind)
	}
	switch event.Kind {
	case EventTokens:
		if event.Sequence != o.produced[event.ID]+event.Count {
			o.t.Fatalf("%s: tokens end at %d after %d with %d", event.ID, event.Sequence, o.produced[event.ID], event.Count)
		}
		o.produced[event.ID] = event.Sequence
	case EventFinished:
		if event.Sequence != request.MaxTokens || o.produced[event.ID] != request.MaxTokens {
			o.t.Fatalf("%s finished with %d of %d tokens", event.ID, o.produced[event.ID], request.MaxTokens)
		}
	case EventTruncated:
		o.detached[event.ID] = true
	}
	if event.Kind.Ends() {
		o.ended[event.ID] = event.Kind
	}
}

func (o *oracle) inject(t *rapid.T) {
	kinds := []FaultKind{FaultNone, FaultDie, FaultHang, FaultStall, FaultSlow, FaultTruncate, FaultLate, FaultRefuse, FaultLie}
	o.engine.Inject(o.now, Fault{
		Kind:     rapid.SampledFrom(kinds).Draw(t, "fault"),
		Duration: time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond,
		Factor:   3,
		Count:    rapid.IntRange(0, 2).Draw(t, "count"),
		Tokens:   rapid.IntRange(1, 20).Draw(t, "tokens"),
	})
}

func (o *oracle) resume(t *rapid.T) {
	id := o.anyID()
	offset := rapid.IntRange(0, o.produced[id]).Draw(t, "offset")
	resumed, status := o.engine.Resume(o.now, id, offset)
	if status != ResumeAccepted {
		return
	}
	if resumed.First != offset+1 || resumed.Last != o.produced[id] {
		t.Fatalf("resume of %s at %d gave %d to %d; produced %d", id, offset, resumed.First, resumed.Last, o.produced[id])
	}
	if _, over := o.ended[id]; over != resumed.Finished {
		t.Fatalf("resume of %s says finished %t", id, resumed.Finished)
	}
	o.detached[id] = false
}

func (o *oracle) cancel(*rapid.T) {
	id := o.anyID()
	_, over := o.ended[id]
	if o.engine.Cancel(o.now, id) && over {
		o.t.Fatalf("%s was cancelled after its end", id)
	}
}

// check holds after every action.
func (o *oracle) check(t *rapid.T) {
	engine := o.engine
	if engine.KVTokens() > engine.config.KVCapacity {
		t.Fatalf("memory holds %d of %d tokens", engine.KVTokens(), engine.config.KVCapacity)
	}
	if len(engine.running) > engine.config.MaxSequences {
		t.Fatalf("%d of %d places are taken", len(engine.running), engine.config.MaxSequences)
	}
	if len(engine.cache.blocks) > engine.config.PrefixBlocks {
		t.Fatalf("cache holds %d of %d blocks", len(engine.cache.blocks), engine.config.PrefixBlocks)
	}
	held, batch, online, budget := 0, 0, 0, 1<<30
	for _, entry := range engine.known {
		held += entry.computed + entry.plannedPrefill + entry.plannedDecode
	}
	if held != engine.kvTokens {
		t.Fatalf("sequences hold %d tokens, counted %d", held, engine.kvTokens)
	}
	for _, entry := range engine.running {
		if !entry.batch() {
			online++
			continue
		}
		if entry.plannedPrefill > 0 {
			batch += entry.plannedPrefill
		} else {
			batch += entry.plannedDecode
		}
		if entry.request.BatchTokenBudget > 0 {
			budget = min(budget, entry.request.BatchTokenBudget)
		}
	}
	if online > 0 && batch > budget {
		t.Fatalf("a step holds %d batch tokens beside online requests; the budget is %d", batch, budget)
	}
}

func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  o.submit,
			"submit2": o.submit,
			"advance": func(t *rapid.T) {
				o.advance(o.now + time.Duration(rapid.IntRange(1, 200).Draw(t, "ms"))*time.Millisecond)
			},
			"step": func(*rapid.T) {
				if at, some := o.engine.NextEvent(); some {
					o.advance(at)
				}
			},
			"cancel":  o.cancel,
			"pause":   func(*rapid.T) { o.engine.Pause(o.now, o.anyID()) },
			"unpause": func(*rapid.T) { o.engine.Unpause(o.now, o.anyID()) },
			"detach":  func(*rapid.T) { o.engine.Detach(o.now, o.anyID()) },
			"resume":  o.resume,
			"inject":  o.inject,
			"":        o.check,
		})
		o.settle()
	})
}

// settle lets everything end and checks that it did.
func (o *oracle) settle() {
	o.engine.Inject(o.now, Fault{Kind: FaultNone})
	for _, id := range o.ids {
		o.engine.Unpause(o.now, id)
	}
	for range 100_000 {
		at, some := o.engine.NextEvent()
		if !some {
			break
		}
		o.advance(at)
	}
	for id := range o.live {
		if _, over := o.ended[id]; !over {
			o.t.Fatalf("%s never ended", id)
		}
	}
	if o.engine.kvTokens != 0 || len(o.engine.running)+o.engine.waiting.length()+len(o.engine.known) != 0 {
		o.t.Fatalf("the idle engine holds %d tokens and %d requests", o.engine.kvTokens, len(o.engine.known))
	}
}

func TestRunsAreDeterminedBySeed(t *testing.T) {
	run := func() []Event {
		random := rand.New(rand.NewSource(7))
		config := DefaultConfig()
		config.StepJitter = 0.5
		engine := New(config, random)
		var events []Event
		for number := range 300 {
			now := time.Duration(number) * 5 * time.Millisecond
			events = engine.Advance(now, events)
			engine.Submit(now, Request{ID: fmt.Sprint(number), Priority: number % 2 * PriorityBatch, PromptTokens: 100 + number, MaxTokens: 20})
		}
		return engine.Advance(time.Minute, events)
	}
	first, second := run(), run()
	if !slices.Equal(first, second) {
		t.Fatal("two runs with one seed differ")
	}
	if len(first) < 300*20 {
		t.Fatalf("only %d events", len(first))
	}
}

// drain advances the engine until nothing is left to do, or to the limit.
func drain(engine *Engine, limit time.Duration) []Event {
	var events []Event
	for {
		at, some := engine.NextEvent()
		if !some || at > limit {
			return events
		}
		events = engine.Advance(at, events)
	}
}

func find(events []Event, kind EventKind, id string) (Event, bool) {
	index := slices.IndexFunc(events, func(event Event) bool { return event.Kind == kind && event.ID == id })
	if index < 0 {
		return Event{}, false
	}
	return events[index], true
}

// TestOnlineTimesDoNotDependOnWaitingBatch submits the same online requests to
// an engine alone and to one whose places and memory are full of batch. Places
// and prefill go to online first, so that it starts at the first step that
// begins after its arrival.
func TestOnlineTimesDoNotDependOnWaitingBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		config.MaxSequences = rapid.IntRange(1, 8).Draw(t, "places")
		config.KVCapacity = rapid.IntRange(600, 4000).Draw(t, "memory")
		engine := New(config, rand.New(rand.NewSource(1)))
		for number := range 30 {
			engine.Submit(0, Request{ID: fmt.Sprint("b", number), Priority: PriorityBatch, PromptTokens: 300, MaxTokens: 200})
		}
		arrival := time.Duration(rapid.IntRange(0, 2000).Draw(t, "arrival ms")) * time.Millisecond
		events := engine.Advance(arrival, nil)
		stepEnd := engine.stepEnd
		engine.Submit(arrival, Request{ID: "o", Priority: PriorityOnline, PromptTokens: 400, MaxTokens: 5})
		events = append(events, drain(engine, arrival+time.Second)...)
		started, found := find(events, EventStarted, "o")
		if !found || started.At > max(stepEnd, arrival) {
			t.Fatalf("online started at %v; the step in progress ended at %v", started.At, stepEnd)
		}
		first, _ := find(events, EventTokens, "o")
		// One step prefills the whole prompt; batch gets the rest of the chunk and
		// decodes.
		longest := config.BaseStep + time.Duration(config.PrefillChunk)*config.PerPrefillToken +
			time.Duration(config.MaxSequences)*config.PerSequence + time.Duration(config.KVCapacity)*config.PerAttendedToken
		if first.At-started.At > longest {
			t.Fatalf("the first token took %v from the start, a step at most %v", first.At-started.At, longest)
		}
	})
}

// TestCachedPrefixSkipsPrefill asks the same prompt twice.
func TestCachedPrefixSkipsPrefill(t *testing.T) {
	engine := New(DefaultConfig(), rand.New(rand.NewSource(1)))
	chain := []uint64{11, 12, 13, 14}
	request := Request{ID: "first", PromptTokens: 4*TokensPerBlock + 10, MaxTokens: 1, Blocks: chain}
	engine.Submit(0, request)
	drain(engine, time.Second)
	before := engine.Totals()
	request.ID = "second"
	engine.Submit(time.Second, request)
	drain(engine, 2*time.Second)
	after := engine.Totals()
	if computed := after.PrefillTokens - before.PrefillTokens; computed != 10 {
		t.Fatalf("the second prompt computed %d tokens", computed)
	}
	if engine.CachedBlocks(chain) != 4 {
		t.Fatalf("%d blocks are cached", engine.CachedBlocks(chain))
	}
}

// TestKeptKVIsNotComputedAgain pauses a request in the middle: with memory left
// it goes on decoding; when another request needed the memory, its prompt and
// what it had produced are computed again.
func TestKeptKVIsNotComputedAgain(t *testing.T) {
	for _, crowded := range []bool{false, true} {
		config := DefaultConfig()
		config.KVCapacity = 1000
		engine := New(config, rand.New(rand.NewSource(1)))
		engine.Submit(0, Request{ID: "paused", Priority: PriorityBatch, PromptTokens: 500, MaxTokens: 100})
		events := engine.Advance(500*time.Millisecond, nil)
		produced := events[len(events)-1].Sequence
		engine.Pause(500*time.Millisecond, "paused")
		if crowded {
			engine.Submit(500*time.Millisecond, Request{ID: "other", PromptTokens: 800, MaxTokens: 2})
			drain(engine, 2*time.Second)
		}
		before := engine.Totals().PrefillTokens
		engine.Unpause(2*time.Second, "paused")
		events = drain(engine, time.Minute)
		computed := int(engine.Totals().PrefillTokens - before)
		wanted := 0
		if crowded {
			wanted = 500 + produced
		}
		if computed != wanted {
			t.Fatalf("crowded %t: %d tokens were computed after the pause, not %d", crowded, computed, wanted)
		}
		if finished, found := find(events, EventFinished, "paused"); !found || finished.Sequence != 100 {
			t.Fatalf("crowded %t: finished %t with %d tokens", crowded, found, finished.Sequence)
		}
	}
}

// TestReportsLag compares reports with what was true when they say they were
// taken.
func TestReportsLag(t *testing.T) {
	config := DefaultConfig()
	engine := New(config, rand.New(rand.NewSource(1)))
	start := time.Second
	engine.Advance(start, nil)
	engine.Submit(start, Request{ID: "r", PromptTokens: 10, MaxTokens: 1000})
	for elapsed := time.Duration(0); elapsed < time.Second; elapsed += 10 * time.Millisecond {
		now := start + elapsed
		engine.Advance(now, nil)
		report := engine.Load(now)
		if now-report.At < config.ReportLag {
			t.Fatalf("at %v a report of %v", now, report.At)
		}
		if busy := report.RunningOnline == 1; busy != (report.At >= start) {
			t.Fatalf("at %v the report of %v says %d running", now, report.At, report.RunningOnline)
		}
	}
	engine.Inject(start+time.Second, Fault{Kind: FaultLie})
	if report := engine.Load(start + time.Second); report.RunningOnline != 0 {
		t.Fatal("a lying engine tells the truth")
	}
}

// TestCacheReadersNeverMissAnEventUnseen follows the events with gaps and
// resynchronises where a gap shows; the mirror must then equal the cache.
func TestCacheReadersNeverMissAnEventUnseen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		config.PrefixBlocks = rapid.IntRange(1, 12).Draw(t, "blocks")
		config.CacheEventLoss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		config.CacheEventLog = rapid.IntRange(1, 10).Draw(t, "log")
		config.CacheEventLag = 0
		engine := New(config, rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))))
		mirror := map[uint64]bool{}
		next := uint64(1)
		now := time.Duration(0)
		for number := range rapid.IntRange(1, 60).Draw(t, "requests") {
			now += 100 * time.Millisecond
			family := rapid.Uint64Range(1, 5).Draw(t, "family")
			chain := []uint64{family * 10, family*10 + 1, family*10 + 2}
			engine.Submit(now, Request{ID: fmt.Sprint(number), PromptTokens: 200, MaxTokens: 1, Blocks: chain})
			if !rapid.Bool().Draw(t, "read") {
				continue
			}
			now += 100 * time.Millisecond
			engine.Advance(now, nil)
			page := engine.CacheEvents(now, next)
			if page.First > next {
				snapshot := engine.Snapshot()
				clear(mirror)
				for _, block := range snapshot.Blocks {
					mirror[block] = true
				}
				next = snapshot.Next
				continue
			}
			for _, event := range page.Events {
				if event.Sequence != next {
					t.Fatalf("event %d after %d without a gap in First", event.Sequence, next-1)
				}
				next++
				if event.Kind == CacheStored {
					mirror[event.Block] = true
				} else {
					delete(mirror, event.Block)
				}
			}
			for _, block := range engine.Snapshot().Blocks {
				if !mirror[block] {
					t.Fatalf("block %d is cached and not in the mirror", block)
				}
			}
			if len(mirror) != len(engine.cache.blocks) {
				t.Fatalf("the mirror has %d blocks, the cache %d", len(mirror), len(engine.cache.blocks))
			}
		}
	})
}

// TestFencesOrderOrders sends orders in any order of fences: only rising ones
// count.
func TestFencesOrderOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		config.Loaded = []string{"m@v1"}
		engine := New(config, rand.New(rand.NewSource(1)))
		highest := uint64(0)
		role := RoleMixed
		for _, fence := range rapid.SliceOfN(rapid.Uint64Range(0, 20), 1, 30).Draw(t, "fences") {
			wanted := rapid.SampledFrom([]Role{RoleMixed, RoleOnline, RoleBatch}).Draw(t, "role")
			last, status := engine.Order(0, Order{Fence: fence, Action: ActionSetRole, Role: wanted})
			if accepted := status == OrderDone; accepted != (fence > highest) {
				t.Fatalf("fence %d after %d: status %d", fence, highest, status)
			}
			if fence > highest {
				highest, role = fence, wanted
			}
			if last != highest || engine.orders.role != role {
				t.Fatalf("fence %d and role %s; not %d and %s", last, engine.orders.role, highest, role)
			}
		}
	})
}

// TestAnUnloadBeatsTheLoadInProgress unloads a version that is still loading.
func TestAnUnloadBeatsTheLoadInProgress(t *testing.T) {
	config := DefaultConfig()
	config.Loaded = []string{"m@v1"}
	engine := New(config, rand.New(rand.NewSource(1)))
	load := Order{Fence: 1, Action: ActionLoadModel, Model: "m", Version: "v2"}
	if _, status := engine.Order(0, load); status != OrderLoading {
		t.Fatalf("status %d", status)
	}
	engine.Order(time.Second, Order{Fence: 2, Action: ActionUnloadModel, Model: "m", Version: "v2"})
	drain(engine, time.Hour)
	if loaded := engine.Loaded(); !slices.Equal(loaded, []string{"m@v1"}) {
		t.Fatalf("loaded %v", loaded)
	}
}

func BenchmarkStep(b *testing.B) {
	config := DefaultConfig()
	config.MilestonesOnly = true
	engine := New(config, rand.New(rand.NewSource(1)))
	var events []Event
	number := 0
	now := time.Duration(0)
	for b.Loop() {
		for engine.Running()+engine.Waiting() < config.MaxSequences {
			number++
			engine.Submit(now, Request{ID: fmt.Sprint(number), Priority: number % 2 * PriorityBatch, PromptTokens: 200, MaxTokens: 100})
		}
		now, _ = engine.NextEvent()
		events = engine.Advance(now, events[:0])
	}
}
