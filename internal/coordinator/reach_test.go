package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// outsiders is how many coordinators the sites of these tests have outside of the root group.
	outsiders = 5
	// reachAim is how soon each process of a site is to know of a change: the strictest sites allow
	// two seconds from the acknowledgement of a configuration, or of a server that leaves, until no
	// request goes by what was before.
	reachAim = 2 * time.Second
)

// keepAll has all coordinators do what they do unasked, until the returned function is called.
func (s *virtualSite) keepAll() func() {
	ctx, cancel := context.WithCancel(s.t.Context())
	var parts sync.WaitGroup
	for _, p := range s.processes {
		if p.coordinator != nil {
			parts.Go(func() { p.coordinator.follow(ctx) })
			parts.Go(func() { p.coordinator.keep(ctx) })
		}
	}
	return func() { cancel(); parts.Wait() }
}

// reach returns how long it takes until all watchers know something.
func (s *virtualSite) reach(what string, knows func(p *process) bool) time.Duration {
	s.t.Helper()
	began := time.Now()
	for _, p := range s.processes {
		for p.watcher != nil && !knows(p) {
			if time.Since(began) > time.Minute {
				s.t.Fatalf("%s: %s does not know it after a minute", what, p.name)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

// TestChangesReachAllProcesses measures how long changes take to all processes of a site with ten
// coordinators, from the acknowledgement on: as many are told from outside of the root group as by its
// members.
func TestChangesReachAllProcesses(t *testing.T) {
	for _, size := range sizes() {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inSiteThatAdmits(t, size, func(s *virtualSite) {
				s.startOutside(outsiders)
				defer s.keepAll()()
				// Watchers find all coordinators in the directory, and spread over them.
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
				took["configuration"] = s.reach("configuration", func(p *process) bool { return p.watcher.Configuration().Number() == 2 })
				took["new server"] = s.reach("new server", report(rockwindpb.ServerState_SERVER_STATE_READY))
				took["server that leaves"] = s.reach("server that leaves", report(rockwindpb.ServerState_SERVER_STATE_DRAINING))
				s.processes[1].stop()
				apply(3)
				took["configuration, a coordinator lost"] = s.reach("configuration, a coordinator lost", func(p *process) bool { return p.watcher.Configuration().Number() == 3 })
				for what, each := range took {
					s.t.Logf("%d processes: %s after %v", size, what, each)
					if each > reachAim {
						s.t.Errorf("%d processes: %s reaches the last one after %v", size, what, each)
					}
				}
			})
		})
	}
}
