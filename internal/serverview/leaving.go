package serverview

import "time"

// liveListsToReturn is how many lists in a row must show a server as live
// before it counts as back, after the platform showed it as leaving. The list
// lags and its replicas disagree; one old copy must not bring a server back.
const liveListsToReturn = 3

// declineHold is how long a server stays out after it said that it takes no
// requests to a gateway that does not poll it. By then its owner's word counts.
const declineHold = 10 * time.Second

// leavingState is the evidence that a server is leaving.
type leavingState struct {
	// draining is what the server itself said last.
	draining bool
	// drainingAt is when it said so last.
	drainingAt time.Duration
	// digest is what the server's owner passed on.
	digest bool
	// named is set while the control machines name the server as leaving.
	named bool
	// platform is set once the platform showed the server as leaving or lost.
	platform bool
	// live counts the lists in a row that showed it as live since then.
	live int
	// listed is set once a list named the server.
	listed bool
}

// out tells whether the server gets no new work.
func (s *leavingState) out() bool {
	return s.draining || s.digest || s.named || s.platform
}

// said takes what the server itself reported at a time. An older report never
// takes back a newer one.
func (s *leavingState) said(draining bool, takenAt time.Duration) {
	if takenAt < s.drainingAt {
		return
	}
	s.drainingAt = takenAt
	s.draining = draining
	s.digest = false
}

// expire takes back what the server said long ago, where nobody asks it again,
// and tells whether it did.
func (s *leavingState) expire(now time.Duration) bool {
	if !s.draining || now-s.drainingAt < declineHold {
		return false
	}
	s.draining = false
	return true
}

// passedOn takes what the server's owner said. Absence of the mark clears only
// an earlier mark of the owner, not what the server said here.
func (s *leavingState) passedOn(leaving bool) {
	s.digest = leaving
}

// shown takes one list of the platform: whether it names the server, and as
// leaving.
func (s *leavingState) shown(named, leaving bool) {
	switch {
	case named && leaving, !named && s.listed:
		s.platform = true
		s.live = 0
	case named && s.platform:
		s.live++
		if s.live >= liveListsToReturn {
			s.platform = false
		}
	}
	s.listed = s.listed || named
}
