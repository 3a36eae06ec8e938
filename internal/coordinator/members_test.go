package coordinator

import (
	"context"
	"fmt"
	"net/http"
	"path"
	"sync"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal/faultfs"
)

// callPatience is how long servers and operators wait for a call.
const callPatience = 3 * time.Second

// startOutside adds coordinators to a site whose root group has all its places taken, and
// waits until they belong to the cluster.
func (s *virtualSite) startOutside(count int) []*process {
	s.t.Helper()
	var added []*process
	for place := range count {
		p := &process{name: fmt.Sprintf("late%d", place), disk: faultfs.New()}
		p.disk.DelaySync(func() { time.Sleep(syncTime) })
		s.start(p)
		s.processes = append(s.processes, p)
		added = append(added, p)
	}
	time.Sleep(2 * time.Second)
	for _, p := range added {
		if !p.coordinator.outside() {
			s.t.Fatalf("%s holds a replica of a full group, or belongs to no cluster", p.name)
		}
	}
	return added
}

// callAll makes the calls of servers, operators, routers and stores at a coordinator, and
// returns the longest that one took.
func (s *virtualSite) callAll(p *process, number uint64) time.Duration {
	s.t.Helper()
	c := p.coordinator
	service, configurations := directoryService{c}, configurationService{c}
	id := fmt.Sprintf("server%d", number)
	server := &rockwindpb.Server{Id: id, Service: "app", Address: fmt.Sprintf("10.0.0.%d:80", number), Sequence: 1, State: rockwindpb.ServerState_SERVER_STATE_READY}
	configuration := &rockwindpb.Configuration{Number: number}
	machine := &rockwindpb.Machine{Name: "store", Role: rockwindpb.SiteRole_SITE_ROLE_STORE, Address: "store"}
	longest := time.Duration(0)
	for name, call := range map[string]func(ctx context.Context) error{
		"apply": func(ctx context.Context) error {
			if _, err := c.Apply(ctx, &rockwindpb.ApplyConfigurationRequest{Configuration: configuration}); err != nil {
				return err
			}
			newest, err := c.LatestConfiguration(ctx)
			if err == nil && newest.GetConfiguration().GetNumber() != number {
				return fmt.Errorf("the newest configuration is %d", newest.GetConfiguration().GetNumber())
			}
			return err
		},
		"report": func(ctx context.Context) error {
			if err := c.Report(ctx, server); err != nil {
				return err
			}
			return c.Leave(ctx, &rockwindpb.LeaveServerRequest{Id: id})
		},
		"announce": func(ctx context.Context) error {
			_, err := service.Announce(ctx, &rockwindpb.AnnounceMachineRequest{Machine: machine})
			return err
		},
		"watch": func(ctx context.Context) error {
			_, err := service.Watch(ctx, &rockwindpb.WatchDirectoryRequest{})
			return err
		},
		"watch configuration": func(ctx context.Context) error {
			_, err := configurations.Watch(ctx, &rockwindpb.WatchConfigurationRequest{})
			return err
		},
		"quarantine": func(ctx context.Context) error {
			_, err := quarantineService{c}.List(ctx, &rockwindpb.ListQuarantineRequest{})
			return err
		},
		"retire": func(ctx context.Context) error {
			// What the leader says of an unknown store, and no refusal of the coordinator's own.
			if err := c.Retire(ctx, "nobody"); !fault.Is(err, fault.NotFound) {
				return fmt.Errorf("an unknown store retires: %w", err)
			}
			if _, err := c.Retired(ctx, "nobody"); !fault.Is(err, fault.NotFound) {
				return fmt.Errorf("an unknown store is retired: %w", err)
			}
			return nil
		},
	} {
		ctx, cancel := context.WithTimeout(s.t.Context(), callPatience)
		began := time.Now()
		if err := call(ctx); err != nil {
			s.t.Errorf("%s at %s: %v", name, p.name, err)
		}
		longest = max(longest, time.Since(began))
		cancel()
	}
	return longest
}

// TestCoordinatorsOutsideOfTheRootGroupServe starts a sixth and a seventh coordinator: they take the
// calls of all others as the members do, and watchers that know only them find the site.
func TestCoordinatorsOutsideOfTheRootGroupServe(t *testing.T) {
	inSiteThatAdmits(t, coordinators, func(s *virtualSite) {
		for place, p := range s.startOutside(2) {
			took := s.callAll(p, uint64(place+2))
			s.t.Logf("the longest call at %s takes %v", p.name, took)
			if took > 100*time.Millisecond {
				s.t.Errorf("a call at %s takes %v", p.name, took)
			}
		}
		s.seeds = []string{"late0", "late1", "late0"}
		watching := &process{name: "watcher"}
		s.start(watching)
		s.processes = append(s.processes, watching)
		s.awaitReady([]*process{watching})
		if watching.ready > 100*time.Millisecond {
			s.t.Errorf("a process that knows only coordinators outside is ready after %v", watching.ready)
		}
	})
}

// TestDirectoryNamesCoordinatorsOutside has a coordinator outside do what it does unasked:
// others find it in the directory.
func TestDirectoryNamesCoordinatorsOutside(t *testing.T) {
	inSiteThatAdmits(t, coordinators+1, func(s *virtualSite) {
		outside := s.startOutside(1)[0]
		ctx, cancel := context.WithCancel(s.t.Context())
		var kept sync.WaitGroup
		kept.Go(func() { outside.coordinator.keep(ctx) })
		time.Sleep(time.Second)
		if _, known := s.processes[coordinators].watcher.Directory().Machine(outside.name); !known {
			s.t.Errorf("the directory does not name %s", outside.name)
		}
		cancel()
		kept.Wait()
	})
}

// TestCoordinatorsOutsideGoOnWithoutTheLeader ends the leader under calls at a coordinator
// outside: they are served once another leads, as they are at members.
func TestCoordinatorsOutsideGoOnWithoutTheLeader(t *testing.T) {
	inSiteThatAdmits(t, coordinators, func(s *virtualSite) {
		outside := s.startOutside(1)[0]
		s.leader().stop()
		took := s.callAll(outside, 2)
		s.t.Logf("the longest call takes %v", took)
		if took > 1500*time.Millisecond {
			s.t.Errorf("a call takes %v", took)
		}
	})
}

// TestCoordinatorsOutsideLeaveMembersThatHang has two followers take calls and never answer. Calls
// at a coordinator outside wait for them once, and go to others afterwards.
func TestCoordinatorsOutsideLeaveMembersThatHang(t *testing.T) {
	inSiteThatAdmits(t, coordinators, func(s *virtualSite) {
		outside := s.startOutside(1)[0]
		leader, hanging := s.leader(), 0
		for _, name := range outside.coordinator.members.order(outside.name, s.seeds, time.Now()) {
			if name != leader.name && hanging < 2 {
				hanging++
				s.links.serve(s.t.Context(), name, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
					<-request.Context().Done()
				}))
			}
		}
		first := s.callAll(outside, 2)
		later := s.callAll(outside, 3)
		s.t.Logf("the longest call takes %v, later %v", first, later)
		if first > 2*passTimeout+100*time.Millisecond || later > 100*time.Millisecond {
			t.Errorf("a call takes %v, later %v", first, later)
		}
	})
}

// TestCoordinatorsOutsideDoNotPassCallsRound ends all members. Two coordinators outside that
// know each other refuse then, soon and after few calls.
func TestCoordinatorsOutsideDoNotPassCallsRound(t *testing.T) {
	inSiteThatAdmits(t, coordinators, func(s *virtualSite) {
		outside := s.startOutside(2)
		for _, p := range outside {
			p.coordinator.settings.Seeds = []string{"late0", "late1"}
		}
		for _, p := range s.processes[:coordinators] {
			p.stop()
		}
		s.links.takeCalls()
		ctx, cancel := context.WithTimeout(s.t.Context(), callPatience)
		defer cancel()
		began := time.Now()
		_, err := outside[0].coordinator.LatestConfiguration(ctx)
		took, calls := time.Since(began), s.links.takeCalls()
		s.t.Logf("refused after %v and %d calls: %v", took, calls, err)
		if !fault.Is(err, fault.Unavailable) || took > time.Second || calls > 2*passTries {
			s.t.Errorf("the call ends after %v and %d calls with %v", took, calls, err)
		}
	})
}

// TestCoordinatorsOutsideDoNotPassOnWhatMembersTakeToTheLeader has a coordinator outside serve the
// address of a leader that has ended, as where its machine was replaced. Members that still take
// that one for the leader do not get their calls back from there.
func TestCoordinatorsOutsideDoNotPassOnWhatMembersTakeToTheLeader(t *testing.T) {
	content := make([]byte, fingerprint.Size)
	end := &rockwindpb.ServerEnd{Content: content, Server: "server", Route: "route"}
	for method, call := range map[string]func(ctx context.Context, c *Coordinator) error{
		"Report": func(ctx context.Context, c *Coordinator) error {
			_, err := quarantineService{c}.Report(ctx, &rockwindpb.ReportQuarantineRequest{Ends: []*rockwindpb.ServerEnd{end}})
			return err
		},
		"Release": func(ctx context.Context, c *Coordinator) error {
			_, err := quarantineService{c}.Release(ctx, &rockwindpb.ReleaseContentRequest{Content: content})
			return err
		},
		"Apply": func(ctx context.Context, c *Coordinator) error {
			_, err := c.Apply(ctx, &rockwindpb.ApplyConfigurationRequest{Configuration: &rockwindpb.Configuration{Number: 2}})
			return err
		},
	} {
		t.Run(method, func(t *testing.T) {
			inSiteThatAdmits(t, coordinators, func(s *virtualSite) {
				outside := s.startOutside(1)[0]
				leader := s.leader()
				leader.stop()
				s.links.alias(leader.name, outside.name)
				ctx, cancel := context.WithTimeout(s.t.Context(), callPatience)
				defer cancel()
				before, began := s.links.callsOf(method), time.Now()
				err := call(ctx, outside.coordinator)
				took, calls := time.Since(began), s.links.callsOf(method)-before
				s.t.Logf("served after %v and %d calls: %v", took, calls, err)
				// A member asks anew after each pause, or each of them is asked in rounds.
				if err != nil || took > 1500*time.Millisecond || calls > int(2*took/leaderPause)+passTries {
					s.t.Errorf("the call ends after %v and %d calls with %v", took, calls, err)
				}
			})
		})
	}
}

// TestCoordinatorsOutsideWaitForCommits has the leader take longer for a commit than a member may
// for other calls: the call is not cut, nor made again elsewhere, nor is a member avoided.
func TestCoordinatorsOutsideWaitForCommits(t *testing.T) {
	const slowCommit = passTimeout + passTimeout/2
	inSiteThatAdmits(t, coordinators, func(s *virtualSite) {
		outside := s.startOutside(1)[0]
		leader := s.leader()
		serving := leader.coordinator.internalHandler(nil)
		s.links.serve(s.t.Context(), leader.name, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if path.Base(request.URL.Path) == "Change" {
				retry.Pause(request.Context(), slowCommit)
			}
			serving.ServeHTTP(writer, request)
		}))
		// Followers take it to the leader.
		outside.coordinator.members.note(leader.name, false, time.Now())
		ctx, cancel := context.WithTimeout(s.t.Context(), callPatience)
		defer cancel()
		made := func() int { return s.links.callsOf("Leave") + s.links.callsOf("Change") }
		before, began := made(), time.Now()
		err := outside.coordinator.Leave(ctx, &rockwindpb.LeaveServerRequest{Id: "nobody"})
		took, calls := time.Since(began), made()-before
		s.t.Logf("committed after %v with %d calls: %v", took, calls, err)
		// One call at a follower, and one at the leader.
		if err != nil || took < slowCommit || took > slowCommit+100*time.Millisecond || calls != 2 {
			s.t.Errorf("the call ends after %v and %d calls with %v", took, calls, err)
		}
		if failed := len(outside.coordinator.members.failed); failed != 1 {
			s.t.Errorf("%d members are avoided, and one was before", failed)
		}
	})
}

// TestCoordinatorsOutsideSayThatAChangeMayBeInForce has one member take changes and not tell
// what came of them, while the others know no leader, wherever it comes in the order. A caller
// is not told then that nothing led, which it takes for a change that was not made. Reads change
// nothing.
func TestCoordinatorsOutsideSayThatAChangeMayBeInForce(t *testing.T) {
	refuse := func(kind fault.Kind) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			if err := twirp.WriteError(writer, fault.ToTwirp(fault.New(kind, "refused", "ask again"))); err != nil {
				t.Error(err)
			}
		})
	}
	hang := http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() })
	change := func(ctx context.Context, c *Coordinator) error {
		_, err := c.Apply(ctx, &rockwindpb.ApplyConfigurationRequest{Configuration: &rockwindpb.Configuration{Number: 2}})
		return err
	}
	report := func(ctx context.Context, c *Coordinator) error {
		_, err := quarantineService{c}.Report(ctx, &rockwindpb.ReportQuarantineRequest{})
		return err
	}
	read := func(ctx context.Context, c *Coordinator) error {
		_, err := c.LatestConfiguration(ctx)
		return err
	}
	for name, test := range map[string]struct {
		one  http.Handler
		call func(ctx context.Context, c *Coordinator) error
		want fault.Kind
	}{
		"apply, no answer":        {hang, change, fault.OutcomeUnknown},
		"apply, outcome unknown":  {refuse(fault.OutcomeUnknown), change, fault.OutcomeUnknown},
		"apply, all know":         {refuse(fault.NotLeader), change, fault.NotLeader},
		"report, no answer":       {hang, report, fault.OutcomeUnknown},
		"report, outcome unknown": {refuse(fault.OutcomeUnknown), report, fault.OutcomeUnknown},
		"report, all know":        {refuse(fault.NotLeader), report, fault.NotLeader},
		"read, no answer":         {hang, read, fault.NotLeader},
	} {
		t.Run(name, func(t *testing.T) {
			for place := range coordinators {
				inSiteThatAdmits(t, coordinators, func(s *virtualSite) {
					outside := s.startOutside(1)[0].coordinator
					ordered := outside.members.order(outside.settings.GetName(), outside.rootMembers(), time.Now())
					for other, address := range ordered {
						handler := refuse(fault.NotLeader)
						if other == place {
							handler = test.one
						}
						s.links.serve(s.t.Context(), address, handler)
					}
					ctx, cancel := context.WithTimeout(s.t.Context(), callPatience)
					defer cancel()
					if err := test.call(ctx, outside); !fault.Is(err, test.want) {
						s.t.Errorf("place %d: the call ends with %v, want %v", place, err, test.want)
					}
				})
			}
		})
	}
}

// TestMembersAreAskedInOrder keeps the order in which a coordinator outside asks members: its
// own, with those that failed lately at the end, and no more of them than there are tries.
func TestMembersAreAskedInOrder(t *testing.T) {
	var members memberOrder
	addresses := []string{"a", "b", "c", "d", "e", "f", "g"}
	now := time.Unix(1000, 0)
	first := members.order("self", addresses, now)
	if len(first) != passTries {
		t.Fatalf("%d members are asked", len(first))
	}
	members.note(first[0], false, now)
	if again := members.order("self", addresses, now); again[0] != first[1] {
		t.Errorf("%s is asked first after %s has failed, want %s", again[0], first[0], first[1])
	}
	if later := members.order("self", addresses, now.Add(memberAvoidance)); later[0] != first[0] {
		t.Errorf("%s is asked first later, want %s", later[0], first[0])
	}
	members.note(first[0], true, now)
	if back := members.order("self", addresses, now); back[0] != first[0] {
		t.Errorf("%s is asked first after %s has answered", back[0], first[0])
	}
}
