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

// Outcome is how a call ended.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeOK: the answer is whole and its own.
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun: refused, and stated not to have run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeLimited: refused with 429 without a statement that it did not run.
	OutcomeLimited Outcome = "limited"
	// OutcomeUnknown: the answer says that the request may have run.
	OutcomeUnknown Outcome = "outcome_unknown"
	// OutcomeTruncated: the answer ended early.
	OutcomeTruncated Outcome = "truncated"
	// OutcomeWrong: the answer is not that of the request.
	OutcomeWrong Outcome = "wrong_answer"
	// OutcomeConnection: no answer, the connection failed.
	OutcomeConnection Outcome = "connection"
	// OutcomeTimeout: no whole answer in time.
	OutcomeTimeout Outcome = "timeout"
	// OutcomeClientError: any other status below 500.
	OutcomeClientError Outcome = "client_error"
	// OutcomeServerError: any other status from 500.
	OutcomeServerError Outcome = "server_error"
)

// Call is one request to send.
type Call struct {
	// Target is the address, "ip:port".
	Target string
	APIKey string
	// Path is the path of a service; empty for a chat completion.
	Path      string
	Model     string
	Content   string
	MaxTokens int
	Stream    bool
	// ID is sent as X-Request-Id when it is set; IdempotencyKey likewise.
	ID             string
	IdempotencyKey string
	Priority       int
}

// Measurement is what a call gave. Times count from the intended start.
type Measurement struct {
	Outcome Outcome
	Status  int
	// Detail is the error's text.
	Detail string
	Tokens int
	// FirstToken is zero for an answer that is not streamed.
	FirstToken time.Duration
	Latency    time.Duration
	// Gaps are the times between events with tokens.
	Gaps []time.Duration
	// RetryAfter is the advice that came with a refusal.
	RetryAfter time.Duration
}

// Client sends calls.
type Client struct {
	client *http.Client
}

// NewClient returns a client that keeps up to the given number of connections
// to each target.
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

// Close drops idle connections.
func (c *Client) Close() {
	c.client.CloseIdleConnections()
}

type chatRequest struct {
	Model     string           `json:"model"`
	Messages  []engine.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream,omitempty"`
}

// Body returns the body of the chat completion that the call sends.
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
	return body, errors.Wrap(err, "encode the request")
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
		return nil, errors.Wrap(err, "make the request")
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

// Do sends a call and reads its answer to the end. Times count from intended.
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
		return failed(err, OutcomeConnection)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refused(response)
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
		failure := failed(err, OutcomeTruncated)
		measured.Outcome, measured.Detail = failure.Outcome, failure.Detail
		return measured
	}
	measured.Outcome = OutcomeOK
	// What follows the end lets the connection be used again.
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

func failed(err error, otherwise Outcome) Measurement {
	outcome := otherwise
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

// refusal is the error object of an answer.
type refusal struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

// refused classifies an answer that is not 200.
func refused(response *http.Response) Measurement {
	const errorLimit = 64 << 10
	data, _ := io.ReadAll(io.LimitReader(response.Body, errorLimit))
	var body refusal
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
