package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/featurelevel"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// maxColdDelay bounds the time from a report to the last process that knows of it, without faults: a
// call to the leader, a disk sync at a majority and an answer to each watch, with no linger.
const maxColdDelay = 30 * time.Millisecond

// serverTimeout is how long a server waits for the answer to its report, and processTimeout how long the
// coordinators may take to accept a health answer from a process, which retries for 10 s.
const (
	serverTimeout  = time.Second
	processTimeout = 12 * time.Second
)

// within returns a context that ends after a timeout, as that of a call in production.
func (s *virtualSite) within(timeout time.Duration) context.Context {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), timeout)
	s.t.Cleanup(cancel)
	return ctx
}

// announceLevels has coordinators announce themselves, as maintenance does.
func (s *virtualSite) announceLevels(among []*process) {
	s.t.Helper()
	s.awaitCoordinators()
	for _, p := range among {
		_, view, err := p.coordinator.currentState()
		if err != nil || !p.coordinator.announceSelf(s.within(maintenanceCallTimeout), view) {
			s.t.Fatalf("%s is not announced: %v", p.name, err)
		}
	}
	time.Sleep(time.Second)
}

// coldReport is the report of a server that is cold for a time.
func coldReport(sequence uint64, cold time.Duration) *rockwindpb.Server {
	return &rockwindpb.Server{
		Id: "server", Service: "app", Address: "10.0.0.1:80", Zone: "east", State: rockwindpb.ServerState_SERVER_STATE_READY,
		Sequence: sequence, ColdMs: uint32(cold.Milliseconds()),
	}
}

func (s *virtualSite) report(p *process, report *rockwindpb.Server) {
	s.t.Helper()
	if err := p.coordinator.Report(s.within(serverTimeout), report); err != nil {
		s.t.Fatal(err)
	}
}

// awaitCold waits until all watchers know of a report with at least a sequence number, and returns how
// long that took.
func (s *virtualSite) awaitCold(began time.Time, sequence uint64) time.Duration {
	s.t.Helper()
	for _, p := range s.processes {
		for p.watcher != nil && p.watcher.ColdServers().Server("server").GetSequence() < sequence {
			if time.Since(began) > 20*time.Second {
				s.t.Fatalf("%s does not know that the server is cold", p.name)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

// TestColdReportReachesAllProcesses guards against a server that turns cold in use and goes on getting
// as many requests as a warm one, and against a log entry for each of its further heartbeats.
func TestColdReportReachesAllProcesses(t *testing.T) {
	for _, size := range siteSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inVirtualSite(t, size, func(s *virtualSite) {
				s.announceLevels(s.processes[:coordinators])
				s.report(s.processes[0], coldReport(1, 0))
				time.Sleep(2 * time.Second)
				for place := range 3 {
					began := time.Now()
					s.report(s.processes[place], coldReport(uint64(10*place+10), 9*time.Second))
					took := s.awaitCold(began, uint64(10*place+10))
					t.Logf("%d processes know after %v", size, took)
					if took > maxColdDelay {
						t.Errorf("%d processes know only after %v that a server is cold", size, took)
					}
					for heartbeat := range 7 {
						time.Sleep(1200 * time.Millisecond)
						left := 9*time.Second - time.Since(began)
						s.report(s.processes[heartbeat%coordinators], coldReport(uint64(10*place+11+heartbeat), left))
					}
					time.Sleep(2 * time.Second)
				}
				if revision := s.processes[size-1].watcher.ColdServers().Revision(); revision != 3 {
					t.Errorf("the revision of the cold servers is %d after three reports of one cold time each", revision)
				}
			})
		})
	}
}

// TestColdReportSurvivesItsCoordinator checks that processes learn of a cold server whose coordinator
// stops right after it took the report: by the commit, or by the next report elsewhere.
func TestColdReportSurvivesItsCoordinator(t *testing.T) {
	inVirtualSite(t, coordinators+5, func(s *virtualSite) {
		s.announceLevels(s.processes[:coordinators])
		s.report(s.processes[1], coldReport(1, 0))
		time.Sleep(time.Second)
		began := time.Now()
		reported := make(chan error, 1)
		// A stopped coordinator tries to find a leader until the timeout.
		go func() {
			reported <- s.processes[1].coordinator.Report(s.within(serverTimeout), coldReport(2, 9*time.Second))
		}()
		time.Sleep(time.Millisecond)
		s.processes[1].stop()
		<-reported
		time.Sleep(1200 * time.Millisecond)
		s.report(s.processes[2], coldReport(3, 7800*time.Millisecond))
		if took := s.awaitCold(began, 2); took > 4*time.Second {
			t.Errorf("the processes know after %v", took)
		}
	})
}

// TestRestartedProcessKnowsColdServers guards against a process that sends freely to a cold server
// because it restarted after the report: it receives them with its first directory.
func TestRestartedProcessKnowsColdServers(t *testing.T) {
	inVirtualSite(t, coordinators+5, func(s *virtualSite) {
		s.announceLevels(s.processes[:coordinators])
		s.report(s.processes[0], coldReport(1, 0))
		time.Sleep(time.Second)
		s.report(s.processes[0], coldReport(2, time.Minute))
		s.restart(s.processes, time.Second)
		for _, p := range s.processes {
			if p.watcher == nil {
				continue
			}
			for p.watcher.Directory() == nil {
				time.Sleep(time.Millisecond)
			}
			if p.watcher.ColdServers().Server("server") == nil {
				t.Errorf("%s has a directory and does not know that the server is cold", p.name)
			}
		}
	})
}

// TestImplausibleColdTimeIsBounded guards against a server that is never used again because it
// reported that it stays cold for weeks.
func TestImplausibleColdTimeIsBounded(t *testing.T) {
	inVirtualSite(t, coordinators+1, func(s *virtualSite) {
		s.announceLevels(s.processes[:coordinators])
		s.report(s.processes[0], coldReport(1, 0))
		time.Sleep(time.Second)
		began := time.Now()
		s.report(s.processes[0], coldReport(2, 40*24*time.Hour))
		s.awaitCold(began, 2)
		if cold := s.processes[coordinators].watcher.ColdServers().Server("server").GetColdMs(); cold > 601_000 {
			t.Errorf("the server is cold for %d ms", cold)
		}
	})
}

// coldUntil returns when the server of a report stops being cold according to a coordinator.
func (s *virtualSite) coldUntil(c *Coordinator) time.Time {
	s.t.Helper()
	_, view, err := c.currentState()
	if err != nil {
		s.t.Fatal(err)
	}
	listed := view.cold.Server("server")
	return time.UnixMilli(listed.GetSinceUnixMs() + int64(listed.GetColdMs()))
}

// Guards against a health answer that is lost, that counts as older than the last report, that shortens a
// known cold time, or that keeps later reports from extending it.
func TestHealthAnswerExtendsColdTime(t *testing.T) {
	inOpenVirtualSite(t, coordinators+5, func(s *virtualSite) {
		s.announceLevels(s.processes[:coordinators])
		s.report(s.processes[0], coldReport(1, 0))
		time.Sleep(time.Second)
		leader, watcher := s.processes[0].coordinator, s.processes[coordinators].watcher
		// expect checks that the server is cold for a time from now on, and how long the change took.
		expect := func(what string, cold time.Duration) {
			t.Helper()
			time.Sleep(maxColdDelay)
			if got := time.Until(s.coldUntil(leader)); got < cold-2*maxColdDelay || got > cold+time.Second {
				t.Errorf("%s: the server is cold for %v, want %v", what, got, cold)
			}
		}
		answer := func(cold time.Duration) {
			t.Helper()
			if err := watcher.ReportCold(s.within(processTimeout), "server", cold); err != nil {
				t.Error(err)
			}
		}
		answer(20 * time.Second)
		expect("an answer while the server is warm", 20*time.Second)
		answer(2 * time.Second)
		answer(0)
		expect("shorter answers", 20*time.Second)
		s.report(s.processes[1], coldReport(50, 3*time.Second))
		expect("a shorter report", 20*time.Second)
		time.Sleep(16 * time.Second)
		s.report(s.processes[1], coldReport(60, 30*time.Second))
		expect("a longer report after answers", 30*time.Second)
		time.Sleep(26 * time.Second)
		// The directory still has the first sequence, the list has 60.
		answer(30 * time.Second)
		expect("a longer answer after reports", 30*time.Second)
		time.Sleep(26 * time.Second)
		nonMember := s.startNonMembers(1)[0].name
		only := s.startWatchers(1, nonMember)[0].watcher
		if err := only.ReportCold(s.within(processTimeout), "server", 40*24*time.Hour); err != nil {
			t.Error(err)
		}
		expect("an implausible answer through a non-member", 10*time.Minute)
		if err := only.ReportCold(s.within(processTimeout), "unknown", time.Minute); err != nil {
			t.Error(err)
		}
		if _, view, err := leader.currentState(); err != nil || view.cold.Server("unknown") != nil {
			t.Errorf("a server that the directory does not have is listed as cold: %v", err)
		}
	})
}

// Guards against a health answer that is lost with the coordinator that received it: the process reports it
// to another one, with the time that is left.
func TestHealthAnswerSurvivesItsCoordinator(t *testing.T) {
	inVirtualSite(t, coordinators+5, func(s *virtualSite) {
		s.announceLevels(s.processes[:coordinators])
		s.report(s.processes[1], coldReport(1, 0))
		time.Sleep(time.Second)
		watcher := s.processes[coordinators].watcher
		asked := watcher.Coordinators()[0]
		began, reported := time.Now(), make(chan error, 1)
		go func() { reported <- watcher.ReportCold(s.within(processTimeout), "server", 9*time.Second) }()
		time.Sleep(time.Millisecond)
		for _, p := range s.processes[:coordinators] {
			if p.name == asked {
				p.stop()
			}
		}
		if err := <-reported; err != nil {
			t.Error(err)
		}
		s.awaitCold(began, 1)
		for _, p := range s.processes[:coordinators] {
			if p.name == asked {
				continue
			}
			if until := s.coldUntil(p.coordinator).Sub(began); until < 8*time.Second || until > 12*time.Second {
				t.Errorf("the server is cold until %v after the answer, want 9 s", until)
			}
			return
		}
	})
}

// Guards against a cold time that is not used where a coordinator itself reads a health answer: of the server
// whose report led to the question, and of another one at its address.
func TestProbeTellsColdTime(t *testing.T) {
	inVirtualSite(t, coordinators+1, func(s *virtualSite) {
		s.announceLevels(s.processes[:coordinators])
		c := s.processes[0].coordinator
		s.report(s.processes[0], coldReport(1, 0))
		time.Sleep(time.Second)
		found := directory.Identity{Found: "server", Rejected: "late", ColdMs: 9000}
		c.identifier = func(context.Context, *rockwindpb.Server, string) (directory.Identity, error) { return found, nil }
		late := coldReport(1, 0)
		late.Id = "late"
		began := time.Now()
		s.report(s.processes[0], late)
		s.awaitCold(began, 1)
		if cold := s.coldUntil(c).Sub(began); cold < 9*time.Second || cold > 10*time.Second {
			t.Errorf("the server at the address is cold for %v, want 9 s", cold)
		}
		next := coldReport(1, time.Second)
		next.Id = "next"
		found = directory.Identity{Found: "next", Rejected: "server", ColdMs: 5000}
		s.report(s.processes[0], next)
		time.Sleep(time.Second)
		_, view, err := c.currentState()
		if err != nil {
			t.Fatal(err)
		}
		if registered, _ := view.directory.Server("next"); registered.GetColdMs() != 5000 {
			t.Errorf("a server that reports 1 s and answers 5 s is entered with %d ms", registered.GetColdMs())
		}
		if next.GetColdMs() != 1000 {
			t.Error("the report was modified")
		}
	})
}

// TestNothingColdIsCommittedForEarlierVersions guards against replicas that differ because a coordinator
// of an earlier version ignores the command: it is proposed only once all have announced the level.
func TestNothingColdIsCommittedForEarlierVersions(t *testing.T) {
	inVirtualSite(t, coordinators, func(s *virtualSite) {
		s.announceLevels(s.processes[:coordinators-1])
		s.report(s.processes[0], coldReport(1, 0))
		time.Sleep(time.Second)
		applied := s.rootGroupOf(s.processes[0]).Status().GetApplied()
		s.report(s.processes[0], coldReport(2, 9*time.Second))
		if err := s.processes[0].coordinator.observeColdServer(s.within(serverTimeout), &rockwindpb.ColdServer{Id: "server", ColdMs: 9000}); err != nil {
			t.Error(err)
		}
		if now := s.rootGroupOf(s.processes[0]).Status().GetApplied(); now != applied {
			t.Errorf("%d entries are committed while one coordinator has announced no level", now-applied)
		}
		s.announceLevels(s.processes[coordinators-1:])
		s.report(s.processes[0], coldReport(3, 8*time.Second))
		time.Sleep(time.Second)
		_, view, err := s.processes[0].coordinator.currentState()
		if err != nil || view.cold.Server("server").GetSequence() != 3 {
			t.Errorf("the report is not committed once all have announced the level: %v, %v", view, err)
		}
	})
}

// TestLevelsDoNotChangeTheDirectory guards against replicas of two versions that number the directory
// differently: a level that is announced must not change its revision.
func TestLevelsDoNotChangeTheDirectory(t *testing.T) {
	machine := newRootStateMachine()
	announced := newStore("c")
	announced.Role = rockwindpb.SiteRole_SITE_ROLE_COORDINATOR
	machine.directory.Apply(announceCommand(announced))
	before := machine.directory.View().Revision()
	again := newStore("c")
	again.Role, again.FeatureLevel = rockwindpb.SiteRole_SITE_ROLE_COORDINATOR, featurelevel.Current
	machine.directory.Apply(announceCommand(again))
	machine.applyLevel(announceCommand(again))
	if after := machine.directory.View().Revision(); after != before {
		t.Errorf("the revision rose from %d to %d", before, after)
	}
	content, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := newRootStateMachine()
	if err := restored.Restore(content); err != nil || !restored.view().levels.Open(featurelevel.Current, []string{"c"}) {
		t.Errorf("the level is lost with a snapshot: %v", err)
	}
}

// coldLog counts the lines "server is cold" by whether they say that the report was committed.
type coldLog struct {
	mutex     sync.Mutex
	committed map[bool]int
}

// HandleLog implements log.Handler.
func (l *coldLog) HandleLog(entry *log.Entry) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if committed, known := entry.Fields["committed"].(bool); known && entry.Message == "server is cold" {
		l.committed[committed]++
	}
	return nil
}

// take returns and resets the number of lines that say that a report was committed, and that it was not.
func (l *coldLog) take() (committed, lost int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	committed, lost = l.committed[true], l.committed[false]
	clear(l.committed)
	return committed, lost
}

// recordColdLog replaces the log handler until the end of the test.
func recordColdLog(t *testing.T) *coldLog {
	t.Helper()
	logger, ok := log.Log.(*log.Logger)
	if !ok {
		t.Fatalf("the default logger is a %T", log.Log)
	}
	recorded, before := &coldLog{committed: make(map[bool]int)}, logger.Handler
	logger.Handler = recorded
	t.Cleanup(func() { logger.Handler = before })
	return recorded
}

// TestColdLogTellsWhatWasCommitted guards against lines that say that a cold server was committed although the
// leader committed nothing, because it knows of a coordinator of an earlier version or does not know the server,
// and against a commit or a failure that is not logged once.
func TestColdLogTellsWhatWasCommitted(t *testing.T) {
	lines := recordColdLog(t)
	inVirtualSite(t, coordinators, func(s *virtualSite) {
		expect := func(what string, wantCommitted, wantLost int) {
			t.Helper()
			if committed, lost := lines.take(); committed != wantCommitted || lost != wantLost {
				t.Errorf("%s: %d lines say committed and %d not committed, want %d and %d", what, committed, lost, wantCommitted, wantLost)
			}
		}
		s.announceLevels(s.processes[:coordinators-1])
		s.report(s.processes[0], coldReport(1, 0))
		time.Sleep(time.Second)
		for _, p := range s.processes[:coordinators] {
			_, current, err := p.coordinator.currentState()
			if err != nil {
				t.Fatal(err)
			}
			// The view of this coordinator is ahead of the leader's.
			ahead := *current
			ahead.levels = ahead.levels.With(s.processes[coordinators-1].name, featurelevel.ColdServers)
			if err := p.coordinator.reportCold(s.within(serverTimeout), &ahead, coldReport(2, 9*time.Second)); err != nil {
				t.Error(err)
			}
		}
		expect("the leader knows of an earlier version", 0, 0)
		s.announceLevels(s.processes[coordinators-1:])
		s.report(s.processes[0], coldReport(3, 9*time.Second))
		expect("a commit", 1, 0)
		time.Sleep(10 * time.Second)
		reporter := s.processes[0]
		if reporter == s.leader() {
			reporter = s.processes[1]
		}
		for _, p := range s.processes {
			if p != reporter {
				p.stop()
			}
		}
		if err := reporter.coordinator.Report(s.within(serverTimeout), coldReport(4, 30*time.Second)); err == nil {
			t.Error("a report is accepted without a majority")
		}
		expect("no majority", 0, 1)
	})
}
