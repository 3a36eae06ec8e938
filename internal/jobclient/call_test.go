package jobclient_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobclient"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// fakeStore is a store whose response to Submit is defined by the test.
type fakeStore struct {
	rockwindpb.JobStoreService
	submit func(ctx context.Context) error
	calls  atomic.Int64
}

// Submit implements rockwindpb.JobStoreService.
func (f *fakeStore) Submit(ctx context.Context, _ *rockwindpb.SubmitStoredJobRequest) (*rockwindpb.SubmitStoredJobResponse, error) {
	f.calls.Add(1)
	if err := f.submit(ctx); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.SubmitStoredJobResponse{}, nil
}

// fakeSite is a site with the given stores and one shard.
type fakeSite struct {
	view   *directory.View
	stores []*rockwindpb.Machine
}

func (f fakeSite) Directory() *directory.View    { return f.view }
func (f fakeSite) Stores() []*rockwindpb.Machine { return f.stores }

func newClient(t *testing.T, stores ...*fakeStore) (*jobclient.Client, []string) {
	t.Helper()
	site := fakeSite{view: directory.Merge(nil, &rockwindpb.WatchDirectoryResponse{
		Revision: 1, Full: true, StoreCluster: &rockwindpb.FoundRequest{ClusterId: "c", Groups: []*rockwindpb.FoundingGroup{{Group: 1}}},
	})}
	var addresses []string
	network := newMemoryNetwork()
	for i, store := range stores {
		address := fmt.Sprintf("10.0.0.%d:1", i+1)
		network.serve(t, address, rockwindpb.NewJobStoreServiceServer(store))
		addresses = append(addresses, address)
		site.stores = append(site.stores, &rockwindpb.Machine{Name: address, Address: address})
	}
	return jobclient.New(site, network.client(t)), addresses
}

func unresponsive(ctx context.Context) error {
	<-ctx.Done()
	return fault.New(fault.Unavailable, "unresponsive", "none")
}

func succeeds(context.Context) error { return nil }

func notLeader(leader string) func(context.Context) error {
	return func(context.Context) error {
		failure := fault.New(fault.NotLeader, "ask the leader", "ask the leader").WithRan(fault.NotRun)
		failure.Leader = leader
		return failure
	}
}

// TestSilentLeaderDoesNotHoldUpACall guards against waiting for the full timeout of an attempt
// when the known leader fails and another store has become the leader.
func TestSilentLeaderDoesNotHoldUpACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const soon = 400 * time.Millisecond
		oldLeader, newLeader := &fakeStore{submit: succeeds}, &fakeStore{}
		client, addresses := newClient(t, oldLeader, newLeader)
		newLeader.submit = notLeader(addresses[0])
		if err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "first"}, 0); err != nil {
			t.Fatal(err)
		}
		oldLeader.submit, newLeader.submit = unresponsive, succeeds
		began := time.Now()
		if err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "second"}, 0); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > soon {
			t.Fatalf("the call took %v", took)
		}
	})
}

// TestUnansweredCallHasUnknownOutcome: an unresponsive store may have accepted the job.
func TestUnansweredCallHasUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, _ := newClient(t, &fakeStore{submit: unresponsive})
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		err := client.Submit(ctx, &rockwindpb.StoredJob{Id: "job"}, 0)
		if failure := fault.From(err); failure.Kind != fault.OutcomeUnknown {
			t.Fatalf("the call ends with %v", err)
		}
	})
}

// TestPromptAnswerNeedsOneAttempt verifies that calls are not hedged while stores answer promptly.
func TestPromptAnswerNeedsOneAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := &fakeStore{submit: succeeds}, &fakeStore{submit: succeeds}
		client, _ := newClient(t, first, second)
		for range 20 {
			if err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "job"}, 0); err != nil {
				t.Fatal(err)
			}
		}
		if asked := first.calls.Load() + second.calls.Load(); asked != 20 {
			t.Fatalf("20 calls were sent %d times", asked)
		}
	})
}

func limitReached(context.Context) error {
	return fault.New(fault.LimitReached, "full", "come back").WithRan(fault.NotRun).WithRetryAfter(2 * time.Second)
}

// TestLimitReachedEndsACallWithRetryAfter verifies that the call ends at once and asks no other
// store.
func TestLimitReachedEndsACallWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{submit: limitReached}
		client, _ := newClient(t, store)
		err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "job"}, 7)
		failure := fault.From(err)
		if failure == nil || failure.Kind != fault.LimitReached || failure.RetryAfter != 2*time.Second || store.calls.Load() != 1 {
			t.Fatalf("the call ends with %v after %d attempts", err, store.calls.Load())
		}
	})
}

// TestLimitAfterALostAttemptPromisesNothing: an attempt without an answer may have accepted the
// job, so the call must not report that it will never run.
func TestLimitAfterALostAttemptPromisesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		oldLeader, newLeader := &fakeStore{submit: succeeds}, &fakeStore{}
		client, addresses := newClient(t, oldLeader, newLeader)
		newLeader.submit = notLeader(addresses[0])
		if err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "first"}, 7); err != nil {
			t.Fatal(err)
		}
		oldLeader.submit, newLeader.submit = unresponsive, limitReached
		err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "second"}, 7)
		if failure := fault.From(err); failure == nil || failure.Kind != fault.OutcomeUnknown {
			t.Fatalf("the call ends with %v", err)
		}
	})
}

// TestSilentLeaderIsForgottenByCallsWithLittlePatience guards against calls with short timeouts
// that keep asking an unresponsive leader, because none of them waits for the attempt to fail.
func TestSilentLeaderIsForgottenByCallsWithLittlePatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		oldLeader, newLeader := &fakeStore{submit: succeeds}, &fakeStore{}
		client, addresses := newClient(t, oldLeader, newLeader)
		newLeader.submit = notLeader(addresses[0])
		if err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "first"}, 0); err != nil {
			t.Fatal(err)
		}
		oldLeader.submit, newLeader.submit = unresponsive, succeeds
		short := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 80*time.Millisecond)
			defer cancel()
			return client.Submit(ctx, &rockwindpb.StoredJob{Id: "second"}, 0)
		}
		if err := short(); err == nil {
			t.Fatal("the unresponsive leader has answered")
		}
		if err := short(); err != nil {
			t.Fatalf("the next call ends with %v", err)
		}
	})
}
