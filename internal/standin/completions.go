package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"rockwind.example/rockwind/internal/engine"
)

// defaultMaxTokens is the length of an answer whose request names none.
const defaultMaxTokens = 16

// endpoint is the kind of completion.
type endpoint uint8

const (
	endpointChat endpoint = iota
	endpointCompletion
)

// chatContent is the content of a message: a string or a list of parts.
type chatContent string

// UnmarshalJSON joins the text parts of a list.
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

// completionBody is the body of both kinds of completion.
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

// prompt returns the text that the answer derives from.
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

// completion is a request with what its answer needs.
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
	e.serveKind(writer, request, endpointChat)
}

func (e *Engine) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	e.serveKind(writer, request, endpointCompletion)
}

func (e *Engine) serveKind(writer http.ResponseWriter, request *http.Request, kind endpoint) {
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
	answer := &completion{
		kind:         kind,
		id:           request.Header.Get(HeaderRequestID),
		model:        body.Model,
		promptHash:   engine.PromptHash(prompt),
		promptTokens: engine.PromptTokens(prompt),
		maxTokens:    body.maxTokens(),
		stream:       body.Stream,
		usage:        body.StreamOptions.IncludeUsage,
	}
	if answer.id == "" {
		answer.id = uuid.NewString()
	}
	submission := engine.Request{
		ID:               answer.id,
		Model:            body.Model,
		Priority:         headerNumber(request, HeaderPriority),
		BatchTokenBudget: headerNumber(request, HeaderBatchTokenBudget),
		PromptTokens:     answer.promptTokens,
		MaxTokens:        answer.maxTokens,
		Blocks:           engine.BlockHashes(prompt),
		Payload:          answer,
	}
	reader, refusal := e.driver.submit(submission)
	if refusal != engine.RefusalNone {
		refuse(writer, refusal)
		return
	}
	e.journal.add(JournalEntry{
		ID:       answer.id,
		Key:      request.Header.Get(HeaderIdempotencyKey),
		Path:     request.URL.Path,
		Model:    body.Model,
		Priority: submission.Priority,
	})
	e.answer(writer, request, answer, reader, 0)
}

func headerNumber(request *http.Request, name string) int {
	number, err := strconv.Atoi(request.Header.Get(name))
	if err != nil {
		return 0
	}
	return number
}

// refuse answers a request that the model did not accept.
func refuse(writer http.ResponseWriter, refusal engine.Refusal) {
	message := "the engine refused the request before it ran: " + string(refusal)
	switch refusal {
	case engine.RefusalDead:
		panic(http.ErrAbortHandler)
	case engine.RefusalInvalid, engine.RefusalTooLong:
		writeNotRun(writer, http.StatusBadRequest, string(refusal), message)
	case engine.RefusalDuplicate:
		// The request of that identity runs or ran: this is no refusal of it.
		writeError(writer, http.StatusConflict, string(refusal), "a request with this identity is known already")
	case engine.RefusalQueueFull:
		writeNotRun(writer, http.StatusTooManyRequests, string(refusal), message)
	default:
		writeNotRun(writer, http.StatusServiceUnavailable, string(refusal), message)
	}
}

// answer writes the answer after the token with sequence number offset.
func (e *Engine) answer(writer http.ResponseWriter, request *http.Request, answer *completion, reader *stream, offset int) {
	if answer.stream {
		e.stream(writer, request, answer, reader, offset)
		return
	}
	for {
		switch streamState(reader.state.Load()) {
		case streamFinished:
			writeJSON(writer, http.StatusOK, answer.whole())
			return
		case streamCancelled:
			writeError(writer, statusClientClosed, "cancelled", "the request was cancelled")
			return
		case streamCut:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-reader.changed:
		case <-request.Context().Done():
			e.driver.detach(answer.id, reader)
			panic(http.ErrAbortHandler)
		}
	}
}
