package router_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/topology"
)

// oneServer returns a dispatcher for a server with the given slots.
func oneServer(slots uint32) *router.Dispatcher { return newDispatcher(slots, featuregate.Set{}) }

func newDispatcher(slots uint32, gates featuregate.Set) *router.Dispatcher {
	register := directory.New()
	register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
		Id: "server", Service: "app", Address: "10.0.0.1:1", Slots: slots, State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: 1,
	}}})
	dispatcher := router.NewDispatcher("zone", topology.Map{}, gates)
	dispatcher.Update(register.View())
	return dispatcher
}

func acquire(dispatcher *router.Dispatcher, maxWait time.Duration) (*router.Lease, error) {
	return dispatcher.Acquire(context.Background(), router.AcquireRequest{Service: "app", StartBy: time.Now().Add(time.Second), MaxWait: maxWait})
}

// TestRequestWaitsForBusyServer checks that a request waits for a free slot instead of being
// refused.
func TestRequestWaitsForBusyServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := oneServer(1)
		running, err := acquire(dispatcher, 4*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(800*time.Millisecond, func() { running.Done(health.Success, 0) })
		began := time.Now()
		served, err := acquire(dispatcher, 4*time.Second)
		if err != nil || time.Since(began) > time.Second {
			t.Fatalf("%v after %v", err, time.Since(began))
		}
		served.Done(health.Success, 0)
	})
}

// TestRequestBehindTooManyIsRefusedAtOnce checks that a request is refused without waiting if the
// queue takes longer than its maximum wait.
func TestRequestBehindTooManyIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := oneServer(2)
		for range 2 {
			if _, err := acquire(dispatcher, time.Minute); err != nil {
				t.Fatal(err)
			}
		}
		const waiters = 12
		ended := make(chan error, waiters)
		for range waiters {
			go func() {
				_, err := acquire(dispatcher, 20*time.Second)
				ended <- err
			}()
		}
		synctest.Wait()
		began := time.Now()
		_, err := acquire(dispatcher, 4*time.Second)
		failure := fault.From(err)
		if time.Since(began) != 0 || failure == nil || failure.Kind != fault.Overloaded || failure.Ran != fault.NotRun || failure.RetryAfter < time.Second {
			t.Fatalf("%v after %v", err, time.Since(began))
		}
		// A request with a longer maximum wait is queued.
		if _, err := acquire(dispatcher, 10*time.Second); time.Since(began) != 10*time.Second {
			t.Fatalf("%v after %v", err, time.Since(began))
		}
		for range waiters {
			<-ended
		}
	})
}

// TestNewProcessLearnsHoldTimeFromFirstRequest guards against refusing short requests until
// dozens of them have ended.
func TestNewProcessLearnsHoldTimeFromFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := oneServer(1)
		first, err := acquire(dispatcher, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		first.Done(health.Success, 0)
		running, err := acquire(dispatcher, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(20*time.Millisecond, func() { running.Done(health.Success, 0) })
		if _, err := acquire(dispatcher, 300*time.Millisecond); err != nil {
			t.Fatalf("refused before a request of 20 ms: %v", err)
		}
	})
}
