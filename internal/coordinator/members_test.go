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

// callTimeout is the timeout of calls of servers and operators.
const callTimeout = 3 * time.Second

// startNonMembers adds coordinators to a site whose root group is full and waits until they have
// joined the cluster.
func (s *virtualSite) startNonMembers(count int) []*process {
	s.t.Helper()
	var added []*process
	for place := range count {
		p := &process{name: fmt.Sprintf("late%d", place), disk: faultfs.New()}
		p.disk.DelaySync(func() { time.Sleep(diskSyncTime) })
		s.start(p)
		s.processes = append(s.processes, p)
		added = append(added, p)
	}
	time.Sleep(2 * time.Second)
	for _, p := range added {
		if !p.coordinator.isNonMember() {
			s.t.Fatalf("%s is a member of a full group or has not joined the cluster", p.name)
		}
	}
	return added
}

// callAll makes each kind of call at a coordinator and returns the longest duration.
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
			// The error must come from the leader.
			if err := c.Retire(ctx, "nobody"); !fault.Is(err, fault.NotFound) {
				return fmt.Errorf("retiring an unknown store: %w", err)
			}
			if _, err := c.Retired(ctx, "nobody"); !fault.Is(err, fault.NotFound) {
				return fmt.Errorf("querying an unknown store: %w", err)
			}
			return nil
		},
	} {
		ctx, cancel := context.WithTimeout(s.t.Context(), callTimeout)
		began := time.Now()
		if err := call(ctx); err != nil {
			s.t.Errorf("%s at %s: %v", name, p.name, err)
		}
		longest = max(longest, time.Since(began))
		cancel()
	}
	return longest
}

// TestNonMembersServe verifies that non-members answer all calls as members do, and that watchers
// can start with non-members only.
func TestNonMembersServe(t *testing.T) {
	inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
		for place, p := range s.startNonMembers(2) {
			took := s.callAll(p, uint64(place+2))
			s.t.Logf("longest call at %s: %v", p.name, took)
			if took > 100*time.Millisecond {
				s.t.Errorf("a call at %s took %v", p.name, took)
			}
		}
		s.seeds = []string{"late0", "late1", "late0"}
		watching := &process{name: "watcher"}
		s.start(watching)
		s.processes = append(s.processes, watching)
		s.awaitReady([]*process{watching})
		if watching.ready > 100*time.Millisecond {
			s.t.Errorf("a watcher that knows only non-members is ready after %v", watching.ready)
		}
	})
}

// TestNonMemberIsListedInDirectory verifies that a non-member announces itself.
func TestNonMemberIsListedInDirectory(t *testing.T) {
	inOpenVirtualSite(t, coordinators+1, func(s *virtualSite) {
		nonMember := s.startNonMembers(1)[0]
		ctx, cancel := context.WithCancel(s.t.Context())
		var kept sync.WaitGroup
		kept.Go(func() { nonMember.coordinator.runMaintenance(ctx) })
		time.Sleep(time.Second)
		if _, known := s.processes[coordinators].watcher.Directory().Machine(nonMember.name); !known {
			s.t.Errorf("the directory does not list %s", nonMember.name)
		}
		cancel()
		kept.Wait()
	})
}

// TestNonMemberServesAfterLeaderLoss verifies that calls at a non-member succeed after an election.
func TestNonMemberServesAfterLeaderLoss(t *testing.T) {
	inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
		nonMember := s.startNonMembers(1)[0]
		s.leader().stop()
		took := s.callAll(nonMember, 2)
		s.t.Logf("longest call: %v", took)
		if took > 1500*time.Millisecond {
			s.t.Errorf("a call took %v", took)
		}
	})
}

// TestNonMemberAvoidsUnresponsiveMembers guards against waiting repeatedly for members that accept
// calls and never answer.
func TestNonMemberAvoidsUnresponsiveMembers(t *testing.T) {
	inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
		nonMember := s.startNonMembers(1)[0]
		leader, hanging := s.leader(), 0
		for _, name := range nonMember.coordinator.memberSelector.order(nonMember.name, s.seeds, time.Now()) {
			if name != leader.name && hanging < 2 {
				hanging++
				s.network.serve(s.t.Context(), name, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
					<-request.Context().Done()
				}))
			}
		}
		first := s.callAll(nonMember, 2)
		later := s.callAll(nonMember, 3)
		s.t.Logf("longest call: %v, later %v", first, later)
		if first > 2*forwardTimeout+100*time.Millisecond || later > 100*time.Millisecond {
			t.Errorf("a call took %v, later %v", first, later)
		}
	})
}

// TestNonMembersDoNotForwardInLoops guards against non-members forwarding calls to each other when
// there are no members.
func TestNonMembersDoNotForwardInLoops(t *testing.T) {
	inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
		nonMembers := s.startNonMembers(2)
		for _, p := range nonMembers {
			p.coordinator.settings.Seeds = []string{"late0", "late1"}
		}
		for _, p := range s.processes[:coordinators] {
			p.stop()
		}
		s.network.takeCalls()
		ctx, cancel := context.WithTimeout(s.t.Context(), callTimeout)
		defer cancel()
		began := time.Now()
		_, err := nonMembers[0].coordinator.LatestConfiguration(ctx)
		took, calls := time.Since(began), s.network.takeCalls()
		s.t.Logf("refused after %v and %d calls: %v", took, calls, err)
		if !fault.Is(err, fault.Unavailable) || took > time.Second || calls > 2*maxForwardAttempts {
			s.t.Errorf("the call ended after %v and %d calls with %v", took, calls, err)
		}
	})
}

// TestNonMemberDoesNotForwardCallsForLeader guards against forwarding loops when a non-member has
// taken over the address of the leader, as after its machine was replaced.
func TestNonMemberDoesNotForwardCallsForLeader(t *testing.T) {
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
			inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
				nonMember := s.startNonMembers(1)[0]
				leader := s.leader()
				leader.stop()
				s.network.alias(leader.name, nonMember.name)
				ctx, cancel := context.WithTimeout(s.t.Context(), callTimeout)
				defer cancel()
				before, began := s.network.callsOf(method), time.Now()
				err := call(ctx, nonMember.coordinator)
				took, calls := time.Since(began), s.network.callsOf(method)-before
				s.t.Logf("served after %v and %d calls: %v", took, calls, err)
				// Either a member retries, or the non-member tries the members in rounds.
				if err != nil || took > 1500*time.Millisecond || calls > int(2*took/leaderRetryInterval)+maxForwardAttempts {
					s.t.Errorf("the call ended after %v and %d calls with %v", took, calls, err)
				}
			})
		})
	}
}

// TestNonMemberWaitsForSlowCommit guards against aborting, repeating or avoiding a member for a
// commit that takes longer than forwardTimeout.
func TestNonMemberWaitsForSlowCommit(t *testing.T) {
	const slowCommit = forwardTimeout + forwardTimeout/2
	inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
		nonMember := s.startNonMembers(1)[0]
		leader := s.leader()
		serving := leader.coordinator.internalHandler(nil)
		s.network.serve(s.t.Context(), leader.name, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if path.Base(request.URL.Path) == "Change" {
				retry.Pause(request.Context(), slowCommit)
			}
			serving.ServeHTTP(writer, request)
		}))
		// The non-member tries a follower first, which forwards to the leader.
		nonMember.coordinator.memberSelector.recordResult(leader.name, false, time.Now())
		ctx, cancel := context.WithTimeout(s.t.Context(), callTimeout)
		defer cancel()
		made := func() int { return s.network.callsOf("Leave") + s.network.callsOf("Change") }
		before, began := made(), time.Now()
		err := nonMember.coordinator.Leave(ctx, &rockwindpb.LeaveServerRequest{Id: "nobody"})
		took, calls := time.Since(began), made()-before
		s.t.Logf("committed after %v with %d calls: %v", took, calls, err)
		// One call to a follower and one to the leader.
		if err != nil || took < slowCommit || took > slowCommit+100*time.Millisecond || calls != 2 {
			s.t.Errorf("the call ended after %v and %d calls with %v", took, calls, err)
		}
		if failed := len(nonMember.coordinator.memberSelector.lastFailed); failed != 1 {
			s.t.Errorf("%d members are avoided, want 1", failed)
		}
	})
}

// TestNonMemberReportsUnknownOutcome guards against answering NotLeader, which callers take for a
// change that was not made, if one member may have made it. Reads are not affected.
func TestNonMemberReportsUnknownOutcome(t *testing.T) {
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
				inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
					nonMember := s.startNonMembers(1)[0].coordinator
					ordered := nonMember.memberSelector.order(nonMember.settings.GetName(), nonMember.memberAddresses(), time.Now())
					for other, address := range ordered {
						handler := refuse(fault.NotLeader)
						if other == place {
							handler = test.one
						}
						s.network.serve(s.t.Context(), address, handler)
					}
					ctx, cancel := context.WithTimeout(s.t.Context(), callTimeout)
					defer cancel()
					if err := test.call(ctx, nonMember); !fault.Is(err, test.want) {
						s.t.Errorf("position %d: the call ended with %v, want %v", place, err, test.want)
					}
				})
			}
		})
	}
}

// TestMembersAreAskedInOrder verifies the order and number of the members that a call is forwarded
// to, and that recently failed members come last.
func TestMembersAreAskedInOrder(t *testing.T) {
	var members memberSelector
	addresses := []string{"a", "b", "c", "d", "e", "f", "g"}
	now := time.Unix(1000, 0)
	first := members.order("self", addresses, now)
	if len(first) != maxForwardAttempts {
		t.Fatalf("%d members are returned", len(first))
	}
	members.recordResult(first[0], false, now)
	if again := members.order("self", addresses, now); again[0] != first[1] {
		t.Errorf("%s is first after %s failed, want %s", again[0], first[0], first[1])
	}
	if later := members.order("self", addresses, now.Add(memberAvoidTime)); later[0] != first[0] {
		t.Errorf("%s is first after the avoidance time, want %s", later[0], first[0])
	}
	members.recordResult(first[0], true, now)
	if back := members.order("self", addresses, now); back[0] != first[0] {
		t.Errorf("%s is first after %s answered", back[0], first[0])
	}
}
