package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/engine"
)

// Outcome classifies the result of a call.
type Outcome string

const (
	// OutcomeOK: the answer is complete and correct.
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun: the request was refused and marked as not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeLimited: the status is 429, and the request isn't marked as not run.
	OutcomeLimited Outcome = "limited"
	// OutcomeUnknown: the response states that the request may have run.
	OutcomeUnknown Outcome = "outcome_unknown"
	// OutcomeTruncated: the answer is incomplete.
	OutcomeTruncated Outcome = "truncated"
	// OutcomeWrong: the answer doesn't match the request.
	OutcomeWrong Outcome = "wrong_answer"
	// OutcomeConnection: the connection failed before a response.
	OutcomeConnection Outcome = "connection"
	// OutcomeTimeout: the answer wasn't complete in time.
	OutcomeTimeout Outcome = "timeout"
	// OutcomeClientError: any other status below 500.
	OutcomeClientError Outcome = "client_error"
	// OutcomeServerError: any other status from 500 on.
	OutcomeServerError Outcome = "server_error"
)

// Call is one request to send.
type Call struct {
	// Target is the address as ip:port.
	Target string
	APIKey string
	// Path is the path of a service; empty for a chat completion.
	Path      string
	Model     string
	Content   string
	MaxTokens int
	Stream    bool
	// ID is sent as X-Request-Id and IdempotencyKey as Idempotency-Key, if set.
	ID             string
	IdempotencyKey string
	Priority       int
}

// Measurement is the result of a call. Times count from the intended start.
type Measurement struct {
	Outcome Outcome
	Status  int
	// Detail is the error message.
	Detail string
	Tokens int
	// FirstToken is the time to the first token; zero for an answer that isn't streamed.
	FirstToken time.Duration
	Latency    time.Duration
	// Gaps are the times between successive events with tokens.
	Gaps []time.Duration
	// RetryAfter is the Retry-After delay of a refused request.
	RetryAfter time.Duration
}

// Client sends calls over persistent connections.
type Client struct {
	client *http.Client
}

// NewClient returns a client that keeps up to the given number of idle connections to each
// target.
func NewClient(connections int, timeout time.Duration) *Client {
	dialer := &net.Dialer{Timeout: 5 * time.Second}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{client: &http.Client{Transport: transport, Timeout: timeout}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.client.CloseIdleConnections()
}

type chatRequest struct {
	Model     string           `json:"model"`
	Messages  []engine.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream,omitempty"`
}

// Body returns the request body: Content for a service, else a chat completion request.
func (c Call) Body() ([]byte, error) {
	if c.Path != "" {
		return []byte(c.Content), nil
	}
	body, err := json.Marshal(chatRequest{
		Model:     c.Model,
		Messages:  []engine.Message{{Role: "user", Content: c.Content}},
		MaxTokens: c.MaxTokens,
		Stream:    c.Stream,
	})
	return body, errors.Wrap(err, "encode request")
}

func (c Call) request(ctx context.Context) (*http.Request, error) {
	body, err := c.Body()
	if err != nil {
		return nil, err
	}
	path := c.Path
	if path == "" {
		path = "/v1/chat/completions"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Target+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	request.Header.Set("Content-Type", "application/json")
	if c.APIKey != "" {
		request.Header.Set("Authorization", "Bearer "+c.APIKey)
	}
	if c.ID != "" {
		request.Header.Set("X-Request-Id", c.ID)
	}
	if c.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.IdempotencyKey)
	}
	if c.Priority != 0 {
		request.Header.Set("X-Priority", strconv.Itoa(c.Priority))
	}
	return request, nil
}

// Do sends a call and reads the whole answer. Times count from the intended start.
func (c *Client) Do(ctx context.Context, call Call, intended time.Time) Measurement {
	measured := c.exchange(ctx, call, intended)
	measured.Latency = time.Since(intended)
	return measured
}

func (c *Client) exchange(ctx context.Context, call Call, intended time.Time) Measurement {
	request, err := call.request(ctx)
	if err != nil {
		return Measurement{Outcome: OutcomeClientError, Detail: err.Error()}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return classifyError(err, OutcomeConnection)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return classifyRefusal(response)
	}
	measured := Measurement{Status: response.StatusCode}
	switch {
	case call.Path != "":
		err = readService(response.Body, call)
	case call.Stream:
		err = measured.readStream(response.Body, call, intended)
	default:
		measured.Tokens, err = ReadAnswer(response.Body, engine.UserPrompt(call.Content), call.MaxTokens)
	}
	if err != nil {
		failure := classifyError(err, OutcomeTruncated)
		measured.Outcome, measured.Detail = failure.Outcome, failure.Detail
		return measured
	}
	measured.Outcome = OutcomeOK
	// Reading to the end lets the connection be reused.
	_, _ = io.Copy(io.Discard, response.Body)
	return measured
}

func (m *Measurement) readStream(body io.Reader, call Call, intended time.Time) error {
	var last time.Time
	tokens, err := ReadStream(body, engine.UserPrompt(call.Content), call.MaxTokens, func(int) {
		now := time.Now()
		if last.IsZero() {
			m.FirstToken = now.Sub(intended)
		} else {
			m.Gaps = append(m.Gaps, now.Sub(last))
		}
		last = now
	})
	m.Tokens = tokens
	return err
}

func classifyError(err error, fallback Outcome) Measurement {
	outcome := fallback
	var network net.Error
	switch {
	case errors.Is(err, ErrWrong):
		outcome = OutcomeWrong
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &network) && network.Timeout(),
		strings.Contains(err.Error(), "Client.Timeout"):
		outcome = OutcomeTimeout
	}
	return Measurement{Outcome: outcome, Detail: err.Error()}
}

// errorBody is the body of an error response.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

// classifyRefusal classifies a response with a status other than 200.
func classifyRefusal(response *http.Response) Measurement {
	const errorLimit = 64 << 10
	data, _ := io.ReadAll(io.LimitReader(response.Body, errorLimit))
	var body errorBody
	_ = json.Unmarshal(data, &body)
	measured := Measurement{
		Status: response.StatusCode,
		Detail: fmt.Sprintf("%d %s: %s", response.StatusCode, body.Error.Type, body.Error.Message),
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		measured.RetryAfter = time.Duration(seconds) * time.Second
	}
	switch {
	case body.Error.Ran == "not_run", response.Header.Get("X-Not-Run") == "true":
		measured.Outcome = OutcomeNotRun
	case body.Error.Ran == "outcome_unknown":
		measured.Outcome = OutcomeUnknown
	case response.StatusCode == http.StatusTooManyRequests:
		measured.Outcome = OutcomeLimited
	case response.StatusCode < http.StatusInternalServerError:
		measured.Outcome = OutcomeClientError
	default:
		measured.Outcome = OutcomeServerError
	}
	return measured
}
