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

const timeout = 60 * time.Millisecond

// fakeOwner responds as a test says and records the requests.
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
	return nil, errors.New("no response")
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
		if err := client.Take(t.Context(), unlimited, 1, timeout, rateclient.Options{}); err != nil || len(owner.asked) != 0 {
			t.Fatalf("%v, asked %d times", err, len(owner.asked))
		}
	}
}

func TestOwnerReceivesTheLimit(t *testing.T) {
	owner := &fakeOwner{answer: grants}
	if err := newClient(owner, 1).Take(t.Context(), tenant(), 7, timeout, rateclient.Options{}); err != nil {
		t.Fatal(err)
	}
	if got := owner.asked[0]; got.GetRequestsPerSecond() != 2 || got.GetRequestBurst() != 3 || got.GetConfiguration() != 7 {
		t.Fatalf("the owner received %v", got)
	}
}

// TestRefusalIsCachedBriefly guards against one request to the owner per request of a flood, and
// against refusals that are cached for too long.
func TestRefusalIsCachedBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeOwner{answer: refuses}
		client := newClient(owner, 1)
		for range 50 {
			err := client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{})
			failure := fault.From(err)
			if failure == nil || failure.Kind != fault.LimitReached || failure.Ran != fault.NotRun || failure.RetryAfter <= 0 {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		if len(owner.asked) != 1 {
			t.Fatalf("the owner was asked %d times for 50 requests", len(owner.asked))
		}
		time.Sleep(100 * time.Millisecond)
		owner.answer = grants
		if err := client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{}); err != nil {
			t.Fatal(err)
		}
		if reported := owner.asked[1].GetRefused(); reported != 49 {
			t.Fatalf("%d refusals were reported to the owner", reported)
		}
	})
}

// TestOneRequestPassesWhileNoOwnerAnswers, and the next owner to respond is informed of it.
func TestOneRequestPassesWhileNoOwnerAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := &fakeOwner{answer: silent}
		client := newClient(owner, 1)
		began := time.Now()
		if err := client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{}); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(began); waited != timeout {
			t.Fatalf("waited %v for the owner", waited)
		}
		err := client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{})
		if failure := fault.From(err); failure == nil || failure.Kind != fault.Unavailable || failure.Ran != fault.NotRun || failure.RetryAfter <= 0 {
			t.Fatalf("second request: %v", err)
		}
		time.Sleep(5 * time.Second)
		if err := client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{}); err != nil {
			t.Fatalf("one more after the window: %v", err)
		}
		owner.answer = grants
		if err := client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{}); err != nil {
			t.Fatal(err)
		}
		last := owner.asked[len(owner.asked)-1]
		if passed, withheld := last.GetPassed(), last.GetWithheld(); !slices.Equal(passed, []uint64{1, 3}) || !slices.Equal(withheld, []uint64{2}) {
			t.Fatalf("the owner received %v as passed and %v as withheld", passed, withheld)
		}
		if err := client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{}); err != nil || len(owner.asked[len(owner.asked)-1].GetPassed()) != 0 {
			t.Fatalf("%v, or the passed requests were reported again", err)
		}
	})
}

// TestRouterSpendsItsPartOfWhatTheTenantHasLeft while no owner responds, so that a large tenant is
// still served and all routers together stay within the owner's last report.
func TestRouterSpendsItsPartOfWhatTheTenantHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large := &rockwindpb.Tenant{Name: "large", Limits: &rockwindpb.Limits{RequestsPerSecond: 100, RequestBurst: 200}}
		owner := &fakeOwner{answer: func(context.Context) (*rockwindpb.TakeRequestsResponse, error) {
			return &rockwindpb.TakeRequestsResponse{Granted: true, Remaining: 200}, nil
		}}
		client := newClient(owner, 20)
		if err := client.Take(t.Context(), large, 1, timeout, rateclient.Options{}); err != nil {
			t.Fatal(err)
		}
		owner.answer = silent
		passed := 0
		for range 30 {
			if client.Take(t.Context(), large, 1, timeout, rateclient.Options{}) == nil {
				passed++
			}
		}
		if passed != 10 {
			t.Fatalf("%d requests passed at one of 20 routers, with 200 left", passed)
		}
	})
}

// TestOnALargeSiteSomeRoutersPassNothingUnasked bounds what all routers pass together.
func TestOnALargeSiteSomeRoutersPassNothingUnasked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers, most = 400, 80
		passed := 0
		for number := range routers {
			client := rateclient.New(&fakeOwner{answer: silent}, fmt.Sprint("router-", number), func() int { return routers })
			if client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{}) == nil {
				passed++
			}
		}
		if passed == 0 || passed > most {
			t.Fatalf("%d of %d routers passed a request", passed, routers)
		}
	})
}

func TestRefundIsReportedOnce(t *testing.T) {
	owner := &fakeOwner{answer: grants}
	client := newClient(owner, 1)
	client.Refund(tenant())
	client.Refund(nil)
	for _, want := range []uint32{1, 0} {
		if err := client.Take(t.Context(), tenant(), 1, timeout, rateclient.Options{}); err != nil {
			t.Fatal(err)
		}
		if got := owner.asked[len(owner.asked)-1].GetReturned(); got != want {
			t.Fatalf("%d returned requests were reported, want %d", got, want)
		}
	}
}
