package gateway

import (
	"context"
	"errors"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"rockwind.example/rockwind/internal/engine"
)

// TestOpenAIClient drives the gateway with the published client.
func TestOpenAIClient(t *testing.T) {
	f := startFleet(t, 2, engine.FastConfig())
	client := f.client()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	t.Run("chat", func(t *testing.T) { checkChat(ctx, t, client) })
	t.Run("stream", func(t *testing.T) { checkStream(ctx, t, client) })
	t.Run("models", func(t *testing.T) { checkModels(ctx, t, client) })
	t.Run("errors", func(t *testing.T) { checkErrors(ctx, t, f) })
}

func chatParameters(model, text string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// answerTo is the text that an engine gives to a user's message.
func answerTo(text string, tokens int) string {
	return engine.ExpectedText(engine.UserPrompt(text), tokens)
}

func checkChat(ctx context.Context, t *testing.T, client openai.Client) {
	answer, err := client.Chat.Completions.New(ctx, chatParameters(testModel, "when is the next free chair", 24))
	must(t, err)
	if got, want := answer.Choices[0].Message.Content, answerTo("when is the next free chair", 24); got != want {
		t.Fatalf("answer %q, want %q", got, want)
	}
}

func checkStream(ctx context.Context, t *testing.T, client openai.Client) {
	stream := client.Chat.Completions.NewStreaming(ctx, chatParameters(testModel, "a hint for level four", 200))
	defer stream.Close()
	text := ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
		}
	}
	must(t, stream.Err())
	if want := answerTo("a hint for level four", 200); text != want {
		t.Fatalf("streamed %q, want %q", text, want)
	}
}

func checkModels(ctx context.Context, t *testing.T, client openai.Client) {
	page, err := client.Models.List(ctx)
	must(t, err)
	if len(page.Data) != 1 || page.Data[0].ID != testModel {
		t.Fatalf("models %v", page.Data)
	}
	model, err := client.Models.Get(ctx, testModel)
	must(t, err)
	if model.ID != testModel {
		t.Fatalf("model %q", model.ID)
	}
}

func checkErrors(ctx context.Context, t *testing.T, f *fleet) {
	client := f.client()
	_, err := client.Chat.Completions.New(ctx, chatParameters("unknown", "x", 1))
	expectError(t, err, 404, "not_found")
	stranger := f.client(option.WithAPIKey("nobody"))
	_, err = stranger.Chat.Completions.New(ctx, chatParameters(testModel, "x", 1))
	expectError(t, err, 401, "unauthenticated")
}

// expectError checks a typed error as the published client reads it.
func expectError(t *testing.T, err error, status int, code string) *openai.Error {
	t.Helper()
	var typed *openai.Error
	if !errors.As(err, &typed) {
		t.Fatalf("error %v, want a typed one", err)
	}
	if typed.StatusCode != status || typed.Code != code {
		t.Fatalf("status %d code %q, want %d %q", typed.StatusCode, typed.Code, status, code)
	}
	return typed
}
