package coordinator

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/featurelevel"
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
				s.announceLevels(s.processes[:coordinators])
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
		s.announceLevels(s.processes[:coordinators])
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
		s.announceLevels(s.processes)
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

// announceEarlier lists a coordinator of an earlier version, which announces the given feature level.
func (s *virtualSite) announceEarlier(name string, level uint32) {
	s.t.Helper()
	earlier := newStore(name)
	earlier.Role, earlier.FeatureLevel = rockwindpb.SiteRole_SITE_ROLE_COORDINATOR, level
	if err := s.processes[0].coordinator.commitOnLeader(s.t.Context(), announceCommand(earlier)); err != nil {
		s.t.Fatal(err)
	}
	time.Sleep(time.Second)
}

// expectRefusedDrain checks that a drain is refused soon, as not run, with a remedy, and that callers
// may repeat it.
func (s *virtualSite) expectRefusedDrain(c *Coordinator) {
	s.t.Helper()
	began := time.Now()
	ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
	defer cancel()
	err := c.StartZoneDrain(ctx, "east")
	if refused := fault.From(err); refused == nil || refused.Kind != fault.Unavailable || refused.Ran != fault.NotRun ||
		refused.RetryAfter <= 0 || !strings.Contains(refused.Remedy, "version") {
		s.t.Errorf("the drain at %s returned %+v", c.settings.GetName(), refused)
	}
	if took := time.Since(began); took > 800*time.Millisecond {
		s.t.Errorf("the drain at %s was refused only after %v", c.settings.GetName(), took)
	}
}

// Guards against replicas that differ because a coordinator of an earlier version ignores a drain or
// leaves it out of its snapshots: no drain starts while one is a member or listed.
func TestZoneDrainIsRefusedBesideEarlierVersions(t *testing.T) {
	inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
		s.announceLevels(s.processes[:coordinators-1])
		s.reportServerIn("east")
		asked := append(s.startNonMembers(1), s.processes[:coordinators]...)
		applied := s.rootGroupOf(s.processes[0]).Status().GetApplied()
		for _, p := range asked {
			s.expectRefusedDrain(p.coordinator)
		}
		if now := s.rootGroupOf(s.processes[0]).Status().GetApplied(); now != applied {
			t.Errorf("%d entries are committed while one coordinator has announced no level", now-applied)
		}
		s.announceLevels(s.processes[coordinators-1 : coordinators])
		for _, p := range asked {
			if err := p.coordinator.StartZoneDrain(s.t.Context(), "east"); err != nil {
				t.Errorf("the drain at %s returned %v although all have announced the level", p.name, err)
			}
		}
		for level := range featurelevel.ZoneDrains {
			s.announceEarlier("earlier", level)
			for _, p := range asked {
				s.expectRefusedDrain(p.coordinator)
			}
		}
		_, view, err := s.processes[0].coordinator.currentState()
		if err != nil || !view.zoneDrains.Drained("east") {
			t.Errorf("a drain from before ended when a coordinator of an earlier version joined: %v", err)
		}
		for _, p := range asked {
			if err := p.coordinator.EndZoneDrain(s.t.Context(), "east"); err != nil {
				t.Errorf("the end of the drain at %s returned %v", p.name, err)
			}
		}
		if _, view, err = s.processes[0].coordinator.currentState(); err != nil || view.zoneDrains.Drained("east") {
			t.Errorf("the drain is in force after its end: %v", err)
		}
	})
}

// Guards against a temporary fault that is taken for the refusal of a command by its feature level, and is not
// retried, because it has the same Retry-After.
func TestOnlyFeatureRefusalsAreAnswers(t *testing.T) {
	unavailable := fault.New(fault.Unavailable, "no leader", "ask again").WithRan(fault.NotRun).WithRetryAfter(featureRetryAfter)
	if refusal, other := splitFeatureRefusal(unavailable); refusal != nil || !errors.Is(other, unavailable) {
		t.Errorf("another fault is split into %v and %v", refusal, other)
	}
	if refusal, other := splitFeatureRefusal(fault.ToTwirp(unavailable.WithFeatureLevel(featurelevel.ZoneDrains))); refusal == nil || other != nil {
		t.Errorf("a refusal of another coordinator is split into %v and %v", refusal, other)
	}
	if refusal, other := splitFeatureRefusal(nil); refusal != nil || other != nil {
		t.Errorf("no error is split into %v and %v", refusal, other)
	}
}

// Guards against refusing an operator because a coordinator has just started and announces its level a
// moment later.
func TestZoneDrainWaitsForAnnouncement(t *testing.T) {
	inVirtualSite(t, coordinators, func(s *virtualSite) {
		s.announceLevels(s.processes[:coordinators-1])
		s.reportServerIn("east")
		for place := range coordinators - 1 {
			s.announceEarlier(s.processes[coordinators-1].name, 0)
			ended := make(chan error, 1)
			go func() { ended <- s.processes[place].coordinator.StartZoneDrain(s.t.Context(), "east") }()
			time.Sleep(maintenanceInterval)
			s.announceLevels(s.processes[coordinators-1:])
			if err := <-ended; err != nil {
				t.Errorf("the drain at %s returned %v although the last level was announced meanwhile", s.processes[place].name, err)
			}
		}
	})
}

// Guards against gating the application of commands: a drain that was committed before the level opened
// is in force at all replicas, from the log and from a snapshot.
func TestDrainCommittedBeforeTheLevelIsApplied(t *testing.T) {
	machine := newRootStateMachine()
	command, err := proto.Marshal(&rockwindpb.RootCommand{Command: &rockwindpb.RootCommand_ZoneDrain{ZoneDrain: &rockwindpb.ZoneDrainCommand{
		NowUnixMs: 1, Command: &rockwindpb.ZoneDrainCommand_Start{Start: &rockwindpb.StartZoneDrainRequest{Zone: "east"}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	machine.Apply(1, command)
	machine.Publish()
	if !machine.view().zoneDrains.Drained("east") {
		t.Error("a drain of the log is not in force")
	}
	content, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := newRootStateMachine()
	if err := restored.Restore(content); err != nil || !restored.view().zoneDrains.Drained("east") {
		t.Errorf("a drain of a snapshot is not in force: %v", err)
	}
}
