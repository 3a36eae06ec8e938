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
		t.Fatal("two runs with the same seed differ")
	}
	if len(first) < 300*20 {
		t.Fatalf("got %d events, want at least 6000", len(first))
	}
}

// drain advances the engine until nothing is scheduled before the limit.
func drain(engine *Engine, limit time.Duration) []Event {
	var events []Event
	for {
		at, ok := engine.NextEvent()
		if !ok || at > limit {
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

// An online request must start with the next step and get its first token within
// one step, even if batch requests occupy the whole batch and the memory.
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
			t.Fatalf("online request started at %v, want at most %v, the end of the step in progress", started.At, stepEnd)
		}
		first, _ := find(events, EventTokens, "o")
		// One step prefills the whole prompt; batch sequences get the rest of the
		// chunk and decode.
		longest := config.BaseStep + time.Duration(config.PrefillChunk)*config.PerPrefillToken +
			time.Duration(config.MaxSequences)*config.PerSequence + time.Duration(config.KVCapacity)*config.PerAttendedToken
		if first.At-started.At > longest {
			t.Fatalf("first token %v after the start, want at most %v", first.At-started.At, longest)
		}
	})
}

// A repeated prompt must reuse the cached blocks instead of computing them again.
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
		t.Fatalf("second request prefilled %d tokens, want 10", computed)
	}
	if engine.CachedBlocks(chain) != 4 {
		t.Fatalf("%d blocks are cached, want 4", engine.CachedBlocks(chain))
	}
}

// A paused request keeps its KV and is not prefilled again, unless another request
// needed the memory in the meantime.
func TestKVOfPausedRequestIsNotRecomputed(t *testing.T) {
	for _, memoryFull := range []bool{false, true} {
		config := DefaultConfig()
		config.KVCapacity = 1000
		engine := New(config, rand.New(rand.NewSource(1)))
		engine.Submit(0, Request{ID: "paused", Priority: PriorityBatch, PromptTokens: 500, MaxTokens: 100})
		events := engine.Advance(500*time.Millisecond, nil)
		produced := events[len(events)-1].Sequence
		engine.Pause(500*time.Millisecond, "paused")
		if memoryFull {
			engine.Submit(500*time.Millisecond, Request{ID: "other", PromptTokens: 800, MaxTokens: 2})
			drain(engine, 2*time.Second)
		}
		before := engine.Totals().PrefillTokens
		engine.Unpause(2*time.Second, "paused")
		events = drain(engine, time.Minute)
		computed := int(engine.Totals().PrefillTokens - before)
		wanted := 0
		if memoryFull {
			wanted = 500 + produced
		}
		if computed != wanted {
			t.Fatalf("memory full %t: prefilled %d tokens after the pause, want %d", memoryFull, computed, wanted)
		}
		if finished, found := find(events, EventFinished, "paused"); !found || finished.Sequence != 100 {
			t.Fatalf("memory full %t: finished %t with %d tokens, want 100", memoryFull, found, finished.Sequence)
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
