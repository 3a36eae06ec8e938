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

// Paths of the completion endpoints.
const (
	pathChatCompletions = "/v1/chat/completions"
	pathCompletions     = "/v1/completions"
)

// messageText is the content of a chat message: in JSON a string or a list of
// parts.
type messageText string

// UnmarshalJSON concatenates the text parts of a list and ignores other parts.
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

// promptText is the prompt of a completion. It is empty if the prompt is not a
// string, such as a list of token IDs.
type promptText string

// UnmarshalJSON accepts a string and ignores other types.
func (t *promptText) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, (*string)(t))
	}
	return nil
}

// completionRequest holds the fields of a completion's body that the gateway reads.
// The engine gets the body unchanged.
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

// parseCompletion parses and validates the body of a completion.
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

// deterministic reports whether another run would produce the same tokens.
func (r *completionRequest) deterministic() bool {
	return r.Seed != nil || (r.Temperature != nil && *r.Temperature == 0)
}

// prompt returns the prompt text that an engine derives from the request.
func (r *completionRequest) prompt() string {
	if len(r.Messages) == 0 {
		return string(r.Prompt)
	}
	messages := make([]engine.Message, len(r.Messages))
	for i, message := range r.Messages {
		messages[i] = engine.Message{Role: message.Role, Content: string(message.Content)}
	}
	return engine.ChatPrompt(messages)
}

// wanted returns the model and what the request requires of a back end.
func (r *completionRequest) wanted(index *configuration.Index) (serverview.Requirements, *rockwindpb.Model, error) {
	model, adapter, found := index.ResolveModel(r.Model)
	if !found {
		return serverview.Requirements{}, nil, fault.Newf(fault.NotFound, "name a model that GET /v1/models lists",
			"there is no model %q", r.Model).WithRan(fault.NotRun)
	}
	prompt := r.prompt()
	hashes := engine.BlockHashes(prompt[:min(len(prompt), routing.MaxPrefixBlocks*engine.BlockBytes)])
	return serverview.Requirements{
		Model: model.GetName(), Adapter: adapter, PromptTokens: engine.PromptTokens(prompt),
		Prefixes:    routing.PrefixesOf(hashes, engine.TokensPerBlock, nil),
		AffinityKey: routing.AffinityKeyOf(hashes),
	}, model, nil
}

// withModel returns the body with the model name replaced.
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

// prefixHash returns the hash of the longest prefix in hexadecimal, which engines
// get in a header.
func prefixHash(prefixes []routing.Prefix) string {
	if len(prefixes) == 0 {
		return ""
	}
	return strconv.FormatUint(prefixes[0].Block, 16)
}
