package coordinator

import (
	"fmt"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/decision"
)

// watchers starts processes that know the given seeds.
func (s *virtualSite) watchers(count int, seeds ...string) []*process {
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

// TestProcessesThatKnowOnlyDeadSeedsTryOnWithoutAStorm starts processes whose seeds are all gone.
// After a minute each asks some two times a second, and once a machine is back under one of these
// addresses they know the site within three seconds.
func TestProcessesThatKnowOnlyDeadSeedsTryOnWithoutAStorm(t *testing.T) {
	const count = 20
	for name, silent := range map[string]bool{"refusing": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			inVirtualSite(t, coordinators, func(s *virtualSite) {
				s.links.silent = silent
				added := s.watchers(count, "gone0", "gone1", "gone2")
				written := decision.Default.Counts()[decision.CoordinatorsSilent].Decided
				time.Sleep(time.Second)
				first := s.links.takeUnanswered()
				time.Sleep(time.Minute - time.Second)
				s.links.takeUnanswered()
				time.Sleep(10 * time.Second)
				later := float64(s.links.takeUnanswered()) / count / 10
				if told, failed := added[0].watcher.Silence(); told < time.Minute || failed == 0 {
					t.Errorf("a process tells that it has heard nobody for %v, with %d tries", told, failed)
				}
				// At three seconds, and each thirty after that.
				if said := decision.Default.Counts()[decision.CoordinatorsSilent].Decided - written; said != 3*count {
					t.Errorf("%d processes write %d times that nobody answers", count, said)
				}
				s.links.alias("gone1", s.seeds[0])
				began := time.Now()
				s.awaitReady(added)
				took := time.Since(began)
				s.t.Logf("tries of a process in its first second %d, a second after a minute %.2f; back after %v", first/count, later, took)
				if later > 2.5 || took > 3*time.Second {
					t.Errorf("a process asks %.2f times a second after a minute, and knows the site after %v", later, took)
				}
			})
		})
	}
}

// TestNewcomersFindTheSiteThroughAnySeedThatLives gives processes two seeds of machines that are gone
// without a word and one that lives, and others whose seeds were exchanged under them: who runs
// goes by the directory.
func TestNewcomersFindTheSiteThroughAnySeedThatLives(t *testing.T) {
	inVirtualSite(t, coordinators+10, func(s *virtualSite) {
		s.links.silent = true
		for _, p := range s.processes[:2] {
			p.stop()
		}
		time.Sleep(5 * time.Second)
		for _, p := range s.processes[coordinators:] {
			if silent, _ := p.watcher.Silence(); silent > 2*time.Second {
				t.Errorf("%s has heard no coordinator for %v, though three of five run", p.name, silent)
			}
		}
		added := s.watchers(20, s.seeds[0], s.seeds[1], s.seeds[2])
		s.awaitReady(added)
		took := slowest(added)
		s.t.Logf("newcomers are ready after %v", took)
		if took > 800*time.Millisecond {
			t.Errorf("a newcomer is ready after %v", took)
		}
	})
}

// TestCoordinatorOutsideOutlivesItsSeeds restarts a coordinator without a replica of the root
// group after all its seeds were exchanged: it goes by the members that its disk names.
func TestCoordinatorOutsideOutlivesItsSeeds(t *testing.T) {
	inSiteThatAdmits(t, coordinators, func(s *virtualSite) {
		outside := s.startOutside(1)[0]
		outside.stop()
		known := s.seeds
		s.seeds = []string{"gone0", "gone1", "gone2"}
		s.start(outside)
		s.seeds = known
		time.Sleep(time.Second)
		took := s.callAll(outside, 2)
		s.t.Logf("the longest call takes %v", took)
		if took > 500*time.Millisecond {
			t.Errorf("a call takes %v", took)
		}
	})
}
