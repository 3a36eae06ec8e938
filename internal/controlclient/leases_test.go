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

// workShards is the number of shards of a workNetwork.
const workShards = 4

// workNetwork carries calls to one machine that leads all shards, in memory.
type workNetwork struct {
	rockwindpb.ReplicaService
	rockwindpb.JobService
	mutex sync.Mutex
	calls int
	// work is closed when shard 3 has an item.
	work chan struct{}
}

func (n *workNetwork) Identity(context.Context, *rockwindpb.IdentityRequest) (*rockwindpb.IdentityResponse, error) {
	response := &rockwindpb.IdentityResponse{}
	for group := range uint32(workShards + 1) {
		response.Groups = append(response.Groups, &rockwindpb.GroupStatus{Group: group})
	}
	return response, nil
}

func (n *workNetwork) AcquireLeases(ctx context.Context, request *rockwindpb.AcquireLeasesRequest) (*rockwindpb.AcquireLeasesResponse, error) {
	n.mutex.Lock()
	n.calls++
	n.mutex.Unlock()
	var work chan struct{}
	if request.GetShards()[0] == 3 {
		work = n.work
	}
	select {
	case <-work:
	case <-time.After(time.Duration(request.GetWaitMs()) * time.Millisecond):
	case <-ctx.Done():
	}
	return answerTo(request, work), nil
}

// answerTo reports or grants the item once the channel is closed, whatever ended
// the wait.
func answerTo(request *rockwindpb.AcquireLeasesRequest, work <-chan struct{}) *rockwindpb.AcquireLeasesResponse {
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
func (n *workNetwork) RoundTrip(request *http.Request) (*http.Response, error) {
	handler := http.NewServeMux()
	for _, server := range []rockwindpb.TwirpServer{
		rockwindpb.NewJobServiceServer(n), rockwindpb.NewReplicaServiceServer(n),
	} {
		handler.Handle(server.PathPrefix(), server)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// A gateway without work calls each shard once in a wait, and has work as soon as
// there is some.
func TestIdleWaitsCallEachShardOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &workNetwork{work: make(chan struct{})}
		client := controlclient.New(controlclient.Options{
			Machines:   []*rockwindpb.ControlMachine{{Machine: "one", Address: "10.0.0.1:1"}},
			HTTPClient: &http.Client{Transport: network},
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
				t.Fatalf("%d leases are granted without work", granted)
			}
		}
		if most := (waits + 1) * workShards; network.calls > most {
			t.Fatalf("%d calls in %d waits at %d shards", network.calls, waits, workShards)
		}
		go func() {
			time.Sleep(time.Second)
			close(network.work)
		}()
		begun := time.Now()
		if granted := acquire(); granted != 1 || time.Since(begun) > time.Second {
			t.Fatalf("%d leases are granted %s after the work came", granted, time.Since(begun)-time.Second)
		}
	})
}
