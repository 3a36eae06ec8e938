package site_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

func coordinatorAt(address, zone string) *rockwindpb.Machine {
	return &rockwindpb.Machine{
		Name: "coordinator-" + address, Address: address, Zone: zone, Role: rockwindpb.SiteRole_SITE_ROLE_COORDINATOR,
	}
}

// TestWatcherMovesToTheCoordinatorOfItsZone: seeds may stand in other zones; hundreds of
// processes must not stay with the three of them.
func TestWatcherMovesToTheCoordinatorOfItsZone(t *testing.T) {
	far, near := newFakeCoordinator(1), newFakeCoordinator(1)
	nearAddress, farAddress := near.start(t), ""
	far.machines = []*rockwindpb.Machine{coordinatorAt(nearAddress, "here"), coordinatorAt("127.0.0.1:9", "there")}
	near.machines = far.machines
	farAddress = far.start(t)
	watcher := followFrom(t, "here", farAddress)
	awaitNumber(t, watcher, 1, 10*time.Second)
	for deadline := time.Now().Add(10 * time.Second); watcher.Coordinators()[0] != nearAddress || near.watches.Load() < 5; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the watcher is with %v after %d calls to the near coordinator", watcher.Coordinators(), near.watches.Load())
		}
	}
	before := far.watches.Load()
	time.Sleep(300 * time.Millisecond)
	if far.watches.Load() > before+1 {
		t.Error("the watcher still calls the far coordinator")
	}
}

// TestWatcherStaysWhileTheNearCoordinatorDoesNotAnswer: the look for a nearer one delays
// no news.
func TestWatcherStaysWhileTheNearCoordinatorDoesNotAnswer(t *testing.T) {
	far, near := newFakeCoordinator(1), newFakeCoordinator(1)
	near.hanging.Store(true)
	far.machines = []*rockwindpb.Machine{coordinatorAt(near.start(t), "here")}
	watcher := followFrom(t, "here", far.start(t))
	awaitNumber(t, watcher, 1, 10*time.Second)
	for deadline := time.Now().Add(10 * time.Second); near.watches.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the near coordinator is not asked")
		}
	}
	far.number.Store(2)
	awaitNumber(t, watcher, 2, 300*time.Millisecond)
}

// TestWatcherMovesToANearCoordinatorThatHasJustStarted: it holds calls until it hears its
// leader, and has not failed.
func TestWatcherMovesToANearCoordinatorThatHasJustStarted(t *testing.T) {
	far, near := newFakeCoordinator(1), newFakeCoordinator(1)
	near.hold.Store(int64(site.MaxStartupHold))
	nearAddress := near.start(t)
	far.machines = []*rockwindpb.Machine{coordinatorAt(nearAddress, "here")}
	near.machines = far.machines
	watcher := followFrom(t, "here", far.start(t))
	awaitFirst(t, watcher, nearAddress, 4*time.Second)
}

// TestWatcherMovesToANearCoordinatorThatAnswersAgain: one that failed lately comes after the
// others only until it answers.
func TestWatcherMovesToANearCoordinatorThatAnswersAgain(t *testing.T) {
	far, near := newFakeCoordinator(1), newFakeCoordinator(1)
	nearAddress := near.start(t)
	far.machines = []*rockwindpb.Machine{coordinatorAt(nearAddress, "here")}
	near.machines = far.machines
	watcher := followFrom(t, "here", far.start(t))
	watcher.Avoid(nearAddress)
	awaitFirst(t, watcher, nearAddress, 4*time.Second)
}

// awaitFirst waits until a watcher prefers a coordinator.
func awaitFirst(t *testing.T, watcher *site.Watcher, address string, limit time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(limit); len(watcher.Coordinators()) == 0 || watcher.Coordinators()[0] != address; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the watcher is with %v after %v", watcher.Coordinators(), limit)
		}
	}
}

// followFrom runs a watcher in a zone until the end of the test.
func followFrom(t *testing.T, zone string, seeds ...string) *site.Watcher {
	t.Helper()
	watcher, err := site.NewWatcher(&rockwindpb.SiteSettings{Name: "front", Zone: zone, Seeds: seeds}, &http.Client{Transport: &http.Transport{}}, "")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- watcher.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return watcher
}

// TestWatchersOfALostCoordinatorSpread: processes have the coordinators of other zones in
// orders of their own.
func TestWatchersOfALostCoordinatorSpread(t *testing.T) {
	const processes = 300
	response := &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true}
	for i := range 4 {
		response.Machines = append(response.Machines, coordinatorAt(fmt.Sprintf("10.0.0.%d:1", i), "there"))
	}
	first := map[string]int{}
	for i := range processes {
		watcher, err := site.NewWatcher(&rockwindpb.SiteSettings{Name: fmt.Sprint("front-", i), Zone: "here"}, http.DefaultClient, "")
		if err != nil {
			t.Fatal(err)
		}
		watcher.SetDirectory(directory.Merge(nil, response))
		first[watcher.Coordinators()[0]]++
	}
	for address, count := range first {
		if count > processes/2 {
			t.Errorf("%d of %d processes would go to %s", count, processes, address)
		}
	}
	if len(first) != 4 {
		t.Errorf("the processes would go to %v", first)
	}
}
