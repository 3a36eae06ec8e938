package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// startFollower adds a non-member that runs its background work until the returned function is
// called.
func (s *virtualSite) startFollower() (*Coordinator, func()) {
	s.t.Helper()
	c := s.startNonMembers(1)[0].coordinator
	ctx, cancel := context.WithCancel(s.t.Context())
	var parts sync.WaitGroup
	parts.Go(func() { c.followMembers(ctx) })
	parts.Go(func() { c.runMaintenance(ctx) })
	time.Sleep(time.Second)
	if c.recentState() == nil {
		s.t.Fatal("the non-member does not follow a member")
	}
	return c, func() { cancel(); parts.Wait() }
}

// startWatchers adds watchers that know only the given coordinator and waits until they are ready.
func (s *virtualSite) startWatchers(count int, address string) []*process {
	s.t.Helper()
	s.seeds = []string{address, address, address}
	var added []*process
	for place := range count {
		p := &process{name: fmt.Sprint("watcher", place)}
		s.start(p)
		added = append(added, p)
	}
	s.processes = append(s.processes, added...)
	s.awaitReady(added)
	return added
}

// reportChanges reports a change of a server every 10 ms for the given time.
func (s *virtualSite) reportChanges(c *Coordinator, span time.Duration) {
	s.t.Helper()
	server := &rockwindpb.Server{Id: "changes", Service: "app", Address: "10.0.0.1:80", State: rockwindpb.ServerState_SERVER_STATE_READY}
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		server.Sequence++
		server.Slots++
		if err := c.Report(s.t.Context(), server); err != nil {
			s.t.Fatal(err)
		}
	}
}

// TestNonMemberServesWatchersWithoutLoadingMembers guards against directory watches at a non-member
// loading the members, and against more answers than the linger allows.
func TestNonMemberServesWatchersWithoutLoadingMembers(t *testing.T) {
	const (
		watchers = 40
		span     = 5 * time.Second
	)
	inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
		nonMember, stop := s.startFollower()
		defer stop()
		watching := s.startWatchers(watchers, nonMember.settings.GetName())
		before := s.network.callsOf("Watch")
		s.reportChanges(s.processes[0].coordinator, span)
		calls := s.network.callsOf("Watch") - before
		// Each watcher gets an answer per linger of 2 ms per watcher and one watch of the
		// configuration per second; the non-member's own watch gets one per 50 ms.
		most := watchers*int(span/(watchers*lingerPerWatcher)) + watchers*int(span/time.Second) + int(span/minLinger)
		s.t.Logf("%d watch calls in %v, at most %d allowed", calls, span, most)
		if calls > most {
			s.t.Errorf("%d watch calls in %v, at most %d are allowed", calls, span, most)
		}
		time.Sleep(time.Second)
		_, view, err := s.processes[0].coordinator.currentState()
		if err != nil {
			s.t.Fatal(err)
		}
		for _, p := range watching {
			if got := p.watcher.Directory().Revision(); got != view.directory.Revision() {
				s.t.Fatalf("%s is at revision %d, want %d", p.name, got, view.directory.Revision())
			}
			if silent := time.Since(p.watcher.LastContact()); silent > 2*time.Second {
				s.t.Fatalf("%s had no contact with a coordinator for %v", p.name, silent)
			}
		}
	})
}

// TestNonMemberAbsorbsUnchangedReports guards against forwarding unchanged reports to members; the
// leader must still learn that the server is alive.
func TestNonMemberAbsorbsUnchangedReports(t *testing.T) {
	inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
		nonMember, stop := s.startFollower()
		defer stop()
		server := &rockwindpb.Server{Id: "server", Service: "app", Address: "10.0.0.2:80", State: rockwindpb.ServerState_SERVER_STATE_READY}
		for report := range 5 {
			server.Sequence++
			if err := nonMember.Report(s.t.Context(), server); err != nil {
				s.t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			if report == 0 {
				// A member handled the first report, and members do not relay reports in this test.
				continue
			}
			if !s.leader().coordinator.liveness.seenSince("server", time.Now().Add(-2*time.Second-maintenanceInterval)) {
				s.t.Fatal("the report was not relayed to the leader")
			}
		}
		if calls := s.network.callsOf("Report"); calls != 1 {
			s.t.Errorf("%d of 5 reports were forwarded, want 1", calls)
		}
		server.State = rockwindpb.ServerState_SERVER_STATE_DRAINING
		if err := nonMember.Report(s.t.Context(), server); err != nil {
			s.t.Fatal(err)
		}
		_, view, err := s.leader().coordinator.currentState()
		if known, _ := view.directory.Server("server"); err != nil || known.GetState() != rockwindpb.ServerState_SERVER_STATE_DRAINING {
			s.t.Fatalf("an acknowledged report is not committed: %v, %v", known, err)
		}
	})
}

// TestNonMemberPublishesConfigurationImmediately guards against delaying a configuration by the linger.
func TestNonMemberPublishesConfigurationImmediately(t *testing.T) {
	inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
		nonMember, stop := s.startFollower()
		defer stop()
		watching := s.startWatchers(40, nonMember.settings.GetName())
		c := s.processes[0].coordinator
		if _, err := c.Apply(s.t.Context(), &rockwindpb.ApplyConfigurationRequest{Configuration: &rockwindpb.Configuration{Number: 2}}); err != nil {
			s.t.Fatal(err)
		}
		began := time.Now()
		for _, p := range watching {
			for p.watcher.Configuration().Number() != 2 {
				if time.Since(began) > 100*time.Millisecond {
					s.t.Fatalf("%s has not received the configuration after %v", p.name, time.Since(began))
				}
				time.Sleep(time.Millisecond)
			}
		}
	})
}

// TestNonMemberRefusesWatchWithoutMembers guards against serving outdated state without contact to
// members.
func TestNonMemberRefusesWatchWithoutMembers(t *testing.T) {
	inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
		nonMember, stop := s.startFollower()
		defer stop()
		for _, p := range s.processes[:coordinators] {
			p.stop()
		}
		time.Sleep(followMaxAge + followRetryInterval)
		ctx, cancel := context.WithTimeout(s.t.Context(), callTimeout)
		defer cancel()
		_, err := directoryService{nonMember}.Watch(ctx, &rockwindpb.WatchDirectoryRequest{})
		if !fault.Is(fault.From(err), fault.Unavailable) {
			s.t.Fatalf("watch ended with %v", err)
		}
	})
}
