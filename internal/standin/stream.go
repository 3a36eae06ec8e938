package standin

import (
	"net/http"
	"strconv"
	"time"

	"rockwind.example/rockwind/internal/engine"
)

// statusClientClosed is the status of a request that was cancelled.
const statusClientClosed = 499

// finishReason is the reason of every end: answers have the asked length.
const finishReason = "length"

// Usage is the usage object of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one choice of an unstreamed answer.
type Choice struct {
	Index        int             `json:"index"`
	Message      *engine.Message `json:"message,omitempty"`
	Text         string          `json:"text,omitempty"`
	FinishReason string          `json:"finish_reason"`
}

// Completion is an unstreamed answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

func (c *completion) usageOf() Usage {
	return Usage{
		PromptTokens:     c.promptTokens,
		CompletionTokens: c.maxTokens,
		TotalTokens:      c.promptTokens + c.maxTokens,
	}
}

// whole returns the unstreamed answer.
func (c *completion) whole() Completion {
	text := engine.ExpectedRange(c.promptHash, 1, c.maxTokens)
	result := Completion{ID: c.id, Object: "text_completion", Created: time.Now().Unix(), Model: c.model, Usage: c.usageOf()}
	choice := Choice{FinishReason: finishReason}
	if c.kind == endpointChat {
		result.Object = "chat.completion"
		choice.Message = &engine.Message{Role: "assistant", Content: text}
	} else {
		choice.Text = text
	}
	result.Choices = []Choice{choice}
	return result
}

// chunkWriter writes the events of one stream. The parts of a chunk that do not
// change are made once.
type chunkWriter struct {
	answer *completion
	head   []byte
	buffer []byte
	// written is the sequence number of the last token written.
	written int
}

func newChunkWriter(answer *completion, offset int) *chunkWriter {
	object := "text_completion"
	if answer.kind == endpointChat {
		object = "chat.completion.chunk"
	}
	head := []byte(`data: {"id":`)
	head = strconv.AppendQuote(head, answer.id)
	head = append(head, `,"object":"`+object+`","created":`...)
	head = strconv.AppendInt(head, time.Now().Unix(), 10)
	head = append(head, `,"model":`...)
	head = strconv.AppendQuote(head, answer.model)
	return &chunkWriter{answer: answer, head: head, written: offset}
}

// tokens appends an event with the tokens up to last.
func (w *chunkWriter) tokens(last int) {
	first := w.written + 1
	w.buffer = append(w.buffer, "id: "...)
	w.buffer = strconv.AppendInt(w.buffer, int64(last), 10)
	w.buffer = append(w.buffer, '\n')
	w.buffer = append(w.buffer, w.head...)
	switch {
	case w.answer.kind == endpointCompletion:
		w.buffer = append(w.buffer, `,"choices":[{"index":0,"text":"`...)
	case first == 1:
		w.buffer = append(w.buffer, `,"choices":[{"index":0,"delta":{"role":"assistant","content":"`...)
	default:
		w.buffer = append(w.buffer, `,"choices":[{"index":0,"delta":{"content":"`...)
	}
	for sequence := first; sequence <= last; sequence++ {
		w.buffer = append(w.buffer, engine.ExpectedToken(w.answer.promptHash, sequence)...)
	}
	w.buffer = append(w.buffer, '"')
	if w.answer.kind == endpointChat {
		w.buffer = append(w.buffer, '}')
	}
	if last == w.answer.maxTokens {
		w.buffer = append(w.buffer, `,"finish_reason":"`+finishReason+`"}]}`...)
	} else {
		w.buffer = append(w.buffer, `,"finish_reason":null}]}`...)
	}
	w.buffer = append(w.buffer, "\n\n"...)
	w.written = last
}

// end appends what follows the last token.
func (w *chunkWriter) end() {
	if w.answer.usage {
		usage := w.answer.usageOf()
		w.buffer = append(w.buffer, w.head...)
		w.buffer = append(w.buffer, `,"choices":[],"usage":{"prompt_tokens":`...)
		w.buffer = strconv.AppendInt(w.buffer, int64(usage.PromptTokens), 10)
		w.buffer = append(w.buffer, `,"completion_tokens":`...)
		w.buffer = strconv.AppendInt(w.buffer, int64(usage.CompletionTokens), 10)
		w.buffer = append(w.buffer, `,"total_tokens":`...)
		w.buffer = strconv.AppendInt(w.buffer, int64(usage.TotalTokens), 10)
		w.buffer = append(w.buffer, "}}\n\n"...)
	}
	w.buffer = append(w.buffer, "data: [DONE]\n\n"...)
}

// stream writes server-sent events as the model produces tokens.
func (e *Engine) stream(writer http.ResponseWriter, request *http.Request, answer *completion, reader *stream, offset int) {
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(HeaderRequestID, answer.id)
	writer.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(writer)
	chunks := newChunkWriter(answer, offset)
	for {
		// The state is read before the count: tokens come before the end.
		state := streamState(reader.state.Load())
		e.appendTokens(chunks, int(reader.produced.Load()))
		if state == streamFinished {
			chunks.end()
		}
		if len(chunks.buffer) > 0 {
			_, writeError := writer.Write(chunks.buffer)
			if writeError == nil {
				writeError = flusher.Flush()
			}
			chunks.buffer = chunks.buffer[:0]
			if writeError != nil {
				e.driver.detach(answer.id, reader)
				panic(http.ErrAbortHandler)
			}
		}
		switch state {
		case streamFinished:
			return
		case streamCancelled, streamCut:
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

// appendTokens appends the events for the tokens up to last.
func (e *Engine) appendTokens(chunks *chunkWriter, last int) {
	if !e.options.EventPerToken {
		if last > chunks.written {
			chunks.tokens(last)
		}
		return
	}
	for chunks.written < last {
		chunks.tokens(chunks.written + 1)
	}
}
