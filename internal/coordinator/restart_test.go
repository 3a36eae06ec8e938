package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// startWindow is the period over which restarted processes start.
const startWindow = 200 * time.Millisecond

// slowestStart returns the longest time a watcher took to become ready after its own start or that of
// the last coordinator, whichever was later.
func slowestStart(among []*process) time.Duration {
	var last time.Time
	for _, p := range among {
		if p.coordinator != nil && p.started.After(last) {
			last = p.started
		}
	}
	longest := time.Duration(0)
	for _, p := range among {
		if p.watcher == nil {
			continue
		}
		began := p.started
		if last.After(began) {
			began = last
		}
		longest = max(longest, p.started.Add(p.ready).Sub(began))
	}
	return longest
}

// siteSizes returns the numbers of processes to test with. Short tests, which run with the race
// detector, use a small site: with a hundred processes in one bubble the detector itself fails with
// "ThreadSanitizer: CHECK failed".
func siteSizes() []int {
	if testing.Short() {
		return []int{24}
	}
	return []int{96, 300, 1000}
}

// TestSiteIsBackSoonAfterEverythingStopped guards against slow recovery or lost state after a restart
// of all processes.
func TestSiteIsBackSoonAfterEverythingStopped(t *testing.T) {
	for _, size := range siteSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inVirtualSite(t, size, func(s *virtualSite) {
				s.restart(s.processes, startWindow)
				s.awaitReady(s.processes)
				took := slowestStart(s.processes)
				s.t.Logf("%d processes: ready %v after the start of the last coordinator, %d calls", size, took, s.network.takeCalls())
				if took > 150*time.Millisecond {
					s.t.Errorf("the last process is ready after %v", took)
				}
				for _, p := range s.processes {
					if p.watcher != nil && (p.watcher.Configuration().Number() != 1 || len(p.watcher.Stores()) != 1) {
						s.t.Fatalf("%s knows configuration %d and %d stores", p.name, p.watcher.Configuration().Number(), len(p.watcher.Stores()))
					}
				}
			})
		})
	}
}

// TestSiteIsBackAfterAPartStopped restarts half of the processes, a zone or all coordinators. Replicas
// that kept running have promised not to elect another leader for a while, so recovery includes
// that delay.
func TestSiteIsBackAfterAPartStopped(t *testing.T) {
	for name, part := range map[string]func(s *virtualSite) []*process{
		"half": func(s *virtualSite) []*process { return s.processes[2 : len(s.processes)/2] },
		"zone": func(s *virtualSite) (zone []*process) {
			for position := 0; position < len(s.processes); position += 3 {
				zone = append(zone, s.processes[position])
			}
			return zone
		},
		"coordinators": func(s *virtualSite) []*process { return s.processes[:coordinators] },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualSite(t, siteSizes()[0], func(s *virtualSite) {
				s.restart(part(s), 0)
				began := time.Now()
				s.awaitCoordinators()
				s.awaitReady(s.processes)
				took := time.Since(began)
				s.t.Logf("recovered %v after the last start", took)
				if took > time.Second {
					s.t.Errorf("the site recovered only after %v", took)
				}
			})
		})
	}
}

// TestIdleWatchersReconnectToRestartedCoordinators guards against watchers without pending changes
// noticing late that coordinators are reachable again.
func TestIdleWatchersReconnectToRestartedCoordinators(t *testing.T) {
	inVirtualSite(t, siteSizes()[0], func(s *virtualSite) {
		s.restart(s.processes[:coordinators], 0)
		s.awaitCoordinators()
		began := time.Now()
		time.Sleep(300 * time.Millisecond)
		for _, p := range s.processes {
			if p.watcher != nil && p.watcher.LastContact().Before(began.Add(-100*time.Millisecond)) {
				s.t.Fatalf("%s had its last contact with a coordinator %v before their recovery", p.name, began.Sub(p.watcher.LastContact()))
			}
		}
	})
}

// TestCoordinatorThatWasAwayDoesNotAnswerItsOldState guards against stale answers of a coordinator that
// restarts within an unchanged term.
func TestCoordinatorThatWasAwayDoesNotAnswerItsOldState(t *testing.T) {
	inVirtualSite(t, coordinators, func(s *virtualSite) {
		s.awaitCoordinators()
		away := s.processes[1]
		if _, leads := s.rootGroupOf(away).Leading(); leads {
			away = s.processes[2]
		}
		term := s.rootGroupOf(away).Status().GetTerm()
		away.stop()
		machine := newStore("late")
		if err := s.processes[0].coordinator.commitOnLeader(s.t.Context(), announceCommand(machine)); err != nil {
			s.t.Fatal(err)
		}
		// Longer than any call to the stopped coordinator is in progress.
		time.Sleep(5 * time.Second)
		s.start(away)
		for deadline := time.Now().Add(time.Minute); ; time.Sleep(100 * time.Microsecond) {
			if _, view, err := away.coordinator.currentState(); err == nil {
				if !view.directory.KnowsMachine(machine) {
					s.t.Errorf("%v after its start it serves the state from before its stop", time.Since(away.started))
				}
				break
			} else if time.Now().After(deadline) {
				s.t.Fatalf("not up to date a minute after its start: %v", err)
			}
		}
		if now := s.rootGroupOf(away).Status().GetTerm(); now != term {
			s.t.Fatalf("term %d became %d, so the test is inconclusive", term, now)
		}
	})
}

// TestStartupWaitCountsTowardsWatchWait guards against a watch that exceeds its wait because the
// coordinator has just started and has no leader.
func TestStartupWaitCountsTowardsWatchWait(t *testing.T) {
	const wait, outage = time.Second, 300 * time.Millisecond
	for name, watch := range map[string]func(ctx context.Context, c *Coordinator, held *rootView) error{
		"directory": func(ctx context.Context, c *Coordinator, held *rootView) error {
			_, err := directoryService{c}.Watch(ctx, &rockwindpb.WatchDirectoryRequest{
				HaveRevision: held.directory.Revision(), HaveConfiguration: held.catalog.Index().Number(), WaitMs: uint32(wait.Milliseconds()),
			})
			return err
		},
		"configuration": func(ctx context.Context, c *Coordinator, held *rootView) error {
			index := held.catalog.Index()
			_, err := configurationService{c}.Watch(ctx, &rockwindpb.WatchConfigurationRequest{
				HaveNumber: index.Number(), HaveChecksum: index.Checksum(), WaitMs: uint32(wait.Milliseconds()),
			})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualSite(t, coordinators, func(s *virtualSite) {
				s.awaitCoordinators()
				first, others := s.processes[0], s.processes[1:]
				_, held, err := first.coordinator.currentState()
				if err != nil {
					s.t.Fatal(err)
				}
				for _, p := range s.processes {
					p.stop()
				}
				s.start(first)
				time.Sleep(20 * time.Millisecond)
				began, ended := time.Now(), make(chan error, 1)
				go func() { ended <- watch(s.t.Context(), first.coordinator, held) }()
				time.Sleep(outage)
				for _, p := range others {
					s.start(p)
				}
				if err := <-ended; err != nil {
					s.t.Fatal(err)
				}
				if took := time.Since(began); took < outage || took > wait+leaderCheckInterval/5 {
					s.t.Errorf("a watch with a wait of %v was answered after %v", wait, took)
				}
			})
		})
	}
}
