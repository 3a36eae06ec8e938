package controlclient_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// leaderShards is the number of shards of fakeLeader.
const leaderShards = 4

// fakeLeader is an HTTP transport to one fake machine that leads all shards.
type fakeLeader struct {
	rockwindpb.ReplicaService
	rockwindpb.JobService
	mutex sync.Mutex
	calls int
	// work is closed once shard 3 has an item.
	work chan struct{}
}

func (l *fakeLeader) Identity(context.Context, *rockwindpb.IdentityRequest) (*rockwindpb.IdentityResponse, error) {
	response := &rockwindpb.IdentityResponse{}
	for group := range uint32(leaderShards + 1) {
		response.Groups = append(response.Groups, &rockwindpb.GroupStatus{Group: group})
	}
	return response, nil
}

func (l *fakeLeader) AcquireLeases(ctx context.Context, request *rockwindpb.AcquireLeasesRequest) (*rockwindpb.AcquireLeasesResponse, error) {
	l.mutex.Lock()
	l.calls++
	l.mutex.Unlock()
	var work chan struct{}
	if request.GetShards()[0] == 3 {
		work = l.work
	}
	select {
	case <-work:
	case <-time.After(time.Duration(request.GetWaitMs()) * time.Millisecond):
	case <-ctx.Done():
	}
	return leaseResponse(request, work), nil
}

// leaseResponse reports or grants the item if the channel is closed.
func leaseResponse(request *rockwindpb.AcquireLeasesRequest, work <-chan struct{}) *rockwindpb.AcquireLeasesResponse {
	select {
	case <-work:
	default:
		return &rockwindpb.AcquireLeasesResponse{}
	}
	if request.GetMaxItems() == 0 {
		return &rockwindpb.AcquireLeasesResponse{WorkWaits: true}
	}
	return &rockwindpb.AcquireLeasesResponse{Grants: []*rockwindpb.GrantedLease{{Lease: &rockwindpb.Lease{ItemCount: 1}}}}
}

// RoundTrip implements http.RoundTripper.
func (l *fakeLeader) RoundTrip(request *http.Request) (*http.Response, error) {
	handler := http.NewServeMux()
	for _, server := range []rockwindpb.TwirpServer{
		rockwindpb.NewJobServiceServer(l), rockwindpb.NewReplicaServiceServer(l),
	} {
		handler.Handle(server.PathPrefix(), server)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// An idle gateway must call each shard only once per long poll, and get work as
// soon as there is some.
func TestIdleWaitsCallEachShardOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leader := &fakeLeader{work: make(chan struct{})}
		client := controlclient.New(controlclient.Options{
			Machines:   []*rockwindpb.ControlMachine{{Machine: "one", Address: "10.0.0.1:1"}},
			HTTPClient: &http.Client{Transport: leader},
		})
		acquire := func() int {
			response, err := client.Jobs().AcquireLeases(t.Context(), &rockwindpb.AcquireLeasesRequest{MaxItems: 8, WaitMs: 5000})
			if err != nil {
				t.Fatal(err)
			}
			return len(response.GetGrants())
		}
		const waits = 10
		for range waits {
			if granted := acquire(); granted != 0 {
				t.Fatalf("got %d leases without work", granted)
			}
		}
		if most := (waits + 1) * leaderShards; leader.calls > most {
			t.Fatalf("%d calls in %d waits at %d shards", leader.calls, waits, leaderShards)
		}
		go func() {
			time.Sleep(time.Second)
			close(leader.work)
		}()
		start := time.Now()
		if granted := acquire(); granted != 1 || time.Since(start) > time.Second {
			t.Fatalf("got %d leases %s after the work was added, want 1 at once", granted, time.Since(start)-time.Second)
		}
	})
}
