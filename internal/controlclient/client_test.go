package controlclient_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// behaviour is how a fake machine responds to calls.
type behaviour int

const (
	leads behaviour = iota
	redirectsToLeader
	refusesWithoutLeader
	refusesConnections
	closesConnection
	hangs
	losesResponse
)

// fakeNetwork is an HTTP transport to fake machines in memory.
type fakeNetwork struct {
	mutex      sync.Mutex
	machines   []*rockwindpb.ControlMachine
	behaviours map[string]behaviour
	leader     string
	attempts   int
	executed   int
}

func newFakeNetwork(behaviours []behaviour) *fakeNetwork {
	n := &fakeNetwork{behaviours: make(map[string]behaviour)}
	for index, behaviour := range behaviours {
		address := fmt.Sprintf("10.0.0.%d:1", index+1)
		n.machines = append(n.machines, &rockwindpb.ControlMachine{Machine: fmt.Sprint(index), Address: address})
		n.behaviours[address] = behaviour
		if behaviour == leads {
			n.leader = address
		}
	}
	return n
}

// RoundTrip implements http.RoundTripper.
func (n *fakeNetwork) RoundTrip(request *http.Request) (*http.Response, error) {
	address := request.URL.Host
	n.mutex.Lock()
	behaviour := n.behaviours[address]
	n.mutex.Unlock()
	switch behaviour {
	case refusesConnections:
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	case closesConnection:
		return nil, io.ErrUnexpectedEOF
	case hangs:
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	server := jobService{network: n, address: address, behaviour: behaviour}
	handler := http.NewServeMux()
	jobs := rockwindpb.NewJobServiceServer(server)
	replicas := rockwindpb.NewReplicaServiceServer(replicaService{network: n})
	handler.Handle(jobs.PathPrefix(), jobs)
	handler.Handle(replicas.PathPrefix(), replicas)
	handler.ServeHTTP(recorder, request)
	if behaviour == losesResponse && request.URL.Path == jobs.PathPrefix()+"Cancel" {
		return nil, io.ErrUnexpectedEOF
	}
	return recorder.Result(), nil
}

type replicaService struct {
	rockwindpb.ReplicaService
	network *fakeNetwork
}

func (r replicaService) Identity(context.Context, *rockwindpb.IdentityRequest) (*rockwindpb.IdentityResponse, error) {
	return &rockwindpb.IdentityResponse{Groups: []*rockwindpb.GroupStatus{{Group: 0}, {Group: 1}}}, nil
}

type jobService struct {
	rockwindpb.JobService
	network   *fakeNetwork
	address   string
	behaviour behaviour
}

func (s jobService) Cancel(context.Context, *rockwindpb.CancelJobRequest) (*rockwindpb.CancelJobResponse, error) {
	s.network.mutex.Lock()
	defer s.network.mutex.Unlock()
	s.network.attempts++
	switch s.behaviour {
	case leads, losesResponse:
		s.network.executed++
		return &rockwindpb.CancelJobResponse{Job: &rockwindpb.Job{Id: "done"}}, nil
	case redirectsToLeader:
		return nil, fault.ToTwirp(fault.New(fault.NotLeader, "not the leader", "ask it").WithLeader(s.network.leader))
	default:
		return nil, fault.ToTwirp(fault.New(fault.NotLeader, "not the leader", "ask another"))
	}
}

func (n *fakeNetwork) client() *controlclient.Client {
	return controlclient.New(controlclient.Options{
		Machines:   n.machines,
		HTTPClient: &http.Client{Transport: n},
		Random:     func() float64 { return 0.5 },
	})
}

func cancelJob(client *controlclient.Client) error {
	_, err := client.Jobs().Cancel(context.Background(), &rockwindpb.CancelJobRequest{JobId: "job-1-0000000000000001"})
	return err
}

// A call must reach the leader among machines that redirect, refuse, disconnect or
// hang, and the next call must go to the leader directly.
func TestCallsFindTheLeader(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		others := rapid.SliceOfN(rapid.SampledFrom([]behaviour{redirectsToLeader, refusesWithoutLeader, refusesConnections, closesConnection, hangs}), 0, 4).Draw(rt, "others")
		position := rapid.IntRange(0, len(others)).Draw(rt, "position")
		behaviours := append(append(append([]behaviour{}, others[:position]...), leads), others[position:]...)
		var failure error
		synctest.Test(t, func(*testing.T) { failure = checkFindsLeader(newFakeNetwork(behaviours)) })
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

func checkFindsLeader(n *fakeNetwork) error {
	client := n.client()
	if err := cancelJob(client); err != nil {
		return fmt.Errorf("first call: %w", err)
	}
	n.attempts = 0
	before := time.Now()
	if err := cancelJob(client); err != nil {
		return fmt.Errorf("second call: %w", err)
	}
	if n.attempts != 1 || time.Since(before) > 0 {
		return fmt.Errorf("second call took %d attempts and %v, want 1 attempt without backoff", n.attempts, time.Since(before))
	}
	return nil
}

// A write without an answer must be reported as not run only if no attempt was
// executed.
func TestUnansweredCallsTellWhetherTheyRan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		behaviours := rapid.SliceOfN(rapid.SampledFrom([]behaviour{refusesWithoutLeader, refusesConnections, losesResponse}), 1, 4).Draw(rt, "behaviours")
		var failure error
		synctest.Test(t, func(*testing.T) {
			n := newFakeNetwork(behaviours)
			found := fault.From(cancelJob(n.client()))
			switch {
			case found == nil:
				failure = errors.New("call succeeded without an answer")
			case n.executed > 0 && (found.Kind != fault.OutcomeUnknown || found.Ran != fault.RanUnknown):
				failure = fmt.Errorf("executed %d times, reported as %s, %s", n.executed, found.Kind, found.Ran)
			case n.executed == 0 && found.Ran != fault.NotRun:
				failure = fmt.Errorf("never executed, reported as %s, %s", found.Kind, found.Ran)
			}
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

// The retry budget must bound the attempts at a machine that never answers.
func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newFakeNetwork([]behaviour{losesResponse})
		client := n.client()
		const calls = 500
		for range calls {
			if err := cancelJob(client); err == nil {
				t.Fatal("call succeeded without an answer")
			}
		}
		if n.attempts > calls*13/10 {
			t.Fatalf("%d calls took %d attempts", calls, n.attempts)
		}
	})
}
