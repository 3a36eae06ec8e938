package batch

import (
	"encoding/json"
	"errors"
	"fmt"

	"rockwind.example/rockwind/internal/fault"
)

// errBodyCount is returned when a read yields a different number of bodies than
// was requested.
var errBodyCount = errors.New("body service returned a different number of bodies than requested")

// InputLine is one line of a batch's input file, in the format of the public batch API.
type InputLine struct {
	// CustomID is the caller's identifier for the item.
	CustomID string `json:"custom_id"`
	// Method is the HTTP method, always POST.
	Method string `json:"method"`
	// URL is the endpoint, for example /v1/chat/completions.
	URL string `json:"url"`
	// Body is the request.
	Body json.RawMessage `json:"body"`
}

// OutputLine is one line of a batch's output or error file, in the format of the
// public batch API.
type OutputLine struct {
	ID       string        `json:"id"`
	CustomID string        `json:"custom_id"`
	Response *LineResponse `json:"response"`
	Error    *LineError    `json:"error"`
}

// LineResponse is the HTTP response to one item.
type LineResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

// LineError says why an item has no response.
type LineError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// lineID returns the identifier of an item's output line.
func lineID(job string, item uint32) string {
	return fmt.Sprintf("batch_req_%s_%d", job, item)
}

// EncodeResponse returns the output line of an item that got a response. A body
// that is not JSON is encoded as a JSON string.
func EncodeResponse(job string, item uint32, customID string, status int, requestID string, body []byte) ([]byte, error) {
	if !json.Valid(body) {
		quoted, err := json.Marshal(string(body))
		if err != nil {
			return nil, err
		}
		body = quoted
	}
	return json.Marshal(OutputLine{
		ID: lineID(job, item), CustomID: customID,
		Response: &LineResponse{StatusCode: status, RequestID: requestID, Body: body},
	})
}

// EncodeError returns the error line of an item that ended without a response.
func EncodeError(job string, item uint32, customID string, why *fault.Fault) ([]byte, error) {
	return json.Marshal(OutputLine{
		ID: lineID(job, item), CustomID: customID,
		Error: &LineError{Code: string(why.Kind), Message: why.Error()},
	})
}
