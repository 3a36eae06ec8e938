package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/sitemetrics"
)

// TestStartLimitIsShownWhileItLasts guards against an operator who cannot see why requests wait after
// a start although servers look free, or who sees a limit that is over.
func TestStartLimitIsShownWhileItLasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := newDispatcher(40, featuregate.Set{})
		dispatcher.SetProcesses("app", 4, 100*time.Millisecond)
		for range 2 {
			lease, err := dispatcher.Acquire(t.Context(), requestOf("", time.Second))
			if err != nil {
				t.Fatal(err)
			}
			if lease.StartLimit != 5 {
				t.Errorf("a request started under a limit of %d, want 5", lease.StartLimit)
			}
		}
		// Half of the slots are assumed to have orphaned requests.
		want := sitemetrics.StartLimit{Service: "app", Requests: 5, Inflight: 2}
		if limits := dispatcher.StartLimits(); len(limits) != 1 || limits[0] != want {
			t.Fatalf("the limits are %+v, want %+v", limits, want)
		}
		there := newQueueTest(t, 8)
		there.addWaiter(requestOf("other", time.Minute))
		shareQueue(t, there.dispatcher, dispatcher)
		time.Sleep(time.Second)
		dispatcher.Evaluate()
		if limits := dispatcher.StartLimits(); len(limits) != 0 {
			t.Fatalf("the limits are %+v although the loads of others are known", limits)
		}
	})
}
