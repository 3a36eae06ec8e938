package coordinator

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/decision"
)

// startWatchersWithSeeds starts watchers with the given seeds.
func (s *virtualSite) startWatchersWithSeeds(count int, seeds ...string) []*process {
	known := s.seeds
	s.seeds = seeds
	defer func() { s.seeds = known }()
	var added []*process
	for place := range count {
		p := &process{name: fmt.Sprintf("new%d", place)}
		s.start(p)
		s.processes = append(s.processes, p)
		added = append(added, p)
	}
	return added
}

// TestUnreachableSeedsCauseNoRetryStorm guards against retry storms while all seeds are
// unreachable, and against slow recovery once one is reachable again.
func TestUnreachableSeedsCauseNoRetryStorm(t *testing.T) {
	const count = 20
	for name, silent := range map[string]bool{"refusing": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			inVirtualSite(t, coordinators, func(s *virtualSite) {
				s.network.dropUnanswered = silent
				added := s.startWatchersWithSeeds(count, "gone0", "gone1", "gone2")
				written := decision.Default.Counts()[decision.CoordinatorsSilent].Decided
				time.Sleep(time.Second)
				first := s.network.takeUnanswered()
				time.Sleep(time.Minute - time.Second)
				s.network.takeUnanswered()
				time.Sleep(10 * time.Second)
				later := float64(s.network.takeUnanswered()) / count / 10
				if silence, failed := added[0].watcher.WatchFailures(); silence < time.Minute || failed == 0 {
					t.Errorf("a process reports silence for %v and %d attempts", silence, failed)
				}
				// Written after three seconds and every thirty seconds from then on.
				if said := decision.Default.Counts()[decision.CoordinatorsSilent].Decided - written; said != 3*count {
					t.Errorf("%d processes logged %d times that no coordinator answers", count, said)
				}
				s.network.alias("gone1", s.seeds[0])
				began := time.Now()
				s.awaitReady(added)
				took := time.Since(began)
				s.t.Logf("attempts per process: %d in the first second, %.2f per second after a minute; recovered after %v", first/count, later, took)
				if later > 2.5 || took > 3*time.Second {
					t.Errorf("a process makes %.2f attempts per second after a minute and recovered after %v", later, took)
				}
			})
		})
	}
}

// TestNewProcessesStartWithOneReachableSeed verifies that new processes start with one reachable
// seed of three, and that running ones find coordinators through the directory when seeds fail.
func TestNewProcessesStartWithOneReachableSeed(t *testing.T) {
	inVirtualSite(t, coordinators+10, func(s *virtualSite) {
		s.network.dropUnanswered = true
		for _, p := range s.processes[:2] {
			p.stop()
		}
		time.Sleep(5 * time.Second)
		for _, p := range s.processes[coordinators:] {
			if silent, _ := p.watcher.WatchFailures(); silent > 2*time.Second {
				t.Errorf("%s had no contact with a coordinator for %v with three of five running", p.name, silent)
			}
		}
		added := s.startWatchersWithSeeds(20, s.seeds[0], s.seeds[1], s.seeds[2])
		s.awaitReady(added)
		took := slowestStart(added)
		s.t.Logf("new processes are ready after %v", took)
		if took > 800*time.Millisecond {
			t.Errorf("a new process is ready after %v", took)
		}
	})
}

// TestNonMemberRestartsWithDeadSeeds verifies that a restarted non-member finds members through the
// addresses stored on its disk.
func TestNonMemberRestartsWithDeadSeeds(t *testing.T) {
	inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
		nonMember := s.startNonMembers(1)[0]
		nonMember.stop()
		known := s.seeds
		s.seeds = []string{"gone0", "gone1", "gone2"}
		s.start(nonMember)
		s.seeds = known
		time.Sleep(time.Second)
		took := s.callAll(nonMember, 2)
		s.t.Logf("longest call: %v", took)
		if took > 500*time.Millisecond {
			t.Errorf("a call took %v", took)
		}
	})
}
