package jobclient_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobclient"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// handlerTransport passes requests to handlers in this process, by address, so that they run in
// virtual time.
type handlerTransport map[string]http.Handler

// RoundTrip implements http.RoundTripper.
func (h handlerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	responses := make(chan *http.Response, 1)
	go func() {
		recorder := httptest.NewRecorder()
		h[request.URL.Host].ServeHTTP(recorder, request)
		responses <- recorder.Result()
	}()
	select {
	case response := <-responses:
		return response, nil
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// newVirtualTimeClient returns a client of the given stores, by address, for tests in virtual
// time.
func newVirtualTimeClient(stores map[string]*fakeStore) *jobclient.Client {
	site := fakeSite{view: directory.Merge(nil, &rockwindpb.WatchDirectoryResponse{
		Revision: 1, Full: true, StoreCluster: &rockwindpb.FoundRequest{ClusterId: "c", Groups: []*rockwindpb.FoundingGroup{{Group: 1}}},
	})}
	handlers := handlerTransport{}
	for address, store := range stores {
		handlers[address] = rockwindpb.NewJobStoreServiceServer(store)
		site.stores = append(site.stores, &rockwindpb.Machine{Name: address, Address: address})
	}
	return jobclient.New(site, &http.Client{Transport: handlers})
}

// electedAfter returns the behavior of a store that becomes the leader after a time and knows no
// leader before.
func electedAfter(election time.Duration) func(context.Context) error {
	elected := time.Now().Add(election)
	return func(ctx context.Context) error {
		if time.Now().Before(elected) {
			return notLeader("")(ctx)
		}
		return nil
	}
}

// TestSilentLeaderThatOthersNameIsNotAskedForAllTheTime guards against a busy loop while the other
// stores name an unresponsive leader.
func TestSilentLeaderThatOthersNameIsNotAskedForAllTheTime(t *testing.T) {
	const timeout = time.Second
	synctest.Test(t, func(t *testing.T) {
		const leader = "1.1.1.1:1"
		// A call takes a millisecond, because virtual time does not advance in a busy loop.
		namesLeader := func(ctx context.Context) error {
			time.Sleep(time.Millisecond)
			return notLeader(leader)(ctx)
		}
		second, third := &fakeStore{submit: namesLeader}, &fakeStore{submit: namesLeader}
		client := newVirtualTimeClient(map[string]*fakeStore{leader: {submit: unresponsive}, "1.1.1.1:2": second, "1.1.1.1:3": third})
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		if err := client.Submit(ctx, &rockwindpb.StoredJob{Id: "job"}, 0); err == nil {
			t.Fatal("the call succeeded without a leader")
		}
		if asked := second.calls.Load() + third.calls.Load(); asked < 10 || asked > 100 {
			t.Fatalf("the other stores were asked %d times in %v", asked, timeout)
		}
	})
}

// TestHintIsFollowedAtOnce guards against pauses between the stores of the first round, with which a call
// with a short timeout does not find the leader among stores that do not know it.
func TestHintIsFollowedAtOnce(t *testing.T) {
	const (
		stores   = 8
		callTime = 5 * time.Millisecond
		timeout  = 60 * time.Millisecond
	)
	after := func(respond func(context.Context) error) func(context.Context) error {
		return func(ctx context.Context) error {
			time.Sleep(callTime)
			return respond(ctx)
		}
	}
	for leader := range stores {
		synctest.Test(t, func(t *testing.T) {
			all := make(map[string]*fakeStore)
			for i := range stores {
				all[fmt.Sprint("1.1.1.1:", i+1)] = &fakeStore{submit: after(notLeader(""))}
			}
			all[fmt.Sprint("1.1.1.1:", leader+1)].submit = after(succeeds)
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			if err := newVirtualTimeClient(all).Submit(ctx, &rockwindpb.StoredJob{Id: "job"}, 0); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestHintsAtAnUnresponsiveLeaderDoNotEndTheSearch verifies that the new leader is found after
// stores have named the unresponsive one.
func TestHintsAtAnUnresponsiveLeaderDoNotEndTheSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const leader = "1.1.1.1:1"
		elected := time.Now().Add(300 * time.Millisecond)
		other := &fakeStore{submit: func(ctx context.Context) error {
			// A call takes a millisecond, because virtual time does not advance in a busy loop.
			time.Sleep(time.Millisecond)
			if time.Now().Before(elected) {
				return notLeader(leader)(ctx)
			}
			return nil
		}}
		client := newVirtualTimeClient(map[string]*fakeStore{leader: {submit: unresponsive}, "1.1.1.1:2": other})
		if err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "job"}, 0); err != nil {
			t.Fatal(err)
		}
		if late := time.Since(elected); late > 300*time.Millisecond {
			t.Fatalf("the call ended %v after the election of the leader", late)
		}
	})
}

// TestCallOutlivesALongElection guards against calls that end during a long election although the
// caller still waits.
func TestCallOutlivesALongElection(t *testing.T) {
	const election = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		client := newVirtualTimeClient(map[string]*fakeStore{
			"1.1.1.1:1": {submit: unresponsive}, "1.1.1.1:2": {submit: notLeader("1.1.1.1:1")}, "1.1.1.1:3": {submit: electedAfter(election)},
		})
		began := time.Now()
		if err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "job"}, 0); err != nil {
			t.Fatalf("the call ends after %v with %v", time.Since(began), err)
		}
		if late := time.Since(began) - election; late > 300*time.Millisecond {
			t.Fatalf("the leader was asked %v after its election", late)
		}
	})
}

// TestCallEndsSoonIfNoStoreResponds: another router may reach the stores.
func TestCallEndsSoonIfNoStoreResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newVirtualTimeClient(map[string]*fakeStore{"1.1.1.1:1": {submit: unresponsive}, "1.1.1.1:2": {submit: unresponsive}})
		began := time.Now()
		err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "job"}, 0)
		if failure := fault.From(err); failure == nil || failure.Kind != fault.OutcomeUnknown {
			t.Fatalf("the call ends with %v", err)
		}
		if took := time.Since(began); took > 3*time.Second {
			t.Fatalf("the call took %v", took)
		}
	})
}

// TestCallEndsIfNoLeaderIsElected covers the permanent loss of a shard's quorum. The remaining
// stores must not be asked forever or too often.
func TestCallEndsIfNoLeaderIsElected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		only := &fakeStore{submit: notLeader("")}
		client := newVirtualTimeClient(map[string]*fakeStore{"1.1.1.1:1": only})
		began := time.Now()
		err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "job"}, 0)
		failure := fault.From(err)
		// If an attempt is in progress at the end of the call, the outcome is unknown.
		if failure == nil || (failure.Kind == fault.Unavailable) != (failure.Ran == fault.NotRun) ||
			(failure.Kind != fault.Unavailable && failure.Kind != fault.OutcomeUnknown) {
			t.Fatalf("the call ends with %v", err)
		}
		if took := time.Since(began); took > 15*time.Second {
			t.Fatalf("the call took %v", took)
		}
		if asked := only.calls.Load(); asked > 200 {
			t.Fatalf("the store was asked %d times", asked)
		}
	})
}

// TestCallEndsWithItsContext verifies that a call ends with its context during an election.
func TestCallEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newVirtualTimeClient(map[string]*fakeStore{"1.1.1.1:1": {submit: notLeader("")}})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if err := client.Submit(ctx, &rockwindpb.StoredJob{Id: "job"}, 0); err == nil {
			t.Fatal("the call succeeded without a leader")
		}
		if took := time.Since(began); took != time.Second {
			t.Fatalf("the call took %v", took)
		}
	})
}

// TestManyStoresWithoutALeaderAreNotAskedTheMoreOften verifies that the rate of attempts at a
// shard without a leader does not grow with the number of stores.
func TestManyStoresWithoutALeaderAreNotAskedTheMoreOften(t *testing.T) {
	const stores, timeout, maxAttempts = 14, time.Second, 60
	synctest.Test(t, func(t *testing.T) {
		all := make(map[string]*fakeStore)
		for i := range stores {
			all[fmt.Sprintf("1.1.1.%d:1", i+1)] = &fakeStore{submit: func(ctx context.Context) error {
				time.Sleep(time.Millisecond)
				return notLeader("")(ctx)
			}}
		}
		client := newVirtualTimeClient(all)
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		if err := client.Submit(ctx, &rockwindpb.StoredJob{Id: "job"}, 0); err == nil {
			t.Fatal("the call succeeded without a leader")
		}
		asked := int64(0)
		for _, each := range all {
			asked += each.calls.Load()
		}
		if asked < stores || asked > maxAttempts {
			t.Fatalf("%d attempts in %v, want at most %d", asked, timeout, maxAttempts)
		}
		// The last attempt may have begun just before the end.
		time.Sleep(time.Second)
	})
}

// TestCallsEndSoonOnceTheProcessLeaves verifies that clients get an answer before their
// connections are closed.
func TestCallsEndSoonOnceTheProcessLeaves(t *testing.T) {
	const shutdownAfter, maxDuration = 5 * time.Second, 8 * time.Second
	synctest.Test(t, func(t *testing.T) {
		client := newVirtualTimeClient(map[string]*fakeStore{"1.1.1.1:1": {submit: notLeader("")}, "1.1.1.1:2": {submit: notLeader("")}})
		time.AfterFunc(shutdownAfter, client.BeginShutdown)
		began := time.Now()
		err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "job"}, 0)
		if took := time.Since(began); err == nil || took <= shutdownAfter || took >= maxDuration {
			t.Fatalf("the call ended after %v with %v; the shutdown began after %v", took, err, shutdownAfter)
		}
	})
}
