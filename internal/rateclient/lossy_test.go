package rateclient_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/rateclient"
	"rockwind.example/rockwind/internal/requestrate"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// lossyOwner is an owner some of whose requests and responses are lost.
type lossyOwner struct {
	limiter *requestrate.Limiter
	now     time.Duration
	fate    func() fate
}

// fate is the outcome of a request to the owner.
type fate int

const (
	delivered fate = iota
	requestLost
	responseLost
)

var errLost = errors.New("no response")

// TakeRequest implements rateclient.Owners.
func (o *lossyOwner) TakeRequest(_ context.Context, request *rockwindpb.TakeRequestsRequest) (*rockwindpb.TakeRequestsResponse, error) {
	fate := o.fate()
	if fate == requestLost {
		return nil, errLost
	}
	limit := requestrate.NewLimit(request.GetRequestsPerSecond(), request.GetRequestBurst())
	decided := o.limiter.Take(requestrate.NewRequest(request.GetTenant(), limit, request.GetConfiguration()).
		FromRouter(request.GetRouter(), request.GetRouterStartedUnixMs(), request.GetQuestion()).
		WithReturned(request.GetReturned()).WithUnanswered(request.GetPassed(), request.GetWithheld()), o.now)
	if fate == responseLost {
		return nil, errLost
	}
	return &rockwindpb.TakeRequestsResponse{
		Granted: decided.Granted(), RetryAfterMs: uint32(decided.RetryAfter().Milliseconds()), Remaining: decided.Remaining(),
	}, nil
}

// TestLostAnswersCostATenantNothing: with any losses a tenant gets its burst, and no more than that and
// what its routers may pass unchecked.
func TestLostAnswersCostATenantNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst, routers = 12, 2
		limited := &rockwindpb.Tenant{Name: "tenant", Limits: &rockwindpb.Limits{RequestsPerSecond: 0.000001, RequestBurst: burst}}
		owner := &lossyOwner{limiter: requestrate.NewLimiter(requestrate.Tolerance{}, 0), now: 1e6 * time.Hour}
		var clients []*rateclient.Client
		for _, name := range []string{"router-1", "router-2"} {
			clients = append(clients, rateclient.New(owner, name, func() int { return routers }))
		}
		passed := 0
		ask := func(client *rateclient.Client) {
			if client.Take(context.Background(), limited, 1, time.Second, rateclient.Options{}) == nil {
				passed++
			}
		}
		owner.fate = func() fate {
			return fate(rapid.SampledFrom([]int{int(delivered), int(requestLost), int(responseLost)}).Draw(t, "fate"))
		}
		for range rapid.IntRange(0, 20).Draw(t, "lossy requests") {
			ask(clients[rapid.IntRange(0, routers-1).Draw(t, "router")])
		}
		owner.fate = func() fate { return delivered }
		for range 2 * burst {
			for _, client := range clients {
				ask(client)
			}
		}
		// Each router may pass one unchecked, and its share of the remaining requests.
		if passed < burst || passed > 2*burst+routers {
			t.Fatalf("%d requests passed with a burst of %d", passed, burst)
		}
	})
}
