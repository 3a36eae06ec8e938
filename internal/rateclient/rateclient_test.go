package rateclient_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rateclient"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const patience = 60 * time.Millisecond

// fakeOwner answers as a test says, and keeps what it was asked.
type fakeOwner struct {
	answer func(context.Context) (*rockwindpb.TakeRequestsResponse, error)
	asked  []*rockwindpb.TakeRequestsRequest
}

// TakeRequest implements rateclient.Owners.
func (f *fakeOwner) TakeRequest(ctx context.Context, request *rockwindpb.TakeRequestsRequest) (*rockwindpb.TakeRequestsResponse, error) {
	f.asked = append(f.asked, request)
	return f.answer(ctx)
}

func grants(context.Context) (*rockwindpb.TakeRequestsResponse, error) {
	return &rockwindpb.TakeRequestsResponse{Granted: true}, nil
}

func refuses(context.Context) (*rockwindpb.TakeRequestsResponse, error) {
	return &rockwindpb.TakeRequestsResponse{RetryAfterMs: 700}, nil
}

func silent(ctx context.Context) (*rockwindpb.TakeRequestsResponse, error) {
	<-ctx.Done()
	return nil, errors.New("nobody answered")
}

func tenant() *rockwindpb.Tenant {
	return &rockwindpb.Tenant{Name: "tenant", Limits: &rockwindpb.Limits{RequestsPerSecond: 2, RequestBurst: 3}}
}

func newClient(owner *fakeOwner, routers int) *rateclient.Client {
	return rateclient.New(owner, "router-1", func() int { return routers })
}

func TestTenantsWithoutALimitAreNotAskedFor(t *testing.T) {
	owner := &fakeOwner{answer: refuses}
	client := newClient(owner, 1)
	for _, unlimited := range []*rockwindpb.Tenant{nil, {Name: "free"}} {
		if err := client.Take(t.Context(), unlimited, 1, patience, rateclient.Options{}); err != nil || len(owner.asked) != 0 {
			t.Fatalf("%v, asked %d times", err, len(owner.asked))
		}
	}
}

func TestOwnerIsToldTheLimitInForce(t *testing.T) {
	owner := &fakeOwner{answer: grants}
	if err := newClient(owner, 1).Take(t.Context(), tenant(), 7, patience, rateclient.Options{}); err != nil {
		t.Fatal(err)
	}
	if got := owner.asked[0]; got.GetRequestsPerSecond() != 2 || got.GetRequestBurst() != 3 || got.GetConfiguration() != 7 {
		t.Fatalf("the owner was told %v", got)
	}
}

// TestRefusalHoldsForAMoment, so that a flood of one tenant does not become a flood of
// questions, and is asked about again afterwards.
func TestRefusalHoldsForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeOwner{answer: refuses}
		client := newClient(owner, 1)
		for range 50 {
			err := client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{})
			failure := fault.From(err)
			if failure == nil || failure.Kind != fault.LimitReached || failure.Ran != fault.NotRun || failure.RetryAfter <= 0 {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		if len(owner.asked) != 1 {
			t.Fatalf("asked %d times for 50 requests", len(owner.asked))
		}
		time.Sleep(100 * time.Millisecond)
		owner.answer = grants
		if err := client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{}); err != nil {
			t.Fatal(err)
		}
		if told := owner.asked[1].GetRefused(); told != 49 {
			t.Fatalf("the owner was told of %d refusals", told)
		}
	})
}

// TestOneRequestPassesWhileNoOwnerAnswers and the owner that answers next is told of it.
func TestOneRequestPassesWhileNoOwnerAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeOwner{answer: silent}
		client := newClient(owner, 1)
		began := time.Now()
		if err := client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{}); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(began); waited != patience {
			t.Fatalf("it waited %v", waited)
		}
		err := client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{})
		if failure := fault.From(err); failure == nil || failure.Kind != fault.Unavailable || failure.Ran != fault.NotRun || failure.RetryAfter <= 0 {
			t.Fatalf("the second one: %v", err)
		}
		time.Sleep(5 * time.Second)
		if err := client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{}); err != nil {
			t.Fatalf("one more after the window: %v", err)
		}
		owner.answer = grants
		if err := client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{}); err != nil {
			t.Fatal(err)
		}
		last := owner.asked[len(owner.asked)-1]
		if passed, withheld := last.GetPassed(), last.GetWithheld(); !slices.Equal(passed, []uint64{1, 3}) || !slices.Equal(withheld, []uint64{2}) {
			t.Fatalf("the owner was told of %v let through and %v withheld", passed, withheld)
		}
		if err := client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{}); err != nil || len(owner.asked[len(owner.asked)-1].GetPassed()) != 0 {
			t.Fatalf("%v, the owner was told of them again", err)
		}
	})
}

// TestRouterSpendsItsPartOfWhatTheTenantHasLeft while no owner answers: a large tenant is
// served on, and all routers together stay within what the owner said.
func TestRouterSpendsItsPartOfWhatTheTenantHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large := &rockwindpb.Tenant{Name: "large", Limits: &rockwindpb.Limits{RequestsPerSecond: 100, RequestBurst: 200}}
		owner := &fakeOwner{answer: func(context.Context) (*rockwindpb.TakeRequestsResponse, error) {
			return &rockwindpb.TakeRequestsResponse{Granted: true, Remaining: 200}, nil
		}}
		client := newClient(owner, 20)
		if err := client.Take(t.Context(), large, 1, patience, rateclient.Options{}); err != nil {
			t.Fatal(err)
		}
		owner.answer = silent
		passed := 0
		for range 30 {
			if client.Take(t.Context(), large, 1, patience, rateclient.Options{}) == nil {
				passed++
			}
		}
		if passed != 10 {
			t.Fatalf("%d requests passed at one of 20 routers, with 200 left", passed)
		}
	})
}

// TestOnALargeSiteSomeRoutersPassNothingUnasked: what all of them let through together is
// bounded.
func TestOnALargeSiteSomeRoutersPassNothingUnasked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers, most = 400, 80
		passed := 0
		for number := range routers {
			client := rateclient.New(&fakeOwner{answer: silent}, fmt.Sprint("router-", number), func() int { return routers })
			if client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{}) == nil {
				passed++
			}
		}
		if passed == 0 || passed > most {
			t.Fatalf("%d of %d routers let a request through", passed, routers)
		}
	})
}

func TestWhatHasNotRunIsGivenBackOnce(t *testing.T) {
	owner := &fakeOwner{answer: grants}
	client := newClient(owner, 1)
	client.Refund(tenant())
	client.Refund(nil)
	for _, want := range []uint32{1, 0} {
		if err := client.Take(t.Context(), tenant(), 1, patience, rateclient.Options{}); err != nil {
			t.Fatal(err)
		}
		if got := owner.asked[len(owner.asked)-1].GetReturned(); got != want {
			t.Fatalf("the owner was told of %d, want %d", got, want)
		}
	}
}
