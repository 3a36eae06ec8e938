package standin

import (
	"net/http"
	"strconv"
	"time"

	"rockwind.example/rockwind/internal/engine"
)

// statusClientClosed is the HTTP status of a cancelled request.
const statusClientClosed = 499

// finishReason is the finish reason of all responses: they have the requested length.
const finishReason = "length"

// Usage is the usage object of a response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one choice of a non-streaming response.
type Choice struct {
	Index        int             `json:"index"`
	Message      *engine.Message `json:"message,omitempty"`
	Text         string          `json:"text,omitempty"`
	FinishReason string          `json:"finish_reason"`
}

// Completion is a non-streaming response.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

func (c *completion) usageObject() Usage {
	return Usage{
		PromptTokens:     c.promptTokens,
		CompletionTokens: c.maxTokens,
		TotalTokens:      c.promptTokens + c.maxTokens,
	}
}

// response returns the non-streaming response.
func (c *completion) response() Completion {
	text := engine.ExpectedRange(c.promptHash, 1, c.maxTokens)
	result := Completion{ID: c.id, Object: "text_completion", Created: time.Now().Unix(), Model: c.model, Usage: c.usageObject()}
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

// chunkWriter encodes the events of one stream. The constant part of the chunks is
// encoded only once.
type chunkWriter struct {
	call        *completion
	chunkPrefix []byte
	buffer      []byte
	// written is the sequence number of the last token written.
	written int
}

func newChunkWriter(call *completion, offset int) *chunkWriter {
	object := "text_completion"
	if call.kind == endpointChat {
		object = "chat.completion.chunk"
	}
	chunkPrefix := []byte(`data: {"id":`)
	chunkPrefix = strconv.AppendQuote(chunkPrefix, call.id)
	chunkPrefix = append(chunkPrefix, `,"object":"`+object+`","created":`...)
	chunkPrefix = strconv.AppendInt(chunkPrefix, time.Now().Unix(), 10)
	chunkPrefix = append(chunkPrefix, `,"model":`...)
	chunkPrefix = strconv.AppendQuote(chunkPrefix, call.model)
	return &chunkWriter{call: call, chunkPrefix: chunkPrefix, written: offset}
}

// appendEvent appends an event with the tokens up to last.
func (w *chunkWriter) appendEvent(last int) {
	first := w.written + 1
	w.buffer = append(w.buffer, "id: "...)
	w.buffer = strconv.AppendInt(w.buffer, int64(last), 10)
	w.buffer = append(w.buffer, '\n')
	w.buffer = append(w.buffer, w.chunkPrefix...)
	switch {
	case w.call.kind == endpointCompletion:
		w.buffer = append(w.buffer, `,"choices":[{"index":0,"text":"`...)
	case first == 1:
		w.buffer = append(w.buffer, `,"choices":[{"index":0,"delta":{"role":"assistant","content":"`...)
	default:
		w.buffer = append(w.buffer, `,"choices":[{"index":0,"delta":{"content":"`...)
	}
	for sequence := first; sequence <= last; sequence++ {
		w.buffer = append(w.buffer, engine.ExpectedToken(w.call.promptHash, sequence)...)
	}
	w.buffer = append(w.buffer, '"')
	if w.call.kind == endpointChat {
		w.buffer = append(w.buffer, '}')
	}
	if last == w.call.maxTokens {
		w.buffer = append(w.buffer, `,"finish_reason":"`+finishReason+`"}]}`...)
	} else {
		w.buffer = append(w.buffer, `,"finish_reason":null}]}`...)
	}
	w.buffer = append(w.buffer, "\n\n"...)
	w.written = last
}

// appendEnd appends the usage, if requested, and the end marker.
func (w *chunkWriter) appendEnd() {
	if w.call.usage {
		usage := w.call.usageObject()
		w.buffer = append(w.buffer, w.chunkPrefix...)
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

// stream writes server-sent events while the model produces tokens.
func (e *Engine) stream(writer http.ResponseWriter, request *http.Request, call *completion, reader *stream, offset int) {
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(HeaderRequestID, call.id)
	writer.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(writer)
	chunks := newChunkWriter(call, offset)
	for {
		// Loads the state first: all tokens are counted before the state is set.
		state := streamState(reader.state.Load())
		e.appendTokens(chunks, int(reader.produced.Load()))
		if state == streamFinished {
			chunks.appendEnd()
		}
		if len(chunks.buffer) > 0 {
			_, writeError := writer.Write(chunks.buffer)
			if writeError == nil {
				writeError = flusher.Flush()
			}
			chunks.buffer = chunks.buffer[:0]
			if writeError != nil {
				e.driver.detach(call.id, reader)
				panic(http.ErrAbortHandler)
			}
		}
		switch state {
		case streamFinished:
			return
		case streamCancelled, streamAborted:
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

// appendTokens appends the events for the tokens up to last.
func (e *Engine) appendTokens(chunks *chunkWriter, last int) {
	if !e.options.EventPerToken {
		if last > chunks.written {
			chunks.appendEvent(last)
		}
		return
	}
	for chunks.written < last {
		chunks.appendEvent(chunks.written + 1)
	}
}
