package site_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

func newCoordinatorMachine(address, zone string) *rockwindpb.Machine {
	return &rockwindpb.Machine{
		Name: "coordinator-" + address, Address: address, Zone: zone, Role: rockwindpb.SiteRole_SITE_ROLE_COORDINATOR,
	}
}

// TestWatcherMovesToACoordinatorInItsZone guards against hundreds of processes that stay with the
// seeds, which may be in other zones.
func TestWatcherMovesToACoordinatorInItsZone(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, network *virtualNetwork) {
		far, near := newFakeCoordinator(1), newFakeCoordinator(1)
		nearAddress, farAddress := network.add(near), ""
		far.machines = []*rockwindpb.Machine{newCoordinatorMachine(nearAddress, "here"), newCoordinatorMachine("127.0.0.1:9", "there")}
		near.machines = far.machines
		farAddress = network.add(far)
		watcher := network.startWatcherInZone(t, "here", farAddress)
		awaitConfiguration(t, watcher, 1, 10*time.Second)
		for deadline := time.Now().Add(10 * time.Second); watcher.Coordinators()[0] != nearAddress || near.watches.Load() < 5; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("the watcher uses %v after %d calls to the near coordinator", watcher.Coordinators(), near.watches.Load())
			}
		}
		before := far.watches.Load()
		time.Sleep(300 * time.Millisecond)
		if far.watches.Load() > before+1 {
			t.Error("the watcher still calls the far coordinator")
		}
	})
}

// TestWatcherKeepsItsCoordinatorWhileANearerOneHangs verifies that the search for a nearer
// coordinator does not delay changes.
func TestWatcherKeepsItsCoordinatorWhileANearerOneHangs(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, network *virtualNetwork) {
		far, near := newFakeCoordinator(1), newFakeCoordinator(1)
		near.hanging.Store(true)
		far.machines = []*rockwindpb.Machine{newCoordinatorMachine(network.add(near), "here")}
		watcher := network.startWatcherInZone(t, "here", network.add(far))
		awaitConfiguration(t, watcher, 1, 10*time.Second)
		for deadline := time.Now().Add(10 * time.Second); near.watches.Load() == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the near coordinator is not probed")
			}
		}
		far.number.Store(2)
		awaitConfiguration(t, watcher, 2, 300*time.Millisecond)
	})
}

// TestWatcherMovesToANearCoordinatorThatHasJustStarted: a coordinator that holds calls after its
// start has not failed.
func TestWatcherMovesToANearCoordinatorThatHasJustStarted(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, network *virtualNetwork) {
		far, near := newFakeCoordinator(1), newFakeCoordinator(1)
		near.watchDelay.Store(int64(site.MaxStartupHold))
		nearAddress := network.add(near)
		far.machines = []*rockwindpb.Machine{newCoordinatorMachine(nearAddress, "here")}
		near.machines = far.machines
		watcher := network.startWatcherInZone(t, "here", network.add(far))
		awaitPreferred(t, watcher, nearAddress, 4*time.Second)
	})
}

// TestWatcherMovesToANearCoordinatorThatAnswersAgain: a coordinator is avoided only until it
// answers.
func TestWatcherMovesToANearCoordinatorThatAnswersAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, network *virtualNetwork) {
		far, near := newFakeCoordinator(1), newFakeCoordinator(1)
		nearAddress := network.add(near)
		far.machines = []*rockwindpb.Machine{newCoordinatorMachine(nearAddress, "here")}
		near.machines = far.machines
		watcher := network.startWatcherInZone(t, "here", network.add(far))
		watcher.Avoid(nearAddress)
		awaitPreferred(t, watcher, nearAddress, 4*time.Second)
	})
}

// awaitPreferred waits until a watcher prefers a coordinator.
func awaitPreferred(t *testing.T, watcher *site.Watcher, address string, limit time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(limit); len(watcher.Coordinators()) == 0 || watcher.Coordinators()[0] != address; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the watcher uses %v after %v", watcher.Coordinators(), limit)
		}
	}
}

// TestWatchersSpreadOverCoordinatorsOfOtherZones verifies that processes rank the coordinators of
// other zones differently.
func TestWatchersSpreadOverCoordinatorsOfOtherZones(t *testing.T) {
	const processes = 300
	response := &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true}
	for i := range 4 {
		response.Machines = append(response.Machines, newCoordinatorMachine(fmt.Sprintf("10.0.0.%d:1", i), "there"))
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
			t.Errorf("%d of %d processes prefer %s", count, processes, address)
		}
	}
	if len(first) != 4 {
		t.Errorf("the processes prefer %v", first)
	}
}
