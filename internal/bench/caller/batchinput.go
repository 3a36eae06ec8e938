package caller

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// Item is one line of a batch input file.
type Item struct {
	CustomID string      `json:"custom_id"`
	Method   string      `json:"method"`
	URL      string      `json:"url"`
	Body     ChatRequest `json:"body"`
}

// BatchInput encodes items as a batch input file in JSON Lines format.
func BatchInput(items []Item) ([]byte, error) {
	var content bytes.Buffer
	encoder := json.NewEncoder(&content)
	for _, item := range items {
		if err := encoder.Encode(item); err != nil {
			return nil, errors.Wrapf(err, "encode item %s", item.CustomID)
		}
	}
	return content.Bytes(), nil
}

// ChatItem returns an item with a chat request of one user message.
func ChatItem(number int, model, content string, maxTokens int) Item {
	return Item{
		CustomID: fmt.Sprintf("item-%d", number), Method: "POST", URL: "/v1/chat/completions",
		Body: UserChat(model, content, maxTokens, false),
	}
}

// ItemOutput is the result of one item.
type ItemOutput struct {
	CustomID string
	// Text is the complete answer; empty for a failed item.
	Text   string
	Failed bool
}

// ParseOutput decodes a batch output file in JSON Lines format.
func ParseOutput(content []byte) ([]ItemOutput, error) {
	var outputs []ItemOutput
	for line := range bytes.Lines(content) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		output, err := parseOutputLine(line)
		if err != nil {
			return nil, err
		}
		outputs = append(outputs, output)
	}
	return outputs, nil
}

func parseOutputLine(line []byte) (ItemOutput, error) {
	var decoded struct {
		CustomID string `json:"custom_id"`
		Response *struct {
			StatusCode int   `json:"status_code"`
			Body       chunk `json:"body"`
		} `json:"response"`
	}
	if err := json.Unmarshal(line, &decoded); err != nil {
		return ItemOutput{}, errors.Wrapf(err, "decode output line %q", line)
	}
	output := ItemOutput{CustomID: decoded.CustomID}
	if decoded.Response == nil || len(decoded.Response.Body.Choices) == 0 {
		output.Failed = true
		return output, nil
	}
	output.Text = decoded.Response.Body.Choices[0].Message.Content
	return output, nil
}
