package coordinator

import (
	"context"
	"slices"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// staggeredReturn is the time from the first to the last start of a coordinator.
const staggeredReturn = 360 * time.Millisecond

// startNext starts the next coordinator of a staggered return and waits until the one after it is due.
func (s *virtualSite) startNext(p *process) {
	s.start(p)
	time.Sleep(staggeredReturn / (coordinators - 1))
}

// stopAll stops all processes for a while, as a loss of all power does.
func (s *virtualSite) stopAll() {
	for _, p := range s.processes {
		p.stop()
	}
	time.Sleep(600 * time.Millisecond)
}

// TestWatchersNeedNotWaitForTheLastCoordinator guards against watchers without configuration and
// directory until the last of five coordinators is back, although three are there.
func TestWatchersNeedNotWaitForTheLastCoordinator(t *testing.T) {
	for name, test := range map[string]struct {
		keyLifeMs uint32
		// reversed starts the coordinators that are not seeds of the watchers first.
		reversed bool
		// ready bounds the time from the start of the third coordinator until each watcher is ready.
		least, most time.Duration
	}{
		"confirmed state": {most: 100 * time.Millisecond},
		// Only one of the three seeds is up, and some watchers ask the others several times first.
		"seeds start last": {reversed: true, most: 160 * time.Millisecond},
		// The strict revocation of keys excludes it, so the fifth coordinator is waited for.
		"strict revocation": {keyLifeMs: 3000, least: staggeredReturn / 2, most: staggeredReturn/2 + 100*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualSite(t, siteSizes()[0], func(s *virtualSite) {
				s.keyLifeMs = test.keyLifeMs
				s.stopAll()
				watchers := s.processes[coordinators:]
				for _, p := range watchers {
					s.start(p)
				}
				order := slices.Clone(s.processes[:coordinators])
				if test.reversed {
					slices.Reverse(order)
				}
				for _, p := range order {
					s.startNext(p)
				}
				s.awaitReady(s.processes)
				first, last := time.Hour, time.Duration(0)
				for _, p := range watchers {
					took := p.started.Add(p.ready).Sub(order[2].started)
					first, last = min(first, took), max(last, took)
				}
				began := order[0].started.Sub(order[2].started)
				s.t.Logf("watchers are ready %v to %v after the third coordinator started, %v to %v after the first one",
					first, last, first-began, last-began)
				if first < test.least || last > test.most {
					s.t.Errorf("watchers are ready %v to %v after the third coordinator started, want %v to %v", first, last, test.least, test.most)
				}
				s.awaitCoordinators()
			})
		})
	}
}

// TestConfirmedStateAnswersWatchesOnly guards against watches that wait for a leader although a majority has
// confirmed its state, against answers without the age of the state, and against other calls that are answered
// without a leader.
func TestConfirmedStateAnswersWatchesOnly(t *testing.T) {
	inVirtualSite(t, coordinators, func(s *virtualSite) {
		s.awaitCoordinators()
		s.stopAll()
		for _, p := range s.processes[:3] {
			s.start(p)
		}
		time.Sleep(100 * time.Millisecond)
		c := s.processes[0].coordinator
		ctx := s.t.Context()
		directory, err := directoryService{c}.Watch(ctx, &rockwindpb.WatchDirectoryRequest{WaitMs: 20, WantLeader: true})
		if err != nil {
			s.t.Fatal(err)
		}
		if age := directory.GetAgeMs(); age == 0 || age > 100 {
			s.t.Errorf("the age of the state is %d ms", age)
		}
		if directory.GetConfigurationNumber() != 1 || len(directory.GetMachines()) != 1 || directory.GetLeaderAddress() != "" {
			s.t.Errorf("the answer is %v", directory)
		}
		configuration, err := configurationService{c}.Watch(ctx, &rockwindpb.WatchConfigurationRequest{})
		if err != nil || configuration.GetChange() == nil {
			s.t.Errorf("the configuration is %v: %v", configuration, err)
		}
		for name, call := range map[string]func(ctx context.Context) error{
			"current state": func(context.Context) error { _, _, err := c.currentState(); return err },
			"read":          func(ctx context.Context) error { return s.rootGroupOf(s.processes[0]).Read(ctx, func() {}) },
			"newest configuration": func(ctx context.Context) error {
				_, err := configurationService{c}.Get(ctx, &rockwindpb.GetConfigurationRequest{Newest: true})
				return err
			},
			"announcement": func(ctx context.Context) error {
				_, err := directoryService{c}.Announce(ctx, &rockwindpb.AnnounceMachineRequest{Machine: newStore("store")})
				return err
			},
			"report": func(ctx context.Context) error {
				return c.Report(ctx, &rockwindpb.Server{Id: "a", Service: "s", Address: "10.0.0.1:80", State: rockwindpb.ServerState_SERVER_STATE_READY})
			},
			"watch without a newer configuration": func(ctx context.Context) error {
				_, err := configurationService{c}.Watch(ctx, &rockwindpb.WatchConfigurationRequest{HaveNumber: 1})
				return err
			},
		} {
			callCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
			err := call(callCtx)
			cancel()
			if err == nil {
				s.t.Errorf("%s: answered without a leader", name)
			} else if fault.Is(err, fault.InvalidArgument) {
				s.t.Errorf("%s: %v", name, err)
			}
		}
	})
}

// TestConfirmedStateEnds guards against a confirmed state that is served for longer than a second while no
// leader can be elected.
func TestConfirmedStateEnds(t *testing.T) {
	inVirtualSite(t, coordinators, func(s *virtualSite) {
		s.awaitCoordinators()
		s.stopAll()
		for _, p := range s.processes[:3] {
			s.start(p)
		}
		time.Sleep(100 * time.Millisecond)
		for _, p := range s.processes[1:3] {
			p.stop()
		}
		c, group := s.processes[0].coordinator, s.rootGroupOf(s.processes[0])
		confirmedAt := time.Now().Add(-time.Duration(group.Status().GetConfirmedAgeMs()) * time.Millisecond)
		if _, err := c.watchableState(); err != nil {
			s.t.Fatalf("three of five coordinators confirm no state: %v", err)
		}
		time.Sleep(time.Second - time.Since(confirmedAt) - 50*time.Millisecond)
		if _, err := c.watchableState(); err != nil {
			s.t.Errorf("the state is not served %v after its confirmation: %v", time.Since(confirmedAt), err)
		}
		time.Sleep(100 * time.Millisecond)
		if _, err := c.watchableState(); err == nil {
			s.t.Errorf("the state is served %v after its confirmation", time.Since(confirmedAt))
		}
	})
}

// TestConfirmedStateEndsWithALeader guards against a replica that reports a confirmed state after it led or
// followed a leader.
func TestConfirmedStateEndsWithALeader(t *testing.T) {
	inVirtualSite(t, coordinators, func(s *virtualSite) {
		s.stopAll()
		for _, p := range s.processes[:coordinators] {
			s.startNext(p)
		}
		s.awaitCoordinators()
		for _, p := range s.processes[:coordinators] {
			if status := s.rootGroupOf(p).Status(); status.ConfirmedAgeMs != nil {
				s.t.Errorf("%s reports a confirmed state beside a leader: %v", p.name, status)
			}
		}
	})
}
