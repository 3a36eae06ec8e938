package engine

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// invariantChecker drives an engine, tracks its events and checks its invariants.
type invariantChecker struct {
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

func newInvariantChecker(t *rapid.T) *invariantChecker {
	return &invariantChecker{
		t:        t,
		engine:   New(smallConfig(t), rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))),
		live:     map[string]Request{},
		produced: map[string]int{},
		ended:    map[string]EventKind{},
		detached: map[string]bool{},
	}
}

func (c *invariantChecker) anyID() string {
	if len(c.ids) == 0 {
		c.t.Skip("no request yet")
	}
	return rapid.SampledFrom(c.ids).Draw(c.t, "id")
}

func (c *invariantChecker) submit(t *rapid.T) {
	chain := []uint64{}
	family := rapid.Uint64Range(1, 3).Draw(t, "family")
	for depth := range rapid.IntRange(0, 5).Draw(t, "depth") {
		chain = append(chain, family*100+uint64(depth))
	}
	request := Request{
		ID:               fmt.Sprintf("r%d", len(c.ids)),
		Priority:         rapid.SampledFrom([]int{PriorityOnline, 5, PriorityBatch, 12}).Draw(t, "priority"),
		PromptTokens:     len(chain)*TokensPerBlock + rapid.IntRange(1, 100).Draw(t, "rest"),
		MaxTokens:        rapid.IntRange(1, 60).Draw(t, "answer"),
		BatchTokenBudget: rapid.IntRange(0, 8).Draw(t, "budget"),
		Blocks:           chain,
	}
	c.ids = append(c.ids, request.ID)
	if _, accepted := c.engine.Submit(c.now, request); accepted {
		c.live[request.ID] = request
	}
}

func (c *invariantChecker) advance(until time.Duration) {
	c.now = max(c.now, until)
	c.events = c.engine.Advance(c.now, c.events[:0])
	for _, event := range c.events {
		c.observe(event)
	}
}

func (c *invariantChecker) observe(event Event) {
	if event.Kind == EventLoaded {
		return
	}
	request, known := c.live[event.ID]
	if !known {
		c.t.Fatalf("event %d for request %s, which was not accepted", event.Kind, event.ID)
	}
	if kind, over := c.ended[event.ID]; over {
		c.t.Fatalf("event %d for request %s after its final event %d", event.Kind, event.ID, kind)
	}
	switch event.Kind {
	case EventTokens:
		if event.Sequence != c.produced[event.ID]+event.Count {
			c.t.Fatalf("%s: event ends at token %d, after %d tokens and with %d new ones", event.ID, event.Sequence, c.produced[event.ID], event.Count)
		}
		c.produced[event.ID] = event.Sequence
	case EventFinished:
		if event.Sequence != request.MaxTokens || c.produced[event.ID] != request.MaxTokens {
			c.t.Fatalf("%s finished with %d of %d tokens", event.ID, c.produced[event.ID], request.MaxTokens)
		}
	case EventTruncated:
		c.detached[event.ID] = true
	}
	if event.Kind.IsTerminal() {
		c.ended[event.ID] = event.Kind
	}
}

func (c *invariantChecker) inject(t *rapid.T) {
	kinds := []FaultKind{FaultNone, FaultDie, FaultHang, FaultStall, FaultSlow, FaultTruncate, FaultDelayFinish, FaultRefuse, FaultReportIdle}
	c.engine.Inject(c.now, Fault{
		Kind:     rapid.SampledFrom(kinds).Draw(t, "fault"),
		Duration: time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond,
		Factor:   3,
		Count:    rapid.IntRange(0, 2).Draw(t, "count"),
		Tokens:   rapid.IntRange(1, 20).Draw(t, "tokens"),
	})
}

func (c *invariantChecker) resume(t *rapid.T) {
	id := c.anyID()
	offset := rapid.IntRange(0, c.produced[id]).Draw(t, "offset")
	resumed, status := c.engine.Resume(c.now, id, offset)
	if status != ResumeAccepted {
		return
	}
	if resumed.First != offset+1 || resumed.Last != c.produced[id] {
		t.Fatalf("resume of %s at offset %d returned tokens %d to %d of %d produced", id, offset, resumed.First, resumed.Last, c.produced[id])
	}
	if _, over := c.ended[id]; over != resumed.Finished {
		t.Fatalf("resume of %s returned finished %t", id, resumed.Finished)
	}
	c.detached[id] = false
}

func (c *invariantChecker) cancel(*rapid.T) {
	id := c.anyID()
	_, over := c.ended[id]
	if c.engine.Cancel(c.now, id) && over {
		c.t.Fatalf("%s was cancelled after it had ended", id)
	}
}

// check verifies the invariants that hold after every action.
func (c *invariantChecker) check(t *rapid.T) {
	engine := c.engine
	if engine.KVTokens() > engine.config.KVCapacity {
		t.Fatalf("%d KV tokens in use, capacity %d", engine.KVTokens(), engine.config.KVCapacity)
	}
	if len(engine.running) > engine.config.MaxSequences {
		t.Fatalf("%d sequences running, limit %d", len(engine.running), engine.config.MaxSequences)
	}
	if len(engine.cache.blocks) > engine.config.PrefixBlocks {
		t.Fatalf("%d blocks cached, capacity %d", len(engine.cache.blocks), engine.config.PrefixBlocks)
	}
	held, batch, online, budget := 0, 0, 0, 1<<30
	for _, seq := range engine.sequences {
		held += seq.computed + seq.plannedPrefill + seq.plannedDecode
	}
	if held != engine.kvTokens {
		t.Fatalf("sequences hold %d KV tokens, but kvTokens is %d", held, engine.kvTokens)
	}
	for _, seq := range engine.running {
		if !seq.batch() {
			online++
			continue
		}
		if seq.plannedPrefill > 0 {
			batch += seq.plannedPrefill
		} else {
			batch += seq.plannedDecode
		}
		if seq.request.BatchTokenBudget > 0 {
			budget = min(budget, seq.request.BatchTokenBudget)
		}
	}
	if online > 0 && batch > budget {
		t.Fatalf("step has %d batch tokens next to online requests, budget %d", batch, budget)
	}
}

func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newInvariantChecker(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  c.submit,
			"submit2": c.submit,
			"advance": func(t *rapid.T) {
				c.advance(c.now + time.Duration(rapid.IntRange(1, 200).Draw(t, "ms"))*time.Millisecond)
			},
			"step": func(*rapid.T) {
				if at, ok := c.engine.NextEvent(); ok {
					c.advance(at)
				}
			},
			"cancel":  c.cancel,
			"pause":   func(*rapid.T) { c.engine.Pause(c.now, c.anyID()) },
			"unpause": func(*rapid.T) { c.engine.Unpause(c.now, c.anyID()) },
			"detach":  func(*rapid.T) { c.engine.Detach(c.now, c.anyID()) },
			"resume":  c.resume,
			"inject":  c.inject,
			"":        c.check,
		})
		c.checkAllEnded()
	})
}

// checkAllEnded runs the engine until it is idle and checks that every request ended.
func (c *invariantChecker) checkAllEnded() {
	c.engine.Inject(c.now, Fault{Kind: FaultNone})
	for _, id := range c.ids {
		c.engine.Unpause(c.now, id)
	}
	for range 100_000 {
		at, ok := c.engine.NextEvent()
		if !ok {
			break
		}
		c.advance(at)
	}
	for id := range c.live {
		if _, over := c.ended[id]; !over {
			c.t.Fatalf("%s did not end", id)
		}
	}
	if c.engine.kvTokens != 0 || len(c.engine.running)+c.engine.waiting.length()+len(c.engine.sequences) != 0 {
		c.t.Fatalf("idle engine holds %d KV tokens and %d requests", c.engine.kvTokens, len(c.engine.sequences))
	}
}
