package coordinator

import (
	"context"
	"testing"
	"time"
)

// callerTimeout is after what time the callers of these tests give up.
const callerTimeout = 900 * time.Millisecond

// follower returns a coordinator that does not lead the root group.
func (s *virtualSite) follower() *Coordinator {
	s.t.Helper()
	s.awaitCoordinators()
	for _, p := range s.processes[:coordinators] {
		if _, leading := s.rootGroupOf(p).Leading(); !leading {
			return p.coordinator
		}
	}
	s.t.Fatal("all coordinators lead")
	return nil
}

// changeDrain starts or ends the drain of the zone east.
func changeDrain(ctx context.Context, c *Coordinator, start bool) error {
	if start {
		return c.StartZoneDrain(ctx, "east")
	}
	return c.EndZoneDrain(ctx, "east")
}

// mustChangeDrain is changeDrain for a command that has to succeed.
func (s *virtualSite) mustChangeDrain(c *Coordinator, start bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), callerTimeout)
	defer cancel()
	if err := changeDrain(ctx, c, start); err != nil {
		s.t.Fatalf("starting (%v) or ending the drain returned %v", start, err)
	}
}

// checkLateDrainCommand has a command given up whose forwarded call is on its way, repeats and revokes it at the
// leader, and checks that the call has no effect once it arrives.
func (s *virtualSite) checkLateDrainCommand(forwarding *Coordinator, start bool) {
	s.t.Helper()
	leader := s.leader().coordinator
	s.mustChangeDrain(leader, !start)
	method := map[bool]string{false: "End", true: "Start"}[start]
	deliver := s.network.delay(method)
	defer deliver()
	ctx, cancel := context.WithTimeout(s.t.Context(), callerTimeout)
	defer cancel()
	// A non-member may succeed with another call, at another member.
	_ = changeDrain(ctx, forwarding, start)
	s.mustChangeDrain(leader, start)
	s.mustChangeDrain(leader, !start)
	deliver()
	time.Sleep(time.Second)
	if _, view, err := leader.currentState(); err != nil || view.zoneDrains.Drained("east") == start {
		s.t.Errorf("the call that was delivered late changed the drain to %v, %v", start, err)
	}
}

// TestForwardedDrainCommandThatArrivesLateIsRefused guards against a command that its sender has given up and revoked, and
// that the leader commits as the call of another coordinator arrives late.
func TestForwardedDrainCommandThatArrivesLateIsRefused(t *testing.T) {
	for name, forwarding := range map[string]func(s *virtualSite) *Coordinator{
		"member":     func(s *virtualSite) *Coordinator { return s.follower() },
		"non-member": func(s *virtualSite) *Coordinator { return s.startNonMembers(1)[0].coordinator },
	} {
		for _, start := range []bool{false, true} {
			t.Run(name+map[bool]string{false: " end", true: " start"}[start], func(t *testing.T) {
				inOpenVirtualSite(t, coordinators, func(s *virtualSite) {
					s.announceLevels(s.processes[:coordinators])
					s.reportServerIn("east")
					s.checkLateDrainCommand(forwarding(s), start)
				})
			})
		}
	}
}
