package jobclient_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/directory"
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
