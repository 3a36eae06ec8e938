// Package caller is the bench's client of the gateways' HTTP API. It does not
// retry on its own and reports exactly what the gateway said, so that
// experiments can judge each answer.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Headers that callers set or read.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	headerRepeatable     = "X-Repeatable"
)

// Caller calls gateways as one tenant.
type Caller struct {
	// Client makes the calls.
	Client *http.Client
	// Key is the tenant's API key.
	Key string
}

// Refusal is a typed error answer.
type Refusal struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Kind, Message and Remedy are as the gateway gave them.
	Kind    string `json:"type"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// Ran is "not_run", "outcome_unknown" or empty.
	Ran string `json:"ran"`
	// RetryAfterMs is when to come back; zero means no advice.
	RetryAfterMs int64 `json:"retry_after_ms"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("status %d, %s (%s): %s; %s", r.Status, r.Kind, r.Ran, r.Message, r.Remedy)
}

// RanNotRun is the value of Refusal.Ran for a request that did not run.
const RanNotRun = "not_run"

// IsNotRun tells whether the error says that the request did not run.
func IsNotRun(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Ran == RanNotRun
}

// Request is one call of a gateway.
type Request struct {
	// Method and URL of the call.
	Method, URL string
	// ContentType and Body may be empty.
	ContentType string
	Body        []byte
	// IdempotencyKey, RequestID are sent where they are not empty.
	IdempotencyKey, RequestID string
	// NotRepeatable marks a request that may run at most once.
	NotRepeatable bool
}

// Do makes a call and returns the body of a successful answer.
func (c *Caller) Do(ctx context.Context, call Request) ([]byte, error) {
	response, err := c.open(ctx, call)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	return body, nil
}

// open sends a call and turns an error answer into a Refusal.
func (c *Caller) open(ctx context.Context, call Request) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	setWhere(request.Header, "Content-Type", call.ContentType)
	setWhere(request.Header, headerIdempotencyKey, call.IdempotencyKey)
	setWhere(request.Header, headerRequestID, call.RequestID)
	if call.NotRepeatable {
		request.Header.Set(headerRepeatable, "false")
	}
	response, err := c.Client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call gateway")
	}
	if response.StatusCode >= http.StatusBadRequest {
		defer response.Body.Close()
		return nil, decodeRefusal(response)
	}
	return response, nil
}

func setWhere(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// maximumErrorBody bounds how much of an error answer is read.
const maximumErrorBody = 64 << 10

func decodeRefusal(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumErrorBody))
	if err != nil {
		return errors.Wrapf(err, "read error answer with status %d", response.StatusCode)
	}
	var envelope struct {
		Error Refusal `json:"error"`
	}
	if err := json.Unmarshal(body, &envelope); err != nil {
		return errors.Newf("status %d with an untyped error: %s", response.StatusCode, body)
	}
	envelope.Error.Status = response.StatusCode
	return &envelope.Error
}

// File is an uploaded file.
type File struct {
	ID string `json:"id"`
}

// Upload stores a file of batch input.
func (c *Caller) Upload(ctx context.Context, gateway, name string, content []byte) (File, error) {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	if err := form.WriteField("purpose", "batch"); err != nil {
		return File{}, err
	}
	part, err := form.CreateFormFile("file", name)
	if err != nil {
		return File{}, err
	}
	if _, err := part.Write(content); err != nil {
		return File{}, err
	}
	if err := form.Close(); err != nil {
		return File{}, err
	}
	return decode[File](c.Do(ctx, Request{
		Method: http.MethodPost, URL: gateway + "/v1/files",
		ContentType: form.FormDataContentType(), Body: body.Bytes(),
	}))
}

// Batch is a batch job as the API shows it.
type Batch struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	OutputFileID string `json:"output_file_id"`
	ErrorFileID  string `json:"error_file_id"`
	Counts       struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// Ended tells whether the batch will not change any more.
func (b Batch) Ended() bool {
	switch b.Status {
	case "completed", "failed", "cancelled", "expired":
		return true
	default:
		return false
	}
}

// Submit creates a batch job under a client's key.
func (c *Caller) Submit(ctx context.Context, gateway, fileID, clientKey string) (Batch, error) {
	body, err := json.Marshal(struct {
		InputFileID string `json:"input_file_id"`
		Endpoint    string `json:"endpoint"`
		Window      string `json:"completion_window"`
	}{fileID, "/v1/chat/completions", "24h"})
	if err != nil {
		return Batch{}, err
	}
	return decode[Batch](c.Do(ctx, Request{
		Method: http.MethodPost, URL: gateway + "/v1/batches",
		ContentType: "application/json", Body: body, IdempotencyKey: clientKey,
	}))
}

// GetBatch reads a batch job.
func (c *Caller) GetBatch(ctx context.Context, gateway, id string) (Batch, error) {
	return decode[Batch](c.Do(ctx, Request{Method: http.MethodGet, URL: gateway + "/v1/batches/" + id}))
}

// CancelBatch cancels a batch job.
func (c *Caller) CancelBatch(ctx context.Context, gateway, id string) (Batch, error) {
	return decode[Batch](c.Do(ctx, Request{Method: http.MethodPost, URL: gateway + "/v1/batches/" + id + "/cancel"}))
}

// Content reads a file.
func (c *Caller) Content(ctx context.Context, gateway, fileID string) ([]byte, error) {
	return c.Do(ctx, Request{Method: http.MethodGet, URL: gateway + "/v1/files/" + fileID + "/content"})
}

func decode[T any](body []byte, err error) (T, error) {
	var value T
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, errors.Wrapf(err, "decode answer %q", body)
	}
	return value, nil
}
