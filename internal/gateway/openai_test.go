package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"rockwind.example/rockwind/internal/engine"
)

// TestOpenAIClient uses the gateway through the OpenAI client library.
func TestOpenAIClient(t *testing.T) {
	f := startFixture(t, 2, engine.FastConfig())
	client := f.client()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	t.Run("chat", func(t *testing.T) { checkChat(ctx, t, client) })
	t.Run("stream", func(t *testing.T) { checkStream(ctx, t, client) })
	t.Run("models", func(t *testing.T) { checkModels(ctx, t, client) })
	t.Run("batch", func(t *testing.T) { checkBatch(ctx, t, f) })
	t.Run("cancel", func(t *testing.T) { checkCancel(ctx, t, f) })
	t.Run("errors", func(t *testing.T) { checkErrors(ctx, t, f) })
}

func chatParameters(model, text string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: model, MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// answerTo returns the text with which an engine responds to a user's message.
func answerTo(text string, tokens int) string {
	return engine.ExpectedText(engine.UserPrompt(text), tokens)
}

func checkChat(ctx context.Context, t *testing.T, client openai.Client) {
	completion, err := client.Chat.Completions.New(ctx, chatParameters(testModel, "when is the next free chair", 24))
	must(t, err)
	if got, want := completion.Choices[0].Message.Content, answerTo("when is the next free chair", 24); got != want {
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

func checkErrors(ctx context.Context, t *testing.T, f *fixture) {
	client := f.client()
	_, err := client.Chat.Completions.New(ctx, chatParameters("unknown", "x", 1))
	expectError(t, err, 404, "not_found")
	unknownCaller := f.client(option.WithAPIKey("nobody"))
	_, err = unknownCaller.Chat.Completions.New(ctx, chatParameters(testModel, "x", 1))
	expectError(t, err, 401, "unauthenticated")
}

// inputFile returns a batch input file with one item for each text.
func inputFile(texts []string, tokens int) string {
	var file strings.Builder
	for i, text := range texts {
		fmt.Fprintf(&file, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":`+
			`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}}`+"\n", i, testModel, tokens, text)
	}
	return file.String()
}

// numberedTexts returns distinct messages.
func numberedTexts(count int, about string) []string {
	texts := make([]string, count)
	for i := range texts {
		texts[i] = fmt.Sprintf("%s number %d", about, i)
	}
	return texts
}

func uploadBatch(ctx context.Context, t testing.TB, client openai.Client, content string) *openai.FileObject {
	file, err := client.Files.New(ctx, openai.FileNewParams{
		File: openai.File(strings.NewReader(content), "items.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	must(t, err)
	return file
}

func submitBatch(ctx context.Context, t testing.TB, client openai.Client, file string) *openai.Batch {
	created, err := client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID: file, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	}, option.WithHeader("Idempotency-Key", "batch of "+file))
	must(t, err)
	return created
}

// outputLine is a line of the output file of a batch.
type outputLine struct {
	CustomID string `json:"custom_id"`
	Response struct {
		StatusCode int                   `json:"status_code"`
		Body       openai.ChatCompletion `json:"body"`
	} `json:"response"`
}

// checkOutput verifies that the output file has the complete response to each item,
// once and in order.
func checkOutput(ctx context.Context, t testing.TB, client openai.Client, id string, texts []string, tokens int) {
	response, err := client.Files.Content(ctx, id)
	must(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	must(t, err)
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	if len(lines) != len(texts) {
		t.Fatalf("%d lines of output for %d items", len(lines), len(texts))
	}
	for i, line := range lines {
		var parsed outputLine
		must(t, json.Unmarshal([]byte(line), &parsed))
		want := answerTo(texts[i], tokens)
		if parsed.CustomID != fmt.Sprintf("item-%d", i) || parsed.Response.Body.Choices[0].Message.Content != want {
			t.Fatalf("line %d is %s, want %q", i, line, want)
		}
	}
}

// awaitBatch polls a batch until it has ended.
func awaitBatch(ctx context.Context, t testing.TB, f *fixture, client openai.Client, id string) *openai.Batch {
	var found *openai.Batch
	f.await("the end of batch "+id, func() bool {
		var err error
		found, err = client.Batches.Get(ctx, id)
		must(t, err)
		return found.Status != openai.BatchStatusInProgress
	})
	return found
}

func checkBatch(ctx context.Context, t *testing.T, f *fixture) {
	client := f.client()
	texts := numberedTexts(1500, "clue")
	file := uploadBatch(ctx, t, client, inputFile(texts, 8))
	again, err := client.Files.Get(ctx, file.ID)
	must(t, err)
	if again.Bytes != file.Bytes || again.Filename != "items.jsonl" {
		t.Fatalf("file %v, want %v", again, file)
	}
	created := submitBatch(ctx, t, client, file.ID)
	if resent := submitBatch(ctx, t, client, file.ID); resent.ID != created.ID {
		t.Fatalf("a resubmission made another batch: %s and %s", resent.ID, created.ID)
	}
	ended := awaitBatch(ctx, t, f, client, created.ID)
	if ended.Status != openai.BatchStatusCompleted || ended.RequestCounts.Completed != int64(len(texts)) {
		t.Fatalf("batch ended as %s with %+v", ended.Status, ended.RequestCounts)
	}
	checkOutput(ctx, t, client, ended.OutputFileID, texts, 8)
	page, err := client.Batches.List(ctx, openai.BatchListParams{})
	must(t, err)
	if len(page.Data) != 1 || page.Data[0].ID != created.ID {
		t.Fatalf("list of batches %v", page.Data)
	}
}

func checkCancel(ctx context.Context, t *testing.T, f *fixture) {
	client := f.client()
	file := uploadBatch(ctx, t, client, inputFile(numberedTexts(500, "rebuild"), 3000))
	created := submitBatch(ctx, t, client, file.ID)
	f.await("a running item", func() bool { return len(f.gateway.batch.Demand()) > 0 })
	cancelled, err := client.Batches.Cancel(ctx, created.ID)
	must(t, err)
	if cancelled.Status != openai.BatchStatusCancelled {
		t.Fatalf("cancelled batch is %s", cancelled.Status)
	}
	f.await("the items to stop", func() bool { return len(f.gateway.batch.Demand()) == 0 })
}

// expectError verifies the status and code of an error of the OpenAI client.
func expectError(t *testing.T, err error, status int, code string) *openai.Error {
	t.Helper()
	var typed *openai.Error
	if !errors.As(err, &typed) {
		t.Fatalf("error %v, want an *openai.Error", err)
	}
	if typed.StatusCode != status || typed.Code != code {
		t.Fatalf("status %d code %q, want %d %q", typed.StatusCode, typed.Code, status, code)
	}
	return typed
}
