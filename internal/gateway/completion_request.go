package gateway

import (
	"encoding/json"
	"strconv"
	"strings"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/routing"
	"rockwind.example/rockwind/internal/serverview"
)

// Paths of completions.
const (
	pathChatCompletions = "/v1/chat/completions"
	pathCompletions     = "/v1/completions"
)

// messageText is the content of a message: a string or a list of parts.
type messageText string

// UnmarshalJSON joins the text parts of a list; other parts count as nothing.
func (t *messageText) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '[' {
		return json.Unmarshal(data, (*string)(t))
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
	*t = messageText(text.String())
	return nil
}

// promptText is the prompt of a completion: a string, or other forms that
// only the engine reads.
type promptText string

// UnmarshalJSON takes a string and ignores the rest.
func (t *promptText) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, (*string)(t))
	}
	return nil
}

// completionRequest is the part of a completion's body that the gateway reads.
// Everything else goes to the engine as it came.
type completionRequest struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string      `json:"role"`
		Content messageText `json:"content"`
	} `json:"messages"`
	Prompt      promptText `json:"prompt"`
	Temperature *float64   `json:"temperature"`
	Seed        *int64     `json:"seed"`
}

// parseCompletion reads and checks the body of a completion.
func parseCompletion(body []byte) (*completionRequest, error) {
	parsed := &completionRequest{}
	if err := json.Unmarshal(body, parsed); err != nil {
		return nil, invalid("send the published shape", "the body is not a valid request: %v", err)
	}
	if parsed.Model == "" {
		return nil, invalid("name a model; GET /v1/models lists them", "the request names no model")
	}
	return parsed, nil
}

// deterministic tells whether a second run gives the same tokens.
func (r *completionRequest) deterministic() bool {
	return r.Seed != nil || (r.Temperature != nil && *r.Temperature == 0)
}

// promptText is the prompt as an engine makes it of the request.
func (r *completionRequest) promptText() string {
	if len(r.Messages) == 0 {
		return string(r.Prompt)
	}
	messages := make([]engine.Message, len(r.Messages))
	for number, message := range r.Messages {
		messages[number] = engine.Message{Role: message.Role, Content: string(message.Content)}
	}
	return engine.ChatPrompt(messages)
}

// wanted is what the request needs of a back end.
func (r *completionRequest) wanted(index *configuration.Index) (serverview.Requirements, *rockwindpb.Model, error) {
	model, adapter, found := index.ResolveModel(r.Model)
	if !found {
		return serverview.Requirements{}, nil, fault.Newf(fault.NotFound, "name a model that GET /v1/models lists",
			"there is no model %q", r.Model).WithRan(fault.NotRun)
	}
	prompt := r.promptText()
	hashes := engine.BlockHashes(prompt[:min(len(prompt), routing.MaxPrefixBlocks*engine.BlockBytes)])
	return serverview.Requirements{
		Model: model.GetName(), Adapter: adapter, PromptTokens: engine.PromptTokens(prompt),
		Prefixes:    routing.PrefixesOf(hashes, engine.TokensPerBlock, nil),
		AffinityKey: routing.AffinityKeyOf(hashes),
	}, model, nil
}

// withModel returns the body with another model name.
func withModel(body []byte, model string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(model)
	if err != nil {
		return nil, err
	}
	fields["model"] = encoded
	return json.Marshal(fields)
}

// prefixHash is the hint for the engine: the longest prefix, in hexadecimal.
func prefixHash(found []routing.Prefix) string {
	if len(found) == 0 {
		return ""
	}
	return strconv.FormatUint(found[0].Block, 16)
}
