package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/bench/caller"
	"rockwind.example/rockwind/internal/bench/fleet"
	"rockwind.example/rockwind/internal/engine"
)

// Parameters of the online and service loads.
const (
	onlineInterval  = 60 * time.Millisecond
	onlineTokens    = 40
	onlineTimeout   = 60 * time.Second
	serviceInterval = 100 * time.Millisecond
	serviceAttempts = 4
	serviceTimeout  = 20 * time.Second
)

// onlineClient sends chats and counts their outcomes.
type onlineClient struct {
	fleet   *fleet.Fleet
	caller  *caller.Caller
	record  *record
	killLog *killLog
}

// chat sends one streaming chat through the gateway and records its outcome.
func (o *onlineClient) chat(ctx context.Context, gateway *fleet.Process, number int) {
	ctx, cancel := context.WithTimeout(ctx, onlineTimeout)
	defer cancel()
	content := fmt.Sprintf("question %d: which seat is free?", number)
	requestID := fmt.Sprintf("online-%d", number)
	before := o.killLog.snapshot(gateway.Name)
	body := caller.UserChat(fleet.ModelName, content, onlineTokens, true)
	text, err := o.caller.Chat(ctx, "http://"+gateway.Address, requestID, body, nil)
	expected := engine.ExpectedText(engine.UserPrompt(content), onlineTokens)
	o.recordOutcome(gateway, requestID, before, text == expected, err)
}

func (o *onlineClient) recordOutcome(gateway *fleet.Process, requestID string, before killSnapshot, correct bool, err error) {
	var refusal *caller.Refusal
	switch {
	case err == nil && correct:
		o.record.count(func(c *counts) { c.OnlineAnswers++ })
	case err == nil:
		o.record.count(func(c *counts) { c.WrongAnswers++ })
	case caller.IsNotRun(err):
		o.record.addChatNotRun(requestID)
	case errors.As(err, &refusal):
		o.record.count(func(c *counts) { c.OnlineCutTyped++ })
	case errors.Is(err, caller.ErrIncompleteStream) && !o.killLog.killedSince(gateway.Name, before):
		o.record.count(func(c *counts) { c.CutStreamsPlannedStop++ })
	case errors.Is(err, caller.ErrIncompleteStream):
		o.record.count(func(c *counts) { c.OnlineCutUntyped++ })
	default:
		o.record.count(func(c *counts) { c.OnlineUnknown++ })
	}
}

func (r *record) addChatNotRun(requestID string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.chatsNotRun = append(r.chatsNotRun, requestID)
	r.counts.OnlineRefused++
}

// serviceClient sends non-idempotent requests. It retries each with the same
// idempotency key through a random gateway, up to serviceAttempts times in all.
type serviceClient struct {
	fleet  *fleet.Fleet
	caller *caller.Caller
	record *record
	random *rand.Rand
}

func (s *serviceClient) sendBooking(ctx context.Context, number int) {
	key := fmt.Sprintf("booking-%d", number)
	body := fmt.Appendf(nil, `{"booking":%d}`, number)
	allNotRun := true
	answered := false
	for range serviceAttempts {
		err := s.send(ctx, key, body)
		if err == nil {
			answered = true
			break
		}
		allNotRun = allNotRun && caller.IsNotRun(err)
	}
	s.record.addService(key, answered, allNotRun && !answered)
}

func (s *serviceClient) send(ctx context.Context, key string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	gateway := pick(s.fleet.Gateways, s.random.IntN(len(s.fleet.Gateways)))
	_, err := s.caller.Do(ctx, caller.Request{
		Method:      http.MethodPost,
		URL:         "http://" + gateway.Address + "/services/" + fleet.ServiceName + "/bookings",
		ContentType: "application/json", Body: body,
		IdempotencyKey: key, NotRepeatable: true,
	})
	return err
}

func (r *record) addService(key string, answered, notRun bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.servicesSent = append(r.servicesSent, key)
	switch {
	case answered:
		r.counts.ServiceAnswers++
	case notRun:
		r.servicesNotRun = append(r.servicesNotRun, key)
	default:
		r.counts.ServiceUnknown++
	}
}
