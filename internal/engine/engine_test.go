package engine

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

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

func BenchmarkStep(b *testing.B) {
	config := DefaultConfig()
	config.OmitIntermediateTokens = true
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
