package coordinator

import (
	"testing"
	"time"
)

// TestIdleReplicasCostOneCallAHeartbeat: a group that does nothing has its leader call each other
// replica once an interval of heartbeats, and the replies come with the answers. On a site of 150
// stores, each with replicas of five groups, the heartbeats of idle groups are most of all calls.
func TestIdleReplicasCostOneCallAHeartbeat(t *testing.T) {
	const (
		seconds = 6
		// heartbeat is two ticks of the site in virtual time.
		heartbeat = 60 * time.Millisecond
		// slack is for calls that are not heartbeats.
		slack = 1.1
	)
	inVirtualSite(t, coordinators, func(s *virtualSite) {
		time.Sleep(time.Second)
		before := s.links.callsOf("Send")
		time.Sleep(seconds * time.Second)
		calls := s.links.callsOf("Send") - before
		wanted := (coordinators - 1) * int(seconds*time.Second/heartbeat)
		s.t.Logf("%d calls in %d s, for %d heartbeats", calls, seconds, wanted)
		if float64(calls) > slack*float64(wanted) {
			s.t.Errorf("%d calls for %d heartbeats", calls, wanted)
		}
	})
}
