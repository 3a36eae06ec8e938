// Package contact decides whether a follower of a shard may answer reads from its own state. It is
// pure: the time is an argument.
package contact

import (
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// MaxSilence is the longest time between two messages of the leader in an uninterrupted contact.
	// Heartbeats come every 60 ms, and a replica starts an election after 300 ms.
	MaxSilence = 300 * time.Millisecond
	// MinDuration is how long a contact must have lasted. Messages that were delayed by a stopped
	// process or a lost packet arrive together and may be old. A contact of this duration had a later
	// message.
	MinDuration = 2 * MaxSilence
)

// Contact tracks the contact of a replica with its leader. The zero value has none.
type Contact struct {
	connected    bool
	term, leader uint64
	// since and last are the first and the last observation of this contact.
	since, last time.Duration
	// messages is the number of leaders' messages at the last observation, and heard is a time before
	// the newest of them was received.
	messages uint64
	heard    time.Duration
}

// Observe records a status of the replica. Times count from any moment that is the same for all
// calls and include those in which the machine was suspended.
func (c *Contact) Observe(status *rockwindpb.GroupStatus, now time.Duration) {
	if !follows(status) {
		c.connected = false
		return
	}
	if c.sameLeader(status) && status.GetLeaderMessages() != c.messages {
		c.heard = c.last
	}
	if !c.sameLeader(status) || now-c.heard > MaxSilence {
		c.connected, c.term, c.leader, c.since, c.heard = true, status.GetTerm(), status.GetLeader(), now, now
	}
	c.last, c.messages = now, status.GetLeaderMessages()
}

// Current reports whether the state that the replica has applied by the time of the status contains
// everything that its leader had committed a second before. The status must be the one last observed
// or a later one.
func (c *Contact) Current(status *rockwindpb.GroupStatus, now time.Duration) bool {
	return follows(status) && c.sameLeader(status) && now-c.heard <= MaxSilence && now-c.since >= MinDuration && upToDate(status)
}

func (c *Contact) sameLeader(status *rockwindpb.GroupStatus) bool {
	return c.connected && c.term == status.GetTerm() && c.leader == status.GetLeader()
}

// follows reports whether a replica is a voter that receives messages of its leader.
func follows(status *rockwindpb.GroupStatus) bool {
	return status.GetVoter() && status.GetHearsLeader() && status.GetLeader() != 0
}

// upToDate reports whether a replica has applied all entries up to the newest commit index that it has
// received from its leader. An entry of the term is needed because the commit index of a new leader may be
// behind until it has committed one.
func upToDate(status *rockwindpb.GroupStatus) bool {
	return status.GetNewestCommit() != 0 && status.GetApplied() >= status.GetNewestCommit() && status.GetAppliedTerm() == status.GetTerm()
}
