package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"rockwind.example/rockwind/internal/engine"
)

// defaultMaxTokens is the output length if the request does not set one.
const defaultMaxTokens = 16

// endpoint is the type of completion endpoint.
type endpoint uint8

const (
	endpointChat endpoint = iota
	endpointCompletion
)

// chatContent is the content of a message, encoded as a string or a list of parts.
type chatContent string

// UnmarshalJSON decodes a string, or a list of parts whose texts are concatenated.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] != '[' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, part := range parts {
		text.WriteString(part.Text)
	}
	*c = chatContent(text.String())
	return nil
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// completionBody is the request body of both endpoints.
type completionBody struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Prompt              string        `json:"prompt"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
	N                   int           `json:"n"`
}

// prompt returns the prompt from which the output is derived.
func (b *completionBody) prompt(kind endpoint) string {
	if kind == endpointCompletion {
		return b.Prompt
	}
	messages := make([]engine.Message, len(b.Messages))
	for index, message := range b.Messages {
		messages[index] = engine.Message{Role: message.Role, Content: string(message.Content)}
	}
	return engine.ChatPrompt(messages)
}

func (b *completionBody) maxTokens() int {
	switch {
	case b.MaxCompletionTokens > 0:
		return b.MaxCompletionTokens
	case b.MaxTokens > 0:
		return b.MaxTokens
	default:
		return defaultMaxTokens
	}
}

// completion holds the parameters of a request that are needed for its response.
type completion struct {
	kind         endpoint
	id           string
	model        string
	promptHash   uint64
	promptTokens int
	maxTokens    int
	stream       bool
	usage        bool
}

func (e *Engine) serveChat(writer http.ResponseWriter, request *http.Request) {
	e.serveEndpoint(writer, request, endpointChat)
}

func (e *Engine) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	e.serveEndpoint(writer, request, endpointCompletion)
}

func (e *Engine) serveEndpoint(writer http.ResponseWriter, request *http.Request, kind endpoint) {
	request.Body = http.MaxBytesReader(writer, request.Body, maxBody)
	var body completionBody
	if !readJSON(writer, request, &body) {
		return
	}
	if body.N > 1 {
		writeError(writer, http.StatusBadRequest, "invalid_request_error", "one choice at a time is supported; leave n out")
		return
	}
	prompt := body.prompt(kind)
	call := &completion{
		kind:         kind,
		id:           request.Header.Get(HeaderRequestID),
		model:        body.Model,
		promptHash:   engine.PromptHash(prompt),
		promptTokens: engine.PromptTokens(prompt),
		maxTokens:    body.maxTokens(),
		stream:       body.Stream,
		usage:        body.StreamOptions.IncludeUsage,
	}
	if call.id == "" {
		call.id = uuid.NewString()
	}
	submission := engine.Request{
		ID:               call.id,
		Model:            body.Model,
		Priority:         headerInt(request, HeaderPriority),
		BatchTokenBudget: headerInt(request, HeaderBatchTokenBudget),
		PromptTokens:     call.promptTokens,
		MaxTokens:        call.maxTokens,
		Blocks:           engine.BlockHashes(prompt),
		Payload:          call,
	}
	reader, refusal := e.driver.submit(submission)
	if refusal != engine.RefusalNone {
		writeRefusal(writer, refusal)
		return
	}
	e.journal.add(JournalEntry{
		ID:       call.id,
		Key:      request.Header.Get(HeaderIdempotencyKey),
		Path:     request.URL.Path,
		Model:    body.Model,
		Priority: submission.Priority,
	})
	e.respond(writer, request, call, reader, 0)
}

func headerInt(request *http.Request, name string) int {
	number, err := strconv.Atoi(request.Header.Get(name))
	if err != nil {
		return 0
	}
	return number
}

// writeRefusal writes the response to a request that the engine model refused.
func writeRefusal(writer http.ResponseWriter, refusal engine.Refusal) {
	message := "the engine refused the request before it ran: " + string(refusal)
	switch refusal {
	case engine.RefusalDead:
		panic(http.ErrAbortHandler)
	case engine.RefusalInvalid, engine.RefusalTooLong:
		writeNotRun(writer, http.StatusBadRequest, string(refusal), message)
	case engine.RefusalDuplicate:
		// The request with this ID runs or ran, so the response must not be marked as not run.
		writeError(writer, http.StatusConflict, string(refusal), "a request with this identity is known already")
	case engine.RefusalQueueFull:
		writeNotRun(writer, http.StatusTooManyRequests, string(refusal), message)
	default:
		writeNotRun(writer, http.StatusServiceUnavailable, string(refusal), message)
	}
}

// respond writes the response, starting after the token with sequence number offset.
func (e *Engine) respond(writer http.ResponseWriter, request *http.Request, call *completion, reader *stream, offset int) {
	if call.stream {
		e.stream(writer, request, call, reader, offset)
		return
	}
	for {
		switch streamState(reader.state.Load()) {
		case streamFinished:
			writeJSON(writer, http.StatusOK, call.response())
			return
		case streamCancelled:
			writeError(writer, statusClientClosed, "cancelled", "the request was cancelled")
			return
		case streamAborted:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-reader.changed:
		case <-request.Context().Done():
			e.driver.detach(call.id, reader)
			panic(http.ErrAbortHandler)
		}
	}
}
