package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rockwind.example/rockwind/internal/engine"
)

// Headers of the engine protocol.
const (
	HeaderRequestID        = "X-Request-Id"
	HeaderPriority         = "X-Priority"
	HeaderBatchTokenBudget = "X-Batch-Token-Budget"
	HeaderNotRun           = "X-Not-Run"
	HeaderBlock            = "X-Block"
	HeaderIdempotencyKey   = "Idempotency-Key"
)

// LoadReport is the body of GET /load.
type LoadReport struct {
	Sequence       uint64   `json:"sequence"`
	AtMs           int64    `json:"at_ms"`
	RunningOnline  int      `json:"running_online"`
	RunningBatch   int      `json:"running_batch"`
	Waiting        int      `json:"waiting"`
	KVUsedPermille int      `json:"kv_used_permille"`
	StepUs         int64    `json:"step_us"`
	Loaded         []string `json:"loaded"`
	Role           string   `json:"role"`
	Draining       bool     `json:"draining"`
}

// CacheEvent is one event of GET /cache_events.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Block    string `json:"block"`
}

// CacheEvents is the body of GET /cache_events.
type CacheEvents struct {
	Epoch  uint64       `json:"epoch"`
	First  uint64       `json:"first"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheSnapshot is the body of GET /cache_snapshot.
type CacheSnapshot struct {
	Epoch  uint64   `json:"epoch"`
	Next   uint64   `json:"next"`
	Blocks []string `json:"blocks"`
}

// FaultRequest is the body of POST /fault; durations are in milliseconds.
type FaultRequest struct {
	Kind       engine.FaultKind `json:"kind"`
	DurationMs int64            `json:"duration_ms,omitempty"`
	Factor     float64          `json:"factor,omitempty"`
	Count      int              `json:"count,omitempty"`
	Tokens     int              `json:"tokens,omitempty"`
}

// Fault returns the fault for the engine model.
func (r FaultRequest) Fault() engine.Fault {
	return engine.Fault{
		Kind:     r.Kind,
		Duration: time.Duration(r.DurationMs) * time.Millisecond,
		Factor:   r.Factor,
		Count:    r.Count,
		Tokens:   r.Tokens,
	}
}

// ResumeRequest is the body of POST /v1/requests/{id}/resume.
type ResumeRequest struct {
	Offset int `json:"offset"`
}

// CancelResponse is the response body of DELETE /v1/requests/{id}, pause and unpause.
type CancelResponse struct {
	Cancelled bool `json:"cancelled"`
}

// FenceResponse is the response body of POST /orders.
type FenceResponse struct {
	Fence uint64 `json:"fence"`
}

// DrainRequest is the body of POST /drain.
type DrainRequest struct {
	Draining bool `json:"draining"`
}

// ErrorResponse is the response body of a failed request.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// formatBlock encodes a block hash as hexadecimal, as the protocol requires.
func formatBlock(hash uint64) string {
	return strconv.FormatUint(hash, 16)
}

func parseBlock(text string) (uint64, error) {
	return strconv.ParseUint(text, 16, 64)
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(data)))
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}

func writeError(writer http.ResponseWriter, status int, kind, message string) {
	writeJSON(writer, status, ErrorResponse{Error: ErrorDetail{Message: message, Type: kind}})
}

// writeNotRun writes an error and marks the request as not run.
func writeNotRun(writer http.ResponseWriter, status int, kind, message string) {
	writer.Header().Set(HeaderNotRun, "true")
	writer.Header().Set("Retry-After", "1")
	writeError(writer, status, kind, message)
}

// readJSON decodes a request body, or responds with status 400 and returns false.
func readJSON(writer http.ResponseWriter, request *http.Request, into any) bool {
	if err := json.NewDecoder(request.Body).Decode(into); err != nil {
		writeError(writer, http.StatusBadRequest, "invalid_request_error", "the body is not valid JSON: "+err.Error())
		return false
	}
	return true
}
