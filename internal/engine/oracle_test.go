package engine

import (
	"fmt"
	"math/rand"
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
	if event.Kind.IsTerminal() {
		o.ended[event.ID] = event.Kind
	}
}

func (o *oracle) inject(t *rapid.T) {
	kinds := []FaultKind{FaultNone, FaultDie, FaultHang, FaultStall, FaultSlow, FaultTruncate, FaultDelayFinish, FaultRefuse, FaultReportIdle}
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
