package gateway

import (
	"context"
	"sync"
	"testing"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/standin"
)

// TestStreamsAreAnsweredWhileAnEngineHangs verifies that hedging completes streams
// before the first byte timeout while one of two engines hangs, and that no attempt
// remains counted as in progress.
func TestStreamsAreAnsweredWhileAnEngineHangs(t *testing.T) {
	f := startFixture(t, 2, slowConfig())
	client := f.client()
	f.engines[0].Inject(standin.FaultRequest{Kind: engine.FaultHang})
	ctx, cancel := context.WithTimeout(context.Background(), streamFirstByteTimeout/2)
	defer cancel()
	var streams sync.WaitGroup
	for range 8 {
		streams.Go(func() {
			stream := client.Chat.Completions.NewStreaming(ctx, chatParameters(testModel, "a hint for level four", 20))
			defer stream.Close()
			text := ""
			for stream.Next() {
				for _, choice := range stream.Current().Choices {
					text += choice.Delta.Content
				}
			}
			if want := answerTo("a hint for level four", 20); stream.Err() != nil || text != want {
				t.Errorf("streamed %q, want %q: %v", text, want, stream.Err())
			}
		})
	}
	streams.Wait()
	f.engines[0].Inject(standin.FaultRequest{Kind: engine.FaultNone})
	f.await("the end of every attempt", func() bool { return f.gateway.view.InFlight() == 0 })
}
