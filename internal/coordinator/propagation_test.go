package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// nonMemberCount is the number of non-members in these tests.
	nonMemberCount = 5
	// maxPropagationTime bounds the time from the acknowledgement of a change until all processes
	// know it. It is the requirement of the strictest sites.
	maxPropagationTime = 2 * time.Second
	// maxHoldTime bounds the time from the report of the last server that a content crashed until all processes hold
	// the content: a client that retries each 100 ms crashes three more servers by then. It applies to sites of up to
	// maxHoldTimeSize processes. Coordinators of larger ones send changes to their watchers less often.
	maxHoldTime     = 300 * time.Millisecond
	maxHoldTimeSize = 300
)

// runCoordinators runs the background work of all coordinators until the returned function is called.
func (s *virtualSite) runCoordinators() func() {
	ctx, cancel := context.WithCancel(s.t.Context())
	var parts sync.WaitGroup
	for _, p := range s.processes {
		if p.coordinator != nil {
			parts.Go(func() { p.coordinator.followMembers(ctx) })
			parts.Go(func() { p.coordinator.runMaintenance(ctx) })
		}
	}
	return func() { cancel(); parts.Wait() }
}

// propagationTime waits until all watchers know a change and returns how long that took.
func (s *virtualSite) propagationTime(what string, knows func(p *process) bool) time.Duration {
	s.t.Helper()
	began := time.Now()
	for _, p := range s.processes {
		for p.watcher != nil && !knows(p) {
			if time.Since(began) > time.Minute {
				s.t.Fatalf("%s: %s has not received it after a minute", what, p.name)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

// TestChangesReachAllProcesses guards against slow propagation of changes on a site with as many
// non-members as members.
func TestChangesReachAllProcesses(t *testing.T) {
	for _, size := range siteSizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inOpenVirtualSite(t, size, func(s *virtualSite) {
				s.startNonMembers(nonMemberCount)
				defer s.runCoordinators()()
				// Watchers learn of all coordinators and spread over them.
				time.Sleep(10 * time.Second)
				c := s.processes[0].coordinator
				took := make(map[string]time.Duration)
				apply := func(number uint64) {
					if _, err := c.Apply(s.t.Context(), &rockwindpb.ApplyConfigurationRequest{Configuration: &rockwindpb.Configuration{Number: number}}); err != nil {
						s.t.Fatal(err)
					}
				}
				server := &rockwindpb.Server{Id: "server", Service: "app", Address: "10.0.0.1:80", State: rockwindpb.ServerState_SERVER_STATE_READY}
				report := func(state rockwindpb.ServerState) func(p *process) bool {
					server.State = state
					server.Sequence++
					if err := c.Report(s.t.Context(), server); err != nil {
						s.t.Fatal(err)
					}
					return func(p *process) bool {
						known, _ := p.watcher.Directory().Server("server")
						return known.GetState() == state
					}
				}
				apply(2)
				took["configuration"] = s.propagationTime("configuration", func(p *process) bool { return p.watcher.Configuration().Number() == 2 })
				took["new server"] = s.propagationTime("new server", report(rockwindpb.ServerState_SERVER_STATE_READY))
				took["server that leaves"] = s.propagationTime("server that leaves", report(rockwindpb.ServerState_SERVER_STATE_DRAINING))
				content := make([]byte, fingerprint.Size)
				suspect, _ := fingerprint.FromBytes(content)
				for i := range 3 {
					if _, err := (quarantineService{c}).Report(s.t.Context(), &rockwindpb.ReportQuarantineRequest{
						Ends: []*rockwindpb.ServerEnd{{Content: content, Server: fmt.Sprint("crashed-", i), Route: "once"}},
					}); err != nil {
						s.t.Fatal(err)
					}
				}
				held := s.propagationTime("held content", func(p *process) bool { return p.watcher.Quarantine().QuarantinedFor(suspect, time.Now()) > 0 })
				maxHeld := maxPropagationTime
				if size <= maxHoldTimeSize {
					maxHeld = maxHoldTime
				}
				if s.t.Logf("%d processes: held content after %v", size, held); held > maxHeld {
					s.t.Errorf("%d processes: the last one holds a content after %v", size, held)
				}
				s.processes[1].stop()
				apply(3)
				took["configuration, a coordinator lost"] = s.propagationTime("configuration, a coordinator lost", func(p *process) bool { return p.watcher.Configuration().Number() == 3 })
				for what, each := range took {
					s.t.Logf("%d processes: %s after %v", size, what, each)
					if each > maxPropagationTime {
						s.t.Errorf("%d processes: %s reached the last one after %v", size, what, each)
					}
				}
			})
		})
	}
}
