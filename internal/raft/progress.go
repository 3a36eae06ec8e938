package raft

// progressState defines how the leader replicates to a member.
type progressState int

const (
	// probing sends one append message and waits for the reply.
	probing progressState = iota
	// replicating pipelines append messages.
	replicating
	// installing waits until the member has installed a snapshot.
	installing
)

// progress is the leader's view of a member.
type progress struct {
	state progressState
	// match is the last index that the member is known to have synced.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// sentCommit is the commit index that was last sent.
	sentCommit uint64
	// waiting pauses probing until the member replies to an append or a heartbeat.
	waiting bool
	// resend requests an append message even if there is nothing new.
	resend bool
	// inflight holds the last index of each unacknowledged append message, ascending.
	inflight []uint64
	// snapshotIndex is the index of the snapshot that is being installed.
	snapshotIndex uint64
	// lastHeard is the tick of the last message from the member.
	lastHeard uint64
	// ackedRound is the newest heartbeat round that the member replied to.
	ackedRound uint64
	// witness is set for a witness, and fullVoter for any other voter.
	witness, fullVoter bool
	// sync is the relation of a full voter to the in-sync set.
	sync syncState
	// diskLost is the evidence of ReportDiskLost.
	diskLost bool
	// lagging is set while a full voter has not synced lagIndex, up to which the leader had synced at lagTick.
	// prompt reports whether the last such index was reached within an election timeout.
	lagging, prompt   bool
	lagIndex, lagTick uint64
}

func (p *progress) becomeProbing() {
	if p.state == installing {
		p.next = max(p.match, p.snapshotIndex) + 1
	} else {
		p.next = p.match + 1
	}
	p.state = probing
	p.snapshotIndex = 0
	p.inflight = nil
	p.waiting = false
	p.sentCommit = 0
}

func (p *progress) becomeReplicating() {
	p.state = replicating
	p.next = p.match + 1
	p.snapshotIndex = 0
	p.inflight = nil
	p.waiting = false
}

func (p *progress) becomeInstalling(index uint64) {
	p.state = installing
	p.snapshotIndex = index
	p.inflight = nil
	p.waiting = false
}

// recordAccept records that the member synced its log up to index. It reports whether
// this advanced the match index.
func (p *progress) recordAccept(index uint64) bool {
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	free := 0
	for free < len(p.inflight) && p.inflight[free] <= index {
		free++
	}
	p.inflight = p.inflight[free:]
	switch {
	case p.state == probing:
		p.becomeReplicating()
	case p.state == installing && p.match >= p.snapshotIndex:
		p.becomeReplicating()
	}
	return advanced
}

// recordReject records that the member rejected an append after index. hint is the last
// index at which the logs may match. It reports whether the append should be retried.
func (p *progress) recordReject(index, hint uint64) bool {
	switch p.state {
	case replicating:
		if index <= p.match {
			return false
		}
		p.becomeProbing()
		return true
	case probing:
		if p.next-1 != index {
			return false
		}
		p.next = max(min(index, hint+1), p.match+1)
		p.waiting = false
		return true
	}
	return false
}

// recordHeartbeatReply resumes sending to a stalled member, because an append message may
// have been lost.
func (p *progress) recordHeartbeatReply(last uint64, maxInflight int) {
	p.waiting = false
	if p.state != replicating {
		return
	}
	if len(p.inflight) >= maxInflight {
		p.inflight = p.inflight[1:]
	}
	p.resend = p.match < last
}
