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

// behaviour is how a machine treats calls.
type behaviour int

const (
	leads behaviour = iota
	namesLeader
	namesNobody
	refusesConnections
	hangsUp
	freezes
	loses
)

// network carries calls to machines in memory.
type network struct {
	mutex    sync.Mutex
	machines []*rockwindpb.ControlMachine
	behave   map[string]behaviour
	leader   string
	attempts int
	executed int
}

func newNetwork(behave []behaviour) *network {
	n := &network{behave: make(map[string]behaviour)}
	for index, how := range behave {
		address := fmt.Sprintf("10.0.0.%d:1", index+1)
		n.machines = append(n.machines, &rockwindpb.ControlMachine{Machine: fmt.Sprint(index), Address: address})
		n.behave[address] = how
		if how == leads {
			n.leader = address
		}
	}
	return n
}

// RoundTrip implements http.RoundTripper.
func (n *network) RoundTrip(request *http.Request) (*http.Response, error) {
	address := request.URL.Host
	n.mutex.Lock()
	how := n.behave[address]
	n.mutex.Unlock()
	switch how {
	case refusesConnections:
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	case hangsUp:
		return nil, io.ErrUnexpectedEOF
	case freezes:
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	server := served{network: n, address: address, how: how}
	handler := http.NewServeMux()
	jobs := rockwindpb.NewJobServiceServer(server)
	replicas := rockwindpb.NewReplicaServiceServer(identity{network: n})
	handler.Handle(jobs.PathPrefix(), jobs)
	handler.Handle(replicas.PathPrefix(), replicas)
	handler.ServeHTTP(recorder, request)
	if how == loses && request.URL.Path == jobs.PathPrefix()+"Cancel" {
		return nil, io.ErrUnexpectedEOF
	}
	return recorder.Result(), nil
}

type identity struct {
	rockwindpb.ReplicaService
	network *network
}

func (i identity) Identity(context.Context, *rockwindpb.IdentityRequest) (*rockwindpb.IdentityResponse, error) {
	return &rockwindpb.IdentityResponse{Groups: []*rockwindpb.GroupStatus{{Group: 0}, {Group: 1}}}, nil
}

type served struct {
	rockwindpb.JobService
	network *network
	address string
	how     behaviour
}

func (s served) Cancel(context.Context, *rockwindpb.CancelJobRequest) (*rockwindpb.CancelJobResponse, error) {
	s.network.mutex.Lock()
	defer s.network.mutex.Unlock()
	s.network.attempts++
	switch s.how {
	case leads, loses:
		s.network.executed++
		return &rockwindpb.CancelJobResponse{Job: &rockwindpb.Job{Id: "done"}}, nil
	case namesLeader:
		return nil, fault.ToTwirp(fault.New(fault.NotLeader, "not the leader", "ask it").WithLeader(s.network.leader))
	default:
		return nil, fault.ToTwirp(fault.New(fault.NotLeader, "not the leader", "ask another"))
	}
}

func (n *network) client() *controlclient.Client {
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

// TestCallsFindTheLeader draws machines that do not lead, refuse, hang up or
// freeze around one leader, and checks that a call reaches the leader and that
// the next one goes straight to it.
func TestCallsFindTheLeader(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		others := rapid.SliceOfN(rapid.SampledFrom([]behaviour{namesLeader, namesNobody, refusesConnections, hangsUp, freezes}), 0, 4).Draw(rt, "others")
		position := rapid.IntRange(0, len(others)).Draw(rt, "position")
		behave := append(append(append([]behaviour{}, others[:position]...), leads), others[position:]...)
		var failure error
		synctest.Test(t, func(*testing.T) { failure = findLeader(newNetwork(behave)) })
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

func findLeader(n *network) error {
	client := n.client()
	if err := cancelJob(client); err != nil {
		return fmt.Errorf("the first call failed: %w", err)
	}
	n.attempts = 0
	before := time.Now()
	if err := cancelJob(client); err != nil {
		return fmt.Errorf("the second call failed: %w", err)
	}
	if n.attempts != 1 || time.Since(before) > 0 {
		return fmt.Errorf("the second call took %d attempts and %v", n.attempts, time.Since(before))
	}
	return nil
}

// TestUnansweredCallsTellWhetherTheyRan checks that a call which no machine
// answered is reported as not run only where no attempt was executed.
func TestUnansweredCallsTellWhetherTheyRan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		behave := rapid.SliceOfN(rapid.SampledFrom([]behaviour{namesNobody, refusesConnections, loses}), 1, 4).Draw(rt, "behave")
		var failure error
		synctest.Test(t, func(*testing.T) {
			n := newNetwork(behave)
			found := fault.From(cancelJob(n.client()))
			switch {
			case found == nil:
				failure = errors.New("a call without an answer succeeded")
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

// TestRetriesAreBounded checks that many calls to a machine that never answers
// cost little more than one attempt each.
func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork([]behaviour{loses})
		client := n.client()
		const calls = 500
		for range calls {
			if err := cancelJob(client); err == nil {
				t.Fatal("a call without an answer succeeded")
			}
		}
		if n.attempts > calls*13/10 {
			t.Fatalf("%d calls took %d attempts", calls, n.attempts)
		}
	})
}
