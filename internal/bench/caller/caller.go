// Package caller is the HTTP client of the gateway API for benchmarks. It does not
// retry, and it returns errors as the gateway sent them, so that experiments can
// evaluate each answer.
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

// Request headers of the gateway API.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	headerRepeatable     = "X-Repeatable"
)

// Caller is a client of the gateway API for one tenant.
type Caller struct {
	Client *http.Client
	// Key is the tenant's API key.
	Key string
}

// Refusal is an error response of the gateway API.
type Refusal struct {
	// Status is the HTTP status.
	Status int `json:"-"`
	// Kind, Message and Remedy are the gateway's description of the error.
	Kind    string `json:"type"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// Ran says whether the request ran: "not_run", "outcome_unknown" or empty.
	Ran string `json:"ran"`
	// RetryAfterMs is the recommended delay of a retry; zero means none was given.
	RetryAfterMs int64 `json:"retry_after_ms"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("status %d, %s (%s): %s; %s", r.Status, r.Kind, r.Ran, r.Message, r.Remedy)
}

// RanNotRun is the value of Refusal.Ran for a request that did not run.
const RanNotRun = "not_run"

// IsNotRun reports whether the error is a refusal that says that the request did
// not run.
func IsNotRun(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Ran == RanNotRun
}

// Request is a call to a gateway.
type Request struct {
	Method, URL string
	// ContentType and Body may be empty.
	ContentType string
	Body        []byte
	// IdempotencyKey and RequestID are sent if not empty.
	IdempotencyKey, RequestID string
	// NotRepeatable marks a request that may run at most once.
	NotRepeatable bool
}

// Do makes a call and returns the body of a successful response.
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

// open sends a call and returns an error response as a Refusal.
func (c *Caller) open(ctx context.Context, call Request) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, call.URL, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	setNonEmpty(request.Header, "Content-Type", call.ContentType)
	setNonEmpty(request.Header, headerIdempotencyKey, call.IdempotencyKey)
	setNonEmpty(request.Header, headerRequestID, call.RequestID)
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

func setNonEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// maximumErrorBody bounds how many bytes of an error response are read.
const maximumErrorBody = 64 << 10

func decodeRefusal(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumErrorBody))
	if err != nil {
		return errors.Wrapf(err, "read error response with status %d", response.StatusCode)
	}
	var envelope struct {
		Error Refusal `json:"error"`
	}
	if err := json.Unmarshal(body, &envelope); err != nil {
		return errors.Newf("status %d with an undecodable error response: %s", response.StatusCode, body)
	}
	envelope.Error.Status = response.StatusCode
	return &envelope.Error
}

// File is an uploaded file.
type File struct {
	ID string `json:"id"`
}

// Upload stores a batch input file.
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

// Batch is a batch job in the API.
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

// Ended reports whether the batch is in a final state.
func (b Batch) Ended() bool {
	switch b.Status {
	case "completed", "failed", "cancelled", "expired":
		return true
	default:
		return false
	}
}

// Submit creates a batch job with the given idempotency key.
func (c *Caller) Submit(ctx context.Context, gateway, fileID, idempotencyKey string) (Batch, error) {
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
		ContentType: "application/json", Body: body, IdempotencyKey: idempotencyKey,
	}))
}

func (c *Caller) GetBatch(ctx context.Context, gateway, id string) (Batch, error) {
	return decode[Batch](c.Do(ctx, Request{Method: http.MethodGet, URL: gateway + "/v1/batches/" + id}))
}

func (c *Caller) CancelBatch(ctx context.Context, gateway, id string) (Batch, error) {
	return decode[Batch](c.Do(ctx, Request{Method: http.MethodPost, URL: gateway + "/v1/batches/" + id + "/cancel"}))
}

// Content returns the content of a file.
func (c *Caller) Content(ctx context.Context, gateway, fileID string) ([]byte, error) {
	return c.Do(ctx, Request{Method: http.MethodGet, URL: gateway + "/v1/files/" + fileID + "/content"})
}

func decode[T any](body []byte, err error) (T, error) {
	var value T
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, errors.Wrapf(err, "decode response %q", body)
	}
	return value, nil
}
