package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/engine"
)

// Errors of an answer.
var (
	// ErrTruncated: the answer is incomplete.
	ErrTruncated = errors.New("the answer is incomplete")
	// ErrWrong: the answer doesn't match the request.
	ErrWrong = errors.New("the answer does not match the request")
	// ErrInStream: the stream contains an error event.
	ErrInStream = errors.New("the stream contains an error")
)

var (
	dataPrefix    = []byte("data:")
	doneMarker    = []byte("[DONE]")
	contentMarker = []byte(`"content":"`)
	textMarker    = []byte(`"text":"`)
	errorMarker   = []byte(`"error"`)
)

// checker compares an answer incrementally with the expected one.
type checker struct {
	promptHash uint64
	// tokens is the number of tokens checked so far.
	tokens int
}

// next checks the next piece of the answer and returns its number of tokens.
func (c *checker) next(text string) (int, error) {
	before := c.tokens
	for text != "" {
		rest, found := strings.CutPrefix(text, engine.ExpectedToken(c.promptHash, c.tokens+1))
		if !found {
			return 0, errors.Wrapf(ErrWrong, "after token %d", c.tokens)
		}
		text = rest
		c.tokens++
	}
	return c.tokens - before, nil
}

// streamChunk is a chunk of a streamed chat or text completion.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text string `json:"text"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// ReadStream reads a stream of server-sent events to its end and checks that it is the
// complete answer to the prompt. It calls each for every event with tokens and returns the
// number of tokens.
func ReadStream(reader io.Reader, prompt string, maxTokens int, each func(tokens int)) (int, error) {
	lines := bufio.NewReaderSize(reader, 16<<10)
	check := checker{promptHash: engine.PromptHash(prompt)}
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return check.tokens, errors.Wrapf(ErrTruncated, "after %d of %d tokens: %v", check.tokens, maxTokens, err)
		}
		data, found := bytes.CutPrefix(line, dataPrefix)
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return check.tokens, checkLength(check.tokens, maxTokens)
		}
		text, err := chunkText(data)
		if err != nil {
			return check.tokens, err
		}
		tokens, err := check.next(text)
		if err != nil {
			return check.tokens, err
		}
		if tokens > 0 && each != nil {
			each(tokens)
		}
	}
}

func checkLength(tokens, maxTokens int) error {
	if tokens != maxTokens {
		return errors.Wrapf(ErrTruncated, "the answer ends after %d of %d tokens", tokens, maxTokens)
	}
	return nil
}

// chunkText returns the text of a chunk. It extracts plain text without decoding the JSON and
// decodes all other chunks.
func chunkText(data []byte) (string, error) {
	for _, marker := range [][]byte{contentMarker, textMarker} {
		_, after, found := bytes.Cut(data, marker)
		if !found {
			continue
		}
		end := bytes.IndexAny(after, `"\`)
		if end >= 0 && after[end] == '"' && !bytes.Contains(data, errorMarker) {
			return string(after[:end]), nil
		}
	}
	var chunk streamChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return "", errors.Wrapf(ErrWrong, "a chunk is not JSON: %v", err)
	}
	if len(chunk.Error) > 0 {
		return "", errors.Wrapf(ErrInStream, "%s", chunk.Error)
	}
	if len(chunk.Choices) == 0 {
		return "", nil
	}
	return chunk.Choices[0].Delta.Content + chunk.Choices[0].Text, nil
}

// completion is an unstreamed chat or text completion.
type completion struct {
	Choices []struct {
		Message      engine.Message `json:"message"`
		Text         string         `json:"text"`
		FinishReason string         `json:"finish_reason"`
	} `json:"choices"`
}

// ReadAnswer reads an unstreamed answer and checks that it is the complete answer to the
// prompt. It returns the number of tokens.
func ReadAnswer(reader io.Reader, prompt string, maxTokens int) (int, error) {
	data, err := io.ReadAll(reader)
	if err != nil {
		return 0, errors.Wrapf(ErrTruncated, "%v", err)
	}
	return CheckAnswer(data, prompt, maxTokens)
}

// CheckAnswer is like ReadAnswer for an answer that has been read.
func CheckAnswer(data []byte, prompt string, maxTokens int) (int, error) {
	var answer completion
	if err := json.Unmarshal(data, &answer); err != nil {
		return 0, errors.Wrapf(ErrTruncated, "%v", err)
	}
	if len(answer.Choices) != 1 || answer.Choices[0].FinishReason == "" {
		return 0, errors.Wrap(ErrTruncated, "no choice with a finish reason")
	}
	check := checker{promptHash: engine.PromptHash(prompt)}
	if _, err := check.next(answer.Choices[0].Message.Content + answer.Choices[0].Text); err != nil {
		return check.tokens, err
	}
	return check.tokens, checkLength(check.tokens, maxTokens)
}
