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

// carrier hands calls to stores in this process, by address, so that they run in virtual time.
type carrier map[string]http.Handler

// RoundTrip implements http.RoundTripper.
func (c carrier) RoundTrip(request *http.Request) (*http.Response, error) {
	answered := make(chan *http.Response, 1)
	go func() {
		recorder := httptest.NewRecorder()
		c[request.URL.Host].ServeHTTP(recorder, request)
		answered <- recorder.Result()
	}()
	select {
	case response := <-answered:
		return response, nil
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// virtualClient is a client of the given stores, by address, in virtual time.
func virtualClient(stores map[string]*fakeStore) *jobclient.Client {
	site := fakeSite{view: directory.Merge(nil, &rockwindpb.WatchDirectoryResponse{
		Revision: 1, Full: true, StoreCluster: &rockwindpb.FoundRequest{ClusterId: "c", Groups: []*rockwindpb.FoundingGroup{{Group: 1}}},
	})}
	handlers := carrier{}
	for address, store := range stores {
		handlers[address] = rockwindpb.NewJobStoreServiceServer(store)
		site.stores = append(site.stores, &rockwindpb.Machine{Name: address, Address: address})
	}
	return jobclient.New(site, &http.Client{Transport: handlers})
}

// leadsAfter is a store that is elected after a time; before that it knows no leader.
func leadsAfter(election time.Duration) func(context.Context) error {
	elected := time.Now().Add(election)
	return func(ctx context.Context) error {
		if time.Now().Before(elected) {
			return notLeader("")(ctx)
		}
		return nil
	}
}

// TestSilentLeaderThatOthersNameIsNotAskedForAllTheTime: while the leader was silent and the
// others named it, a call asked them again without a pause, thousands of times a second. Beside
// load that took the time that the stores needed to elect another one.
func TestSilentLeaderThatOthersNameIsNotAskedForAllTheTime(t *testing.T) {
	const patience = time.Second
	synctest.Test(t, func(t *testing.T) {
		const leader = "1.1.1.1:1"
		// A call takes a millisecond, so that one that never pauses gets no further than time does.
		names := func(ctx context.Context) error {
			time.Sleep(time.Millisecond)
			return notLeader(leader)(ctx)
		}
		second, third := &fakeStore{submit: names}, &fakeStore{submit: names}
		client := virtualClient(map[string]*fakeStore{leader: {submit: silent}, "1.1.1.1:2": second, "1.1.1.1:3": third})
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		if err := client.Submit(ctx, &rockwindpb.StoredJob{Id: "job"}, 0); err == nil {
			t.Fatal("nobody leads, and the call is answered")
		}
		if asked := second.asked.Load() + third.asked.Load(); asked < 10 || asked > 100 {
			t.Fatalf("the other stores were asked %d times in %v", asked, patience)
		}
	})
}

// TestCallOutlivesALongElection: beside load the leader of a shard lost its lease, and no other
// was elected for longer than a call lived. Its caller, who waited, was told that the job's
// shard can't be reached.
func TestCallOutlivesALongElection(t *testing.T) {
	const election = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		client := virtualClient(map[string]*fakeStore{
			"1.1.1.1:1": {submit: silent}, "1.1.1.1:2": {submit: notLeader("1.1.1.1:1")}, "1.1.1.1:3": {submit: leadsAfter(election)},
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

// TestCallIsGivenUpSoonWhereNoStoreIsHeard: another router may reach the stores.
func TestCallIsGivenUpSoonWhereNoStoreIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := virtualClient(map[string]*fakeStore{"1.1.1.1:1": {submit: silent}, "1.1.1.1:2": {submit: silent}})
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

// TestCallEndsAlthoughNoStoreIsEverElected: a quorum of the shard is gone for good. The stores
// that are left are not asked without end, nor all the time.
func TestCallEndsAlthoughNoStoreIsEverElected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		only := &fakeStore{submit: notLeader("")}
		client := virtualClient(map[string]*fakeStore{"1.1.1.1:1": only})
		began := time.Now()
		err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "job"}, 0)
		failure := fault.From(err)
		// An attempt may be under way as the call ends: then its outcome is in doubt.
		if failure == nil || (failure.Kind == fault.Unavailable) != (failure.Ran == fault.NotRun) ||
			(failure.Kind != fault.Unavailable && failure.Kind != fault.OutcomeUnknown) {
			t.Fatalf("the call ends with %v", err)
		}
		if took := time.Since(began); took > 15*time.Second {
			t.Fatalf("the call took %v", took)
		}
		if asked := only.asked.Load(); asked > 200 {
			t.Fatalf("the store was asked %d times", asked)
		}
	})
}

// TestCallEndsWithItsCaller, also while an election goes on.
func TestCallEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := virtualClient(map[string]*fakeStore{"1.1.1.1:1": {submit: notLeader("")}})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began := time.Now()
		if err := client.Submit(ctx, &rockwindpb.StoredJob{Id: "job"}, 0); err == nil {
			t.Fatal("nobody leads, and the call is answered")
		}
		if took := time.Since(began); took != time.Second {
			t.Fatalf("the call took %v", took)
		}
	})
}

// TestManyStoresWithoutALeaderAreNotAskedTheMoreOften: while a shard has no leader a call asks one
// store after the other, however many there are.
func TestManyStoresWithoutALeaderAreNotAskedTheMoreOften(t *testing.T) {
	const stores, patience, most = 14, time.Second, 60
	synctest.Test(t, func(t *testing.T) {
		all := make(map[string]*fakeStore)
		for i := range stores {
			all[fmt.Sprintf("1.1.1.%d:1", i+1)] = &fakeStore{submit: func(ctx context.Context) error {
				time.Sleep(time.Millisecond)
				return notLeader("")(ctx)
			}}
		}
		client := virtualClient(all)
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		if err := client.Submit(ctx, &rockwindpb.StoredJob{Id: "job"}, 0); err == nil {
			t.Fatal("nobody leads, and the call is answered")
		}
		asked := int64(0)
		for _, each := range all {
			asked += each.asked.Load()
		}
		if asked < stores || asked > most {
			t.Fatalf("%d attempts in %v, want at most %d", asked, patience, most)
		}
	})
}

// TestCallsEndSoonOnceTheProcessLeaves: its clients are answered before their connections are cut.
func TestCallsEndSoonOnceTheProcessLeaves(t *testing.T) {
	const leaves, most = 5 * time.Second, 8 * time.Second
	synctest.Test(t, func(t *testing.T) {
		client := virtualClient(map[string]*fakeStore{"1.1.1.1:1": {submit: notLeader("")}, "1.1.1.1:2": {submit: notLeader("")}})
		time.AfterFunc(leaves, client.BeginShutdown)
		began := time.Now()
		err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "job"}, 0)
		if took := time.Since(began); err == nil || took <= leaves || took >= most {
			t.Fatalf("the call ended after %v with %v; the process left after %v", took, err, leaves)
		}
	})
}
