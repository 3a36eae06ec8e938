package placer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/placement"
)

// Bounds of calls to engines.
const (
	callTimeout   = 2 * time.Second
	maximumAnswer = 1 << 20
)

// engineReport is the part of GET /load that placement reads. A list that is
// absent means that the engine accepts every model.
type engineReport struct {
	Loaded []string       `json:"loaded"`
	Role   placement.Role `json:"role"`
}

// engineOrder is the body of POST /orders.
type engineOrder struct {
	Fence     uint64           `json:"fence"`
	Action    placement.Action `json:"action"`
	Model     string           `json:"model,omitempty"`
	Version   string           `json:"version,omitempty"`
	Adapter   string           `json:"adapter,omitempty"`
	WeightsID string           `json:"weights_id,omitempty"`
	Role      placement.Role   `json:"role,omitempty"`
}

// fenceAnswer is the answer to an order: the last fence that was accepted.
type fenceAnswer struct {
	Fence uint64 `json:"fence"`
}

// staleFence is the failure of an order whose fence is not above the engine's.
type staleFence struct {
	// last is the highest fence that the engine accepted.
	last uint64
}

// Error implements error.
func (s *staleFence) Error() string {
	return "the engine has accepted an order with a higher fence"
}

// engineClient calls engines.
type engineClient struct {
	client *http.Client
}

// load reads what an engine holds.
func (c engineClient) load(ctx context.Context, address string) (engineReport, error) {
	var report engineReport
	status, body, err := c.call(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return report, err
	}
	if status != http.StatusOK {
		return report, refused(address, status, body)
	}
	return report, errors.Wrap(json.Unmarshal(body, &report), "decode the engine's report")
}

// send sends one order. It fails with staleFence where the engine has accepted a
// higher fence.
func (c engineClient) send(ctx context.Context, address string, order engineOrder) error {
	encoded, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode the order")
	}
	status, body, err := c.call(ctx, http.MethodPost, "http://"+address+"/orders", encoded)
	switch {
	case err != nil:
		return err
	case status == http.StatusOK || status == http.StatusAccepted:
		return nil
	case status == http.StatusConflict:
		var answer fenceAnswer
		if err := json.Unmarshal(body, &answer); err != nil {
			return errors.Wrap(err, "decode the engine's fence")
		}
		return &staleFence{last: answer.Fence}
	default:
		return refused(address, status, body)
	}
}

func refused(address string, status int, body []byte) error {
	return fault.Newf(fault.Unavailable, "read the engine's log", "the engine at %s answered %d: %s", address, status, body)
}

func (c engineClient) call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "make the call")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "call the engine")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswer))
	return response.StatusCode, answer, errors.Wrap(err, "read the engine's answer")
}

// encode gives an order its fence.
func encode(order placement.Order, fence uint64) engineOrder {
	encoded := engineOrder{Fence: fence, Action: order.Action, WeightsID: order.WeightsID, Role: order.Role}
	switch order.Action {
	case placement.ActionLoadModel, placement.ActionUnloadModel:
		encoded.Model, encoded.Version = order.Version.Model, order.Version.Version
	case placement.ActionLoadAdapter, placement.ActionUnloadAdapter:
		encoded.Model, encoded.Adapter = order.Adapter.Model, order.Adapter.Adapter
	}
	return encoded
}
