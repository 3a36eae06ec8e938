package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/topology"
)

// TestRequestThatTriedFreeServersBlocksNobody covers new and waiting requests.
func TestRequestThatTriedFreeServersBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		register := directory.New()
		for i, id := range []string{"a", "b"} {
			register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
				Id: id, Service: "app", Address: "10.0.0.1:" + []string{"1", "2"}[i], Slots: 1,
				State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: uint64(i + 1),
			}}})
		}
		dispatcher := router.NewDispatcher("zone", topology.Map{}, featuregate.Set{})
		dispatcher.Update(register.View())
		tried := requestOf("", time.Minute)
		tried.Tried = []string{"a"}
		atB, err := dispatcher.Acquire(t.Context(), tried)
		if err != nil || atB.ID != "b" {
			t.Fatal(atB, err)
		}
		again := make(chan string, 1)
		go func() {
			lease, err := dispatcher.Acquire(t.Context(), tried)
			if err != nil {
				again <- err.Error()
				return
			}
			again <- lease.ID
		}()
		synctest.Wait()
		began := time.Now()
		atA, err := dispatcher.Acquire(t.Context(), requestOf("", 4*time.Second))
		if err != nil || time.Since(began) != 0 || atA.ID != "a" {
			t.Fatalf("%v after %v", err, time.Since(began))
		}
		time.AfterFunc(time.Second, func() { atA.Done(health.Success, 0) })
		next, err := dispatcher.Acquire(t.Context(), requestOf("", 4*time.Second))
		if err != nil || time.Since(began) != time.Second || next.ID != "a" {
			t.Fatalf("%v after %v", err, time.Since(began))
		}
		atB.Done(health.Success, 0)
		if server := <-again; server != "b" {
			t.Fatalf("it went to %s again", server)
		}
	})
}
