package jobclient_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobclient"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// fakeStore is a store of which a test says what it does with a job.
type fakeStore struct {
	rockwindpb.JobStoreService
	submit func(ctx context.Context) error
	asked  atomic.Int64
}

// Submit implements rockwindpb.JobStoreService.
func (f *fakeStore) Submit(ctx context.Context, _ *rockwindpb.SubmitStoredJobRequest) (*rockwindpb.SubmitStoredJobResponse, error) {
	f.asked.Add(1)
	if err := f.submit(ctx); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.SubmitStoredJobResponse{}, nil
}

// fakeSite has the given stores and one shard.
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
	for _, store := range stores {
		server := httptest.NewServer(rockwindpb.NewJobStoreServiceServer(store))
		t.Cleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		addresses = append(addresses, address)
		site.stores = append(site.stores, &rockwindpb.Machine{Name: address, Address: address})
	}
	return jobclient.New(site, &http.Client{}), addresses
}

func silent(ctx context.Context) error {
	<-ctx.Done()
	return fault.New(fault.Unavailable, "silent", "none")
}

func leads(context.Context) error { return nil }

func notLeader(leader string) func(context.Context) error {
	return func(context.Context) error {
		failure := fault.New(fault.NotLeader, "ask the leader", "ask the leader").WithRan(fault.NotRun)
		failure.Leader = leader
		return failure
	}
}

// TestSilentLeaderDoesNotHoldUpACall: the leader that the client knows loses its
// power; another store leads soon. The client waited for the whole time of an attempt
// before it asked that one, and the job's acknowledgement came too late.
func TestSilentLeaderDoesNotHoldUpACall(t *testing.T) {
	const soon = 400 * time.Millisecond
	former, next := &fakeStore{submit: leads}, &fakeStore{}
	client, addresses := newClient(t, former, next)
	next.submit = notLeader(addresses[0])
	if err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "first"}, 0); err != nil {
		t.Fatal(err)
	}
	former.submit, next.submit = silent, leads
	began := time.Now()
	if err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "second"}, 0); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > soon {
		t.Fatalf("the call took %v", took)
	}
}

// TestHintsAtTheSilentLeaderDoNotEndTheSearch: while no store leads, all name the one
// that is silent.
func TestHintsAtTheSilentLeaderDoNotEndTheSearch(t *testing.T) {
	former, next := &fakeStore{submit: silent}, &fakeStore{}
	client, addresses := newClient(t, former, next)
	elected := time.Now().Add(300 * time.Millisecond)
	next.submit = func(ctx context.Context) error {
		if time.Now().Before(elected) {
			return notLeader(addresses[0])(ctx)
		}
		return nil
	}
	if err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "job"}, 0); err != nil {
		t.Fatal(err)
	}
	if late := time.Since(elected); late > 300*time.Millisecond {
		t.Fatalf("the leader was asked %v after its election", late)
	}
}

// TestUnansweredCallIsInDoubt: a silent store may have taken the job.
func TestUnansweredCallIsInDoubt(t *testing.T) {
	client, _ := newClient(t, &fakeStore{submit: silent})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	err := client.Submit(ctx, &rockwindpb.StoredJob{Id: "job"}, 0)
	if failure := fault.From(err); failure.Kind != fault.OutcomeUnknown {
		t.Fatalf("the call ends with %v", err)
	}
}

// TestCallIsSentToOneStoreWhereItAnswersSoon: hedging costs nothing in calm times.
func TestCallIsSentToOneStoreWhereItAnswersSoon(t *testing.T) {
	first, second := &fakeStore{submit: leads}, &fakeStore{submit: leads}
	client, _ := newClient(t, first, second)
	for range 20 {
		if err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "job"}, 0); err != nil {
			t.Fatal(err)
		}
	}
	if asked := first.asked.Load() + second.asked.Load(); asked != 20 {
		t.Fatalf("20 calls were sent %d times", asked)
	}
}

func full(context.Context) error {
	return fault.New(fault.LimitReached, "full", "come back").WithRan(fault.NotRun).WithRetryAfter(2 * time.Second)
}

// TestLimitEndsACallWithTheTimeToComeBack, at once and not at another store.
func TestLimitEndsACallWithTheTimeToComeBack(t *testing.T) {
	store := &fakeStore{submit: full}
	client, _ := newClient(t, store)
	err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "job"}, 7)
	failure := fault.From(err)
	if failure == nil || failure.Kind != fault.LimitReached || failure.RetryAfter != 2*time.Second || store.asked.Load() != 1 {
		t.Fatalf("the call ends with %v after %d attempts", err, store.asked.Load())
	}
}

// TestLimitAfterALostAttemptPromisesNothing: the attempt that got no answer may have
// taken the job, so the caller must not be told that it never runs.
func TestLimitAfterALostAttemptPromisesNothing(t *testing.T) {
	former, next := &fakeStore{submit: leads}, &fakeStore{}
	client, addresses := newClient(t, former, next)
	next.submit = notLeader(addresses[0])
	if err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "first"}, 7); err != nil {
		t.Fatal(err)
	}
	former.submit, next.submit = silent, full
	err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "second"}, 7)
	if failure := fault.From(err); failure == nil || failure.Kind != fault.OutcomeUnknown {
		t.Fatalf("the call ends with %v", err)
	}
}

// TestSilentLeaderIsForgottenByCallsWithLittlePatience: a call that gave up before its
// attempt had ended forgot nothing, and each one after it asked the silent leader again.
func TestSilentLeaderIsForgottenByCallsWithLittlePatience(t *testing.T) {
	former, next := &fakeStore{submit: leads}, &fakeStore{}
	client, addresses := newClient(t, former, next)
	next.submit = notLeader(addresses[0])
	if err := client.Submit(t.Context(), &rockwindpb.StoredJob{Id: "first"}, 0); err != nil {
		t.Fatal(err)
	}
	former.submit, next.submit = silent, leads
	short := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 80*time.Millisecond)
		defer cancel()
		return client.Submit(ctx, &rockwindpb.StoredJob{Id: "second"}, 0)
	}
	if err := short(); err == nil {
		t.Fatal("the silent leader has answered")
	}
	if err := short(); err != nil {
		t.Fatalf("the next call ends with %v", err)
	}
}

// TestHintIsFollowedAtOnce: a caller with little patience finds the leader through another
// store, and through stores that know nothing of it.
func TestHintIsFollowedAtOnce(t *testing.T) {
	const stores = 8
	var all []*fakeStore
	for range stores {
		all = append(all, &fakeStore{submit: notLeader("")})
	}
	client, _ := newClient(t, all...)
	all[stores-1].submit = leads
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
	defer cancel()
	if err := client.Submit(ctx, &rockwindpb.StoredJob{Id: "job"}, 0); err != nil {
		t.Fatal(err)
	}
}
