package serverview

import "time"

// liveListsToReadmit is how many consecutive lists must show a server as live
// before it is readmitted. The list lags and its replicas disagree, so a single
// list may be stale.
const liveListsToReadmit = 3

// drainingTTL is how long a gateway that does not poll a server excludes it
// after the server reported that it is draining. After that, the digests of the
// server's owner decide.
const drainingTTL = 10 * time.Second

// leavingState combines the sources that show whether a server is leaving.
type leavingState struct {
	// draining is the server's last own report.
	draining bool
	// drainingAt is the time of that report.
	drainingAt time.Duration
	// digest is the last state reported by the server's owner.
	digest bool
	// control is set while the control machines list the server as leaving.
	control bool
	// platform is set once the platform listed the server as leaving or no
	// longer listed it.
	platform bool
	// liveLists counts the consecutive lists since then that showed the server
	// as live.
	liveLists int
	// listed is set once a list contained the server.
	listed bool
}

// excluded reports whether the server must receive no new requests.
func (s *leavingState) excluded() bool {
	return s.draining || s.digest || s.control || s.platform
}

// setDraining applies the server's own report. Reports older than the last one
// are ignored.
func (s *leavingState) setDraining(draining bool, takenAt time.Duration) {
	if takenAt < s.drainingAt {
		return
	}
	s.drainingAt = takenAt
	s.draining = draining
	s.digest = false
}

// expireDraining clears an old draining report, for servers that this gateway
// does not poll, and reports whether it did.
func (s *leavingState) expireDraining(now time.Duration) bool {
	if !s.draining || now-s.drainingAt < drainingTTL {
		return false
	}
	s.draining = false
	return true
}

// setDigest applies the state reported by the server's owner. It does not
// override what the server itself reported to this gateway.
func (s *leavingState) setDigest(leaving bool) {
	s.digest = leaving
}

// applyList applies one platform list: whether it contains the server, and
// whether as leaving.
func (s *leavingState) applyList(present, leaving bool) {
	switch {
	case present && leaving, !present && s.listed:
		s.platform = true
		s.liveLists = 0
	case present && s.platform:
		s.liveLists++
		if s.liveLists >= liveListsToReadmit {
			s.platform = false
		}
	}
	s.listed = s.listed || present
}
