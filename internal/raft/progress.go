package raft

// progressState is how the leader sends to a member.
type progressState int

const (
	// probing sends one append and waits for the reply.
	probing progressState = iota
	// replicating pipelines appends.
	replicating
	// installing waits until the member has installed a snapshot.
	installing
)

// progress is the leader's view of a member.
type progress struct {
	state progressState
	// match is the last index that the member is known to have synced.
	match uint64
	// next is the next index to send.
	next uint64
	// sentCommit is the commit index that was sent last.
	sentCommit uint64
	// waiting stops a probe until a reply or a heartbeat reply.
	waiting bool
	// resend asks for an append even if there is nothing new.
	resend bool
	// inflight holds the last index of each unanswered append, ascending.
	inflight []uint64
	// snapshotIndex is the snapshot that is being installed.
	snapshotIndex uint64
	// heard is the tick of the last message.
	heard uint64
	// ackedRound is the newest heartbeat round that the member answered.
	ackedRound uint64
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

// accepted notes that the member synced its log up to an index. It tells
// whether that is news.
func (p *progress) accepted(index uint64) bool {
	news := index > p.match
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
	return news
}

// rejected notes that the member refused an append after index, and that hint
// is the last index where its log may match. It tells whether to send again.
func (p *progress) rejected(index, hint uint64) bool {
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

// heartbeatAnswered lets a stalled member go on: an append may have been lost.
func (p *progress) heartbeatAnswered(last uint64, maxInflight int) {
	p.waiting = false
	if p.state != replicating {
		return
	}
	if len(p.inflight) >= maxInflight {
		p.inflight = p.inflight[1:]
	}
	p.resend = p.match < last
}
