package coordinator

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// maxDrainDelay bounds the time from the acknowledgement of a drain until all processes know it,
// without faults. It covers the linger, two network delays and a disk sync.
const maxDrainDelay = 2 * minLinger

// awaitDrain waits until all watchers know whether a zone is drained, and returns how long that took.
func (s *virtualSite) awaitDrain(zone string, drained bool) time.Duration {
	s.t.Helper()
	began := time.Now()
	for _, p := range s.processes {
		for p.watcher != nil && p.watcher.ZoneDrains().Drained(zone) != drained {
			if time.Since(began) > time.Minute {
				s.t.Fatalf("%s has not received the drain of %s as %v", p.name, zone, drained)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

// reportServerIn reports a server in a zone.
func (s *virtualSite) reportServerIn(zone string) {
	s.t.Helper()
	server := &rockwindpb.Server{Id: "in " + zone, Service: "app", Address: "10.0.0.1:80", Zone: zone, State: rockwindpb.ServerState_SERVER_STATE_READY}
	if err := s.processes[0].coordinator.Report(s.t.Context(), server); err != nil {
		s.t.Fatal(err)
	}
}

// TestZoneDrainReachesAllProcesses guards against slow propagation of the start and end of a drain,
// and against losing them in a restart of all processes.
func TestZoneDrainReachesAllProcesses(t *testing.T) {
	for _, size := range siteSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inVirtualSite(t, size, func(s *virtualSite) {
				s.reportServerIn("east")
				for place, change := range []func(c *Coordinator) error{
					func(c *Coordinator) error { return c.StartZoneDrain(s.t.Context(), "east") },
					func(c *Coordinator) error { return c.EndZoneDrain(s.t.Context(), "east") },
				} {
					for range 2 {
						if err := change(s.processes[place].coordinator); err != nil {
							s.t.Fatal(err)
						}
					}
					drained := place == 0
					if took := s.awaitDrain("east", drained); took > maxDrainDelay {
						s.t.Errorf("%d processes know only after %v that the drain is %v", size, took, drained)
					}
					if size > 300 {
						// Restarts of this size are covered by TestSiteIsBackSoonAfterEverythingStopped.
						continue
					}
					s.restart(s.processes, startWindow)
					s.awaitReady(s.processes)
					for _, p := range s.processes {
						if p.watcher != nil && p.watcher.ZoneDrains().Drained("east") != drained {
							s.t.Fatalf("%s is ready after the restart without knowing that the drain is %v", p.name, drained)
						}
					}
				}
			})
		})
	}
}

func TestZoneDrainThroughNonMember(t *testing.T) {
	inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
		s.reportServerIn("east")
		nonMember := s.startNonMembers(1)[0].coordinator
		if err := nonMember.StartZoneDrain(s.t.Context(), "east"); err != nil {
			s.t.Fatal(err)
		}
		listed, err := zoneDrainService{nonMember}.List(s.t.Context(), &rockwindpb.ListZoneDrainsRequest{})
		if err != nil || len(listed.GetDrains()) != 1 || listed.GetDrains()[0].GetZone() != "east" {
			s.t.Fatalf("a non-member lists %v, %v", listed, err)
		}
		if err := nonMember.EndZoneDrain(s.t.Context(), "east"); err != nil {
			s.t.Fatal(err)
		}
		if err := nonMember.StartZoneDrain(s.t.Context(), "nowhere"); !fault.Is(err, fault.NotFound) {
			s.t.Fatalf("draining an empty zone returned %v", err)
		}
	})
}

// TestWatchWithoutDrainRevisionWaitsForChange guards against answering watchers immediately and
// endlessly that do not send the revision of the drains that they know.
func TestWatchWithoutDrainRevisionWaitsForChange(t *testing.T) {
	inVirtualSite(t, coordinators, func(s *virtualSite) {
		s.reportServerIn("east")
		c := s.processes[0].coordinator
		if err := c.StartZoneDrain(s.t.Context(), "east"); err != nil {
			s.t.Fatal(err)
		}
		s.awaitCoordinators()
		_, view, err := c.currentState()
		if err != nil {
			s.t.Fatal(err)
		}
		request := &rockwindpb.WatchDirectoryRequest{HaveRevision: view.directory.Revision(), HaveConfiguration: 1, WaitMs: 1000}
		began := time.Now()
		if _, err := (directoryService{c}).Watch(s.t.Context(), request); err != nil || time.Since(began) < time.Second {
			s.t.Fatalf("the watch was answered after %v, %v", time.Since(began), err)
		}
		request.KnowsZoneDrains = true
		response, err := directoryService{c}.Watch(s.t.Context(), request)
		if err != nil || len(response.GetZoneDrains()) != 1 {
			s.t.Fatalf("a watcher that supports drains received %v, %v", response.GetZoneDrains(), err)
		}
	})
}
