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

// Failures of an answer.
var (
	// ErrTruncated: the answer ended before its end marker.
	ErrTruncated = errors.New("the answer is not whole")
	// ErrWrong: the answer holds text that is not its own.
	ErrWrong = errors.New("the answer is not its own")
	// ErrInStream: the stream carried an error in place of its end.
	ErrInStream = errors.New("the stream carried an error")
)

var (
	dataPrefix    = []byte("data:")
	doneMarker    = []byte("[DONE]")
	contentMarker = []byte(`"content":"`)
	textMarker    = []byte(`"text":"`)
	errorMarker   = []byte(`"error"`)
)

// checker compares an answer with the expected one, piece by piece.
type checker struct {
	promptHash uint64
	// tokens is how many tokens have been seen.
	tokens int
}

// take checks the next piece of the answer and returns how many tokens it has.
func (c *checker) take(text string) (int, error) {
	before := c.tokens
	for text != "" {
		rest, own := strings.CutPrefix(text, engine.ExpectedToken(c.promptHash, c.tokens+1))
		if !own {
			return 0, errors.Wrapf(ErrWrong, "after token %d", c.tokens)
		}
		text = rest
		c.tokens++
	}
	return c.tokens - before, nil
}

// streamChunk is a chunk of either kind of completion.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text string `json:"text"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// ReadStream reads a stream of server-sent events to its end, checks that it is
// the whole answer to the prompt, and calls each for every event with tokens.
// It returns the number of tokens.
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
		tokens, err := check.take(text)
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
		return errors.Wrapf(ErrTruncated, "it ends after %d of %d tokens", tokens, maxTokens)
	}
	return nil
}

// chunkText returns the text of a chunk. Plain text is cut out of the chunk;
// anything unusual is decoded.
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

// wholeAnswer is an unstreamed answer of either kind of completion.
type wholeAnswer struct {
	Choices []struct {
		Message      engine.Message `json:"message"`
		Text         string         `json:"text"`
		FinishReason string         `json:"finish_reason"`
	} `json:"choices"`
}

// ReadAnswer reads an unstreamed answer and checks that it is the whole answer to
// the prompt. It returns the number of tokens.
func ReadAnswer(reader io.Reader, prompt string, maxTokens int) (int, error) {
	data, err := io.ReadAll(reader)
	if err != nil {
		return 0, errors.Wrapf(ErrTruncated, "%v", err)
	}
	return CheckAnswer(data, prompt, maxTokens)
}

// CheckAnswer checks the bytes of an unstreamed answer like ReadWhole.
func CheckAnswer(data []byte, prompt string, maxTokens int) (int, error) {
	var answer wholeAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return 0, errors.Wrapf(ErrTruncated, "%v", err)
	}
	if len(answer.Choices) != 1 || answer.Choices[0].FinishReason == "" {
		return 0, errors.Wrap(ErrTruncated, "no choice with a finish reason")
	}
	check := checker{promptHash: engine.PromptHash(prompt)}
	if _, err := check.take(answer.Choices[0].Message.Content + answer.Choices[0].Text); err != nil {
		return check.tokens, err
	}
	return check.tokens, checkLength(check.tokens, maxTokens)
}
