package coordinator

import (
	"context"
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// startSpread is how far apart processes start that come back together.
const startSpread = 200 * time.Millisecond

// slowest is the longest time that a watcher took from the start of the last coordinator, or
// its own if that was later, until it was ready.
func slowest(among []*process) time.Duration {
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

// sizes are how many processes the sites of the tests have. Short tests, which run with the race
// detector, have fewer: on the events of a hundred processes within one bubble the detector
// itself fails ("ThreadSanitizer: CHECK failed", in its count of epochs).
func sizes() []int {
	if testing.Short() {
		return []int{24}
	}
	return []int{96, 300, 1000}
}

// TestSiteIsBackSoonAfterEverythingStopped ends all processes of a site at once. From the
// start of the last coordinator on, each process knows the configuration and the directory
// within 0.15 s, however many there are, and what was known is in the answers.
func TestSiteIsBackSoonAfterEverythingStopped(t *testing.T) {
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inVirtualSite(t, size, func(s *virtualSite) {
				s.restart(s.processes, startSpread)
				s.awaitReady(s.processes)
				took := slowest(s.processes)
				s.t.Logf("%d processes: ready %v after the last coordinator's start, %d calls", size, took, s.links.takeCalls())
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

// TestSiteIsBackAfterAPartStopped ends half of all processes with three of the five
// coordinators, a zone with two of them, or the coordinators alone. Where some live on, promises to a leader that may
// still lead are waited for. Afterwards all coordinators are current, and all watchers that
// had ended know what they need.
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
			inVirtualSite(t, sizes()[0], func(s *virtualSite) {
				s.restart(part(s), 0)
				began := time.Now()
				s.awaitCoordinators()
				s.awaitReady(s.processes)
				took := time.Since(began)
				s.t.Logf("back %v after the last start", took)
				if took > time.Second {
					s.t.Errorf("the site is back after %v", took)
				}
			})
		})
	}
}

// TestLivingProcessesHearAtOnceThatCoordinatorsAreBack ends the coordinators alone. The others
// have nothing to learn, and know soon after the start that a coordinator hears them: what
// they deny or let in rests on when one was heard last.
func TestLivingProcessesHearAtOnceThatCoordinatorsAreBack(t *testing.T) {
	inVirtualSite(t, sizes()[0], func(s *virtualSite) {
		s.restart(s.processes[:coordinators], 0)
		s.awaitCoordinators()
		began := time.Now()
		time.Sleep(300 * time.Millisecond)
		for _, p := range s.processes {
			if p.watcher != nil && p.watcher.LastHeard().Before(began.Add(-100*time.Millisecond)) {
				s.t.Fatalf("%s heard a coordinator %v before they were back", p.name, began.Sub(p.watcher.LastHeard()))
			}
		}
	})
}

// TestCoordinatorThatWasAwayDoesNotAnswerItsOldState restarts one coordinator alone. Leader
// and term stay, and what was committed meanwhile it must hold before it answers.
func TestCoordinatorThatWasAwayDoesNotAnswerItsOldState(t *testing.T) {
	inVirtualSite(t, coordinators, func(s *virtualSite) {
		s.awaitCoordinators()
		away := s.processes[1]
		if _, leads := s.rootOf(away).Leading(); leads {
			away = s.processes[2]
		}
		term := s.rootOf(away).Status().GetTerm()
		away.stop()
		machine := storeNamed("late")
		if err := s.processes[0].coordinator.change(s.t.Context(), announcing(machine)); err != nil {
			s.t.Fatal(err)
		}
		// Longer than any call to the coordinator that is away is under way.
		time.Sleep(5 * time.Second)
		s.start(away)
		for deadline := time.Now().Add(time.Minute); ; time.Sleep(100 * time.Microsecond) {
			if _, view, err := away.coordinator.current(); err == nil {
				if !view.directory.KnowsMachine(machine) {
					s.t.Errorf("%v after its start it answers the state from before it was away", time.Since(away.started))
				}
				break
			} else if time.Now().After(deadline) {
				s.t.Fatalf("not current a minute after its start: %v", err)
			}
		}
		if now := s.rootOf(away).Status().GetTerm(); now != term {
			s.t.Fatalf("term %d became %d: the test shows nothing", term, now)
		}
	})
}

// TestHoldAfterAStartCountsWithinTheWait: whoever asks for news sets how long it waits for an
// answer, which a coordinator that has just started and hears no leader must not exceed.
func TestHoldAfterAStartCountsWithinTheWait(t *testing.T) {
	const wait, until = time.Second, 300 * time.Millisecond
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
				_, held, err := first.coordinator.current()
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
				time.Sleep(until)
				for _, p := range others {
					s.start(p)
				}
				if err := <-ended; err != nil {
					s.t.Fatal(err)
				}
				if took := time.Since(began); took < until || took > wait+freshnessInterval/5 {
					s.t.Errorf("a call that waits for %v is answered after %v", wait, took)
				}
			})
		})
	}
}
