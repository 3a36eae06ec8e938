package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/health"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/topology"
)

// Guards against a store that reports no due trial, or does not give it to an item, while the servers that are
// not ejected are full: its scheduling pass would end at an item that must not be a trial.
func TestBatchTrialIsDueWhileOtherServersAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const failing = "server-0"
		others, tries := balance.Demand{Batch: true}, balance.Demand{Batch: true, MayTry: true}
		dispatcher := router.NewDispatcher("zone", topology.Map{}, featuregate.Set{})
		dispatcher.Update(viewsOf(4, 0)[0])
		for failures := 0; failures < 4; {
			lease := dispatcher.TryAcquire("app", others)
			if lease == nil {
				t.Fatal("no server has a slot")
			}
			if lease.ID == failing {
				failures++
				lease.Done(health.Failure, 0)
			}
		}
		for lease := dispatcher.TryAcquire("app", others); lease != nil; lease = dispatcher.TryAcquire("app", others) {
			if lease.ID == failing {
				t.Fatal("an item is sent to the ejected server")
			}
		}
		if dispatcher.TrialDue("app", topology.RegionSet{}) || dispatcher.TryAcquire("app", tries) != nil {
			t.Error("a trial is due during the hold-down")
		}
		time.Sleep(3 * time.Second)
		dispatcher.Evaluate()
		if !dispatcher.TrialDue("app", topology.RegionSet{}) || dispatcher.TryAcquire("app", others) != nil {
			t.Error("no trial is due after the hold-down, or an item that must not be a trial is started")
		}
		for range 2 {
			lease := dispatcher.TryAcquire("app", tries)
			if lease == nil || lease.ID != failing || !lease.Trial {
				t.Fatalf("the server gets no trial: %+v", lease)
			}
			if dispatcher.TryAcquire("app", tries) != nil {
				t.Error("a second trial starts beside the first one")
			}
			lease.Done(health.Success, time.Millisecond)
		}
		if lease := dispatcher.TryAcquire("app", others); lease == nil || lease.ID != failing || lease.Trial {
			t.Errorf("the server that recovered is not used: %+v", lease)
		}
	})
}
