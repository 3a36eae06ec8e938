package placementcontroller

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

// Limits of calls to engines.
const (
	callTimeout          = 2 * time.Second
	maximumResponseBytes = 1 << 20
)

// engineReport is the part of the answer to GET /load that placement uses. If the list is absent,
// the engine accepts every model.
type engineReport struct {
	Loaded []string       `json:"loaded"`
	Role   placement.Role `json:"role"`
}

// engineOrder is the request body of POST /orders.
type engineOrder struct {
	Fence     uint64           `json:"fence"`
	Action    placement.Action `json:"action"`
	Model     string           `json:"model,omitempty"`
	Version   string           `json:"version,omitempty"`
	Adapter   string           `json:"adapter,omitempty"`
	WeightsID string           `json:"weights_id,omitempty"`
	Role      placement.Role   `json:"role,omitempty"`
}

// fenceAnswer is the body of the answer to an order: the last accepted fence.
type fenceAnswer struct {
	Fence uint64 `json:"fence"`
}

// staleFence is the error for an order whose fence is not higher than the engine's.
type staleFence struct {
	// last is the highest fence that the engine has accepted.
	last uint64
}

func (s *staleFence) Error() string {
	return "the engine has accepted an order with a higher fence"
}

type engineClient struct {
	client *http.Client
}

// load reads the report of an engine.
func (c engineClient) load(ctx context.Context, address string) (engineReport, error) {
	var report engineReport
	status, body, err := c.call(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return report, err
	}
	if status != http.StatusOK {
		return report, statusError(address, status, body)
	}
	return report, errors.Wrap(json.Unmarshal(body, &report), "decode the engine's report")
}

// send sends one order. It returns a staleFence error if the engine has accepted a higher fence.
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
		return statusError(address, status, body)
	}
}

func statusError(address string, status int, body []byte) error {
	return fault.Newf(fault.Unavailable, "check the engine's log", "engine at %s returned status %d: %s", address, status, body)
}

func (c engineClient) call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "create the request to the engine")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, errors.Wrap(err, "call the engine")
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maximumResponseBytes))
	return response.StatusCode, answer, errors.Wrap(err, "read the engine's response")
}

// encode returns the request body of an order.
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
