package raft

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Node is the consensus state of one replica. It is not safe for concurrent use.
type Node struct {
	config  Config
	id      uint64
	term    uint64
	vote    uint64
	role    Role
	leader  uint64
	log     *entryLog
	members *memberships
	// ticks counts calls of Tick.
	ticks uint64
	// electionElapsed counts ticks since the election timer was reset.
	electionElapsed int
	electionTimeout int
	// leaderElapsed counts ticks since a leader was heard, or since the start.
	// Below ElectionTicks the replica votes for nobody, since a leader may hold
	// a lease that rests on it.
	leaderElapsed int
	// leaderCommit is what the leader of the term had committed when this replica first
	// heard it since its start; see Status.
	leaderCommit uint64
	// restarted tells that this replica has neither led nor heard a leader since its start.
	restarted bool
	// polled holds the voters that would vote in an election that needs all of them.
	polled map[uint64]bool
	// nextPoll is the first tick at which this replica may poll again.
	nextPoll uint64
	// unanimous tells that the election under way needs the votes of all voters.
	unanimous bool
	// granted holds the answers to this replica's (pre-)votes.
	granted map[uint64]bool
	leading *leading
	// handedOver is the tick at which this replica last gave up leadership for its slow disk,
	// zero for never.
	handedOver uint64
	// round counts the heartbeat rounds that this replica made in any term.
	round uint64

	messages      []*rockwindpb.Message
	earlyMessages []*rockwindpb.Message
	readStates    []ReadState
	stored        *rockwindpb.HardState
	storedSoft    SoftState
	outstanding   bool
	halted        error
	faults        faultInjection
}

// faultInjection breaks the core on purpose. Only tests set it, to show that
// the checks find each fault.
type faultInjection struct {
	countSelfBeforeSync  bool
	commitOlderTerm      bool
	acceptStaleTerm      bool
	answerBeforeSync     bool
	forgetLeaderPromise  bool
	leaseFromAnswer      bool
	anyMembershipChange  bool
	leaseDuringTransfer  bool
	readWithoutOwnCommit bool
	unanimousByMajority  bool
}

// NewNode restores a replica from its storage. It fails with ErrLogLost when
// synced entries are missing.
func NewNode(config Config) (*Node, error) {
	if err := checkConfig(config); err != nil {
		return nil, err
	}
	hard, base, err := config.Storage.InitialState()
	if err != nil {
		return nil, errors.Wrap(err, "read the initial state")
	}
	if hard == nil {
		hard = &rockwindpb.HardState{}
	}
	first, last := config.Storage.FirstIndex(), config.Storage.LastIndex()
	if max(hard.GetCommit(), config.Applied) > last {
		return nil, errors.Wrapf(ErrLogLost, "commit %d, applied %d, last %d", hard.GetCommit(), config.Applied, last)
	}
	n := &Node{
		config:  config,
		id:      config.ID,
		term:    hard.GetTerm(),
		vote:    hard.GetVote(),
		log:     newEntryLog(config.Storage, hard.GetCommit(), config.Applied),
		members: newMemberships(first-1, base),
		stored:  proto.CloneOf(hard),

		restarted: true,
	}
	if err := n.readMemberships(first, last); err != nil {
		return nil, err
	}
	if hard.GetTerm() == 0 {
		n.leaderElapsed = config.ElectionTicks
	}
	n.resetElectionTimer()
	// The last one to start finds all others up.
	n.poll()
	return n, nil
}

func checkConfig(config Config) error {
	switch {
	case config.ID == 0:
		return errors.New("raft: ID must not be zero")
	case config.HeartbeatTicks < 1 || config.ElectionTicks <= config.HeartbeatTicks:
		return errors.New("raft: ElectionTicks must exceed HeartbeatTicks, which must be at least 1")
	case config.LeaseTicks < 1 || config.LeaseTicks >= config.ElectionTicks:
		return errors.New("raft: LeaseTicks must be at least 1 and below ElectionTicks")
	case config.MaxInflight < 1 || config.MaxAppendBytes < 1:
		return errors.New("raft: MaxInflight and MaxAppendBytes must be at least 1")
	case config.Random == nil || config.Storage == nil:
		return errors.New("raft: Random and Storage must be set")
	}
	return nil
}

func (n *Node) readMemberships(first, last uint64) error {
	for next := first; next <= last; {
		entries, err := n.config.Storage.Entries(next, last+1, n.config.MaxAppendBytes)
		if err != nil {
			return errors.Wrapf(err, "read the log from %d", next)
		}
		if len(entries) == 0 {
			return errors.Newf("the log returned no entries from %d of %d", next, last)
		}
		if err := n.members.add(entries); err != nil {
			return err
		}
		next += uint64(len(entries))
	}
	return nil
}

// Tick moves the node's time on by one tick. Ticks that were missed, because
// the process was frozen or busy, must not be made up: two calls must never be
// closer than the tick interval, or a promise to a leader would end too early.
func (n *Node) Tick() {
	if n.halted != nil {
		return
	}
	n.ticks++
	n.electionElapsed++
	n.leaderElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionTimeout && n.mayCampaign() {
		n.campaignPreVote()
		return
	}
	if n.ticks < uint64(pollRounds*n.config.ElectionTicks) {
		n.poll()
	}
}

// Propose appends a command to the leader's log and returns where it stands.
// The command is committed if and only if it is handed out in CommittedEntries
// with that index and that term. The core keeps data; the caller must not
// change it afterwards.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	index, err = n.appendOwn(rockwindpb.EntryKind_ENTRY_KIND_COMMAND, data)
	return index, n.term, err
}

func (n *Node) mayPropose() error {
	switch {
	case n.halted != nil:
		return n.halted
	case n.role != Leader:
		return ErrNotLeader
	case n.leading.transferTarget != 0:
		return ErrTransferring
	}
	return nil
}

// ProposeMembership appends a membership, which takes effect at once and is
// final once committed. At most one voter may be added, removed, promoted or
// demoted at a time; a new voter must have been a learner and hold all
// committed entries. It fails with ErrNotLeader, ErrTransferring,
// ErrMembershipPending or ErrMembershipInvalid.
func (n *Node) ProposeMembership(membership *rockwindpb.Membership) error {
	if err := n.mayPropose(); err != nil {
		return err
	}
	if !n.faults.anyMembershipChange {
		if err := n.checkMembershipChange(membership); err != nil {
			return err
		}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(membership)
	if err != nil {
		return errors.Wrap(err, "encode the membership")
	}
	_, err = n.appendOwn(rockwindpb.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
	return err
}

func (n *Node) checkMembershipChange(membership *rockwindpb.Membership) error {
	if n.members.currentIndex() > n.log.committed || !n.committedInTerm() {
		return ErrMembershipPending
	}
	if err := checkChange(n.members.current(), membership); err != nil {
		return err
	}
	for _, id := range voters(membership) {
		if isVoter(n.members.current(), id) {
			continue
		}
		p := n.leading.progress[id]
		if p.match < n.log.committed || !n.active(p) {
			return errors.Wrapf(ErrMembershipInvalid, "member %x holds entries up to %d, committed is %d",
				id, p.match, n.log.committed)
		}
	}
	return nil
}

// MembershipAt returns the membership in effect at an index that is not older
// than the snapshot. It is what a snapshot at that index must record.
func (n *Node) MembershipAt(index uint64) *rockwindpb.Membership {
	return n.members.at(index)
}

// Status describes the node.
func (n *Node) Status() Status {
	membership := n.members.current()
	status := Status{
		ID:              n.id,
		Term:            n.term,
		Leader:          n.leader,
		Role:            n.role,
		Commit:          n.log.committed,
		Applied:         n.log.handed,
		LastIndex:       n.log.lastIndex(),
		Voter:           isVoter(membership, n.id),
		Membership:      membership,
		MembershipIndex: n.members.currentIndex(),
		LeaseValid:      n.LeaseValid(),
		HearsLeader:     n.hearsLeader(),
		LeaderCommit:    n.leaderCommit,
	}
	if n.role != Leader {
		return status
	}
	status.TransferTarget = n.leading.transferTarget
	for _, member := range membership.GetMembers() {
		p := n.leading.progress[member.GetId()]
		status.Progress = append(status.Progress, ProgressStatus{
			ID:                 member.GetId(),
			Match:              p.match,
			Active:             member.GetId() == n.id || n.active(p),
			Learner:            member.GetLearner(),
			InstallingSnapshot: p.state == installing,
		})
	}
	return status
}

// Matches tells whether the log has an entry of the term at the index, so that it agrees with
// every log that has it, up to there.
func (n *Node) Matches(index, term uint64) bool { return n.log.hasTerm(index, term) }

// Entry returns the entry at an index of the log. It fails with ErrCompacted or ErrUnavailable
// where the log doesn't hold it.
func (n *Node) Entry(index uint64) (*rockwindpb.Entry, error) {
	if index > n.log.lastIndex() {
		return nil, ErrUnavailable
	}
	entries, err := n.log.entries(index, index+1, 0)
	if err != nil {
		return nil, err
	}
	if len(entries) == 0 {
		return nil, ErrUnavailable
	}
	return entries[0], nil
}

// Err returns the reason for which the node halted, nil while it runs. A halted
// node does nothing any more; its process should stop and be looked at.
func (n *Node) Err() error {
	return n.halted
}

// halt stops the node for good.
func (n *Node) halt(err error) error {
	if n.halted == nil {
		n.halted = err
	}
	return err
}

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.config.ElectionTicks + n.config.Random.IntN(n.config.ElectionTicks)
}

// send queues a message that must wait until everything before it is synced.
func (n *Node) send(message *rockwindpb.Message) {
	message.From = n.id
	if message.Term == 0 {
		message.Term = n.term
	}
	n.messages = append(n.messages, message)
}

// sendEarly queues a leader's message, which promises nothing about its disk.
func (n *Node) sendEarly(message *rockwindpb.Message) {
	message.From = n.id
	message.Term = n.term
	n.earlyMessages = append(n.earlyMessages, message)
}

// hearsLeader tells whether the replica has heard from its term's leader within
// an election timeout, or leads with a valid lease.
func (n *Node) hearsLeader() bool {
	if n.role == Leader {
		return n.LeaseValid()
	}
	return n.leader != 0 && n.leaderElapsed < n.config.ElectionTicks
}
