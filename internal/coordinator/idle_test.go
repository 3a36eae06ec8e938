package coordinator

import (
	"testing"
	"time"
)

// TestIdleReplicasCostOneCallAHeartbeat guards against extra calls of idle groups: the leader should
// make one call per replica and heartbeat interval.
func TestIdleReplicasCostOneCallAHeartbeat(t *testing.T) {
	const (
		seconds = 6
		// heartbeat is two ticks of the site in virtual time.
		heartbeat = 60 * time.Millisecond
		// slack allows for calls other than heartbeats.
		slack = 1.1
	)
	inVirtualSite(t, coordinators, func(s *virtualSite) {
		time.Sleep(time.Second)
		before := s.network.callsOf("Send")
		time.Sleep(seconds * time.Second)
		calls := s.network.callsOf("Send") - before
		wanted := (coordinators - 1) * int(seconds*time.Second/heartbeat)
		s.t.Logf("%d calls in %d s, %d heartbeats expected", calls, seconds, wanted)
		if float64(calls) > slack*float64(wanted) {
			s.t.Errorf("%d calls, %d heartbeats expected", calls, wanted)
		}
	})
}
