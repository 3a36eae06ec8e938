package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat completion request.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream,omitempty"`
}

// UserChat returns a chat request with one user message.
func UserChat(model, content string, maxTokens int, stream bool) ChatRequest {
	return ChatRequest{
		Model: model, MaxTokens: maxTokens, Stream: stream,
		Messages: []Message{{Role: "user", Content: content}},
	}
}

// ErrIncompleteStream is returned for an answer that ended without its terminal
// marker or finish reason and without an error from the gateway.
var ErrIncompleteStream = errors.New("the stream ended without its terminal marker")

// chunk holds the decoded fields of a streamed chunk or a complete answer.
type chunk struct {
	Choices []struct {
		Delta        Message `json:"delta"`
		Message      Message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	} `json:"choices"`
	Error *Refusal `json:"error"`
}

// Format of server-sent events.
const (
	dataPrefix     = "data:"
	terminalMarker = "[DONE]"
	// maximumEvent bounds the length of a line, in bytes.
	maximumEvent = 1 << 20
)

// Chat makes a chat call and returns the text of the answer. For a stream, it calls
// onToken for each chunk with text; onToken may be nil.
func (c *Caller) Chat(ctx context.Context, gateway, requestID string, body ChatRequest, onToken func()) (string, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return "", err
	}
	call := Request{
		Method: http.MethodPost, URL: gateway + "/v1/chat/completions",
		ContentType: "application/json", Body: encoded, RequestID: requestID,
	}
	if !body.Stream {
		return completeChat(c.Do(ctx, call))
	}
	response, err := c.open(ctx, call)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	return readStream(bufio.NewScanner(response.Body), onToken)
}

func completeChat(body []byte, err error) (string, error) {
	answer, err := decode[chunk](body, err)
	if err != nil {
		return "", err
	}
	if len(answer.Choices) == 0 || answer.Choices[0].FinishReason == "" {
		return "", ErrIncompleteStream
	}
	return answer.Choices[0].Message.Content, nil
}

func readStream(scanner *bufio.Scanner, onToken func()) (string, error) {
	scanner.Buffer(nil, maximumEvent)
	var text strings.Builder
	for scanner.Scan() {
		line := scanner.Bytes()
		if !bytes.HasPrefix(line, []byte(dataPrefix)) {
			continue
		}
		data := bytes.TrimSpace(line[len(dataPrefix):])
		if string(data) == terminalMarker {
			return text.String(), nil
		}
		event, err := decode[chunk](data, nil)
		if err != nil {
			return text.String(), err
		}
		if event.Error != nil {
			return text.String(), event.Error
		}
		if appendText(&text, event) && onToken != nil {
			onToken()
		}
	}
	if err := scanner.Err(); err != nil {
		return text.String(), errors.Wrap(errors.CombineErrors(ErrIncompleteStream, err), "read stream")
	}
	return text.String(), ErrIncompleteStream
}

func appendText(text *strings.Builder, event chunk) bool {
	if len(event.Choices) == 0 || event.Choices[0].Delta.Content == "" {
		return false
	}
	text.WriteString(event.Choices[0].Delta.Content)
	return true
}
