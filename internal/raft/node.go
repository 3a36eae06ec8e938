package raft

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Node is the Raft state of one replica. It is not safe for concurrent use.
type Node struct {
	config  Config
	id      uint64
	term    uint64
	vote    uint64
	role    Role
	leader  uint64
	log     *entryLog
	members *memberships
	// ticks counts the calls of Tick.
	ticks uint64
	// electionElapsed counts the ticks since the election timer was reset.
	electionElapsed int
	electionTimeout int
	// leaderElapsed counts the ticks since the replica heard from a leader or started.
	// Below ElectionTicks the replica does not vote, because a leader may hold a lease
	// that depends on it.
	leaderElapsed int
	// leaderCommit is the value of Status.LeaderCommit.
	leaderCommit uint64
	// newestCommit is the value of Status.NewestCommit.
	newestCommit uint64
	// leaderMessages is the value of Status.LeaderMessages.
	leaderMessages uint64
	// noLeaderSinceStart reports whether this replica has neither led nor heard from a
	// leader since it started.
	noLeaderSinceStart bool
	// unanimousGrants holds the voters that granted the current unanimous pre-vote.
	unanimousGrants map[uint64]bool
	// nextUnanimousPreVote is the earliest tick for the next unanimous pre-vote.
	nextUnanimousPreVote uint64
	// poll is the number of the newest poll, or 0. A poll is a unanimous pre-vote.
	poll uint64
	// confirmations holds the newest poll in which each voter confirmed the log's end.
	confirmations map[uint64]uint64
	// confirmedPoll is the value of Status.ConfirmedPoll until the first message of a leader.
	confirmedPoll uint64
	// unanimous reports whether the current election requires the votes of all voters.
	unanimous bool
	// votes holds the replies to the current vote or pre-vote requests: true if granted.
	votes       map[uint64]bool
	leaderState *leaderState
	// lastSlowDiskTransfer is the tick of the last leadership transfer because of a slow
	// disk, or 0.
	lastSlowDiskTransfer uint64
	// round counts the heartbeat rounds that this replica started, across all terms.
	round uint64

	messages           []*rockwindpb.Message
	messagesBeforeSync []*rockwindpb.Message
	readStates         []ReadState
	storedHardState    *rockwindpb.HardState
	reportedSoftState  SoftState
	awaitingAdvance    bool
	halted             error
	faults             faultInjection
}

// faultInjection disables safety rules. It is only set by tests, which verify that the
// simulation detects each resulting fault.
type faultInjection struct {
	countSelfBeforeSync  bool
	commitOlderTerm      bool
	acceptStaleTerm      bool
	replyBeforeSync      bool
	ignoreLeaderLease    bool
	leaseFromReply       bool
	anyMembershipChange  bool
	leaseDuringTransfer  bool
	readWithoutOwnCommit bool
	unanimousByMajority  bool
	// witnessesGetAll, contentToWitnesses and shrinkWithoutEvidence drop rules of witnesses.
	witnessesGetAll       bool
	contentToWitnesses    bool
	shrinkWithoutEvidence bool
	// confirmInAnyTerm and confirmAfterLeader drop a condition of a confirmed state, and
	// confirmOldPolls counts replies to polls from before the restart.
	confirmInAnyTerm   bool
	confirmAfterLeader bool
	confirmOldPolls    bool
}

// NewNode restores a replica from its storage. It fails with ErrLogLost if synced
// entries are missing.
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
		return nil, errors.Wrapf(ErrLogLost, "commit index %d, applied index %d, last index %d", hard.GetCommit(), config.Applied, last)
	}
	n := &Node{
		config:          config,
		id:              config.ID,
		term:            hard.GetTerm(),
		vote:            hard.GetVote(),
		log:             newEntryLog(config.Storage, hard.GetCommit(), config.Applied),
		members:         newMemberships(first-1, base),
		storedHardState: proto.CloneOf(hard),

		noLeaderSinceStart: true,
	}
	if err := n.readMemberships(first, last); err != nil {
		return nil, err
	}
	if hard.GetTerm() == 0 {
		n.leaderElapsed = config.ElectionTicks
	}
	n.resetElectionTimer()
	// If this is the last replica to start, all others are already running.
	n.requestUnanimousPreVote()
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
			return errors.Wrapf(err, "read the log from index %d", next)
		}
		if len(entries) == 0 {
			return errors.Newf("storage returned no entries from index %d, last index %d", next, last)
		}
		if err := n.members.add(entries); err != nil {
			return err
		}
		next += uint64(len(entries))
	}
	return nil
}

// Tick advances the time of the node by one tick. Ticks that were missed, for example
// because the process was suspended, must not be made up for: calls in quick succession
// would shorten the time for which the replica must not vote.
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
	if n.ticks < uint64(unanimousPreVoteTimeouts*n.config.ElectionTicks) {
		n.requestUnanimousPreVote()
	}
}

// Propose appends a command to the leader's log and returns its index and term. The
// command is committed if and only if CommittedEntries returns an entry with this index
// and term. The node retains data; the caller must not modify it afterwards.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	index, err = n.appendLeaderEntry(rockwindpb.EntryKind_ENTRY_KIND_COMMAND, data)
	return index, n.term, err
}

func (n *Node) mayPropose() error {
	switch {
	case n.halted != nil:
		return n.halted
	case n.role != Leader:
		return ErrNotLeader
	case n.leaderState.transferTarget != 0:
		return ErrTransferring
	}
	return nil
}

// ProposeMembership appends a membership, which takes effect immediately and is final
// once committed. At most one voter may be added, removed, promoted or demoted at a
// time, and a new voter must be a learner that holds all committed entries. It fails
// with ErrNotLeader, ErrTransferring, ErrMembershipPending or ErrMembershipInvalid. The caller must check that
// a witness that it promotes has caught up; see promotionIndex.
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
	_, err = n.appendLeaderEntry(rockwindpb.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
	return err
}

func (n *Node) checkMembershipChange(membership *rockwindpb.Membership) error {
	if n.members.currentIndex() > n.log.committed || !n.committedInTerm() {
		return ErrMembershipPending
	}
	if err := checkChange(n.members.current(), membership); err != nil {
		return err
	}
	if err := checkWitnesses(n.members.current(), membership); err != nil {
		return err
	}
	if err := n.checkInSyncAfter(membership); err != nil {
		return err
	}
	for _, id := range voters(membership) {
		if isVoter(n.members.current(), id) {
			continue
		}
		p := n.leaderState.progress[id]
		if p.match < n.promotionIndex(p) || !n.active(p) {
			return errors.Wrapf(ErrMembershipInvalid, "member %x is inactive or behind: match index %d, commit index %d",
				id, p.match, n.log.committed)
		}
	}
	return nil
}

// MembershipAt returns the membership in effect at an index, which must not be before
// the snapshot. A snapshot at that index must contain it.
func (n *Node) MembershipAt(index uint64) *rockwindpb.Membership {
	return n.members.at(index)
}

// Status returns the current status of the node.
func (n *Node) Status() Status {
	membership := n.members.current()
	status := Status{
		ID:              n.id,
		Term:            n.term,
		Leader:          n.leader,
		Role:            n.role,
		Commit:          n.log.committed,
		Applied:         n.log.applying,
		LastIndex:       n.log.lastIndex(),
		Voter:           isVoter(membership, n.id),
		Membership:      membership,
		MembershipIndex: n.members.currentIndex(),
		LeaseValid:      n.LeaseValid(),
		HearsLeader:     n.hearsLeader(),
		LeaderCommit:    n.leaderCommit,
		NewestCommit:    n.newestCommit,
		LeaderMessages:  n.leaderMessages,
	}
	if n.awaitsFirstLeader() {
		status.ConfirmedPoll, status.Confirmers = n.confirmedPoll, n.confirmers()
	}
	if n.role != Leader {
		return status
	}
	status.TransferTarget = n.leaderState.transferTarget
	for _, member := range membership.GetMembers() {
		p := n.leaderState.progress[member.GetId()]
		status.Progress = append(status.Progress, ProgressStatus{
			ID:                 member.GetId(),
			Match:              p.match,
			Active:             member.GetId() == n.id || n.active(p),
			Learner:            member.GetLearner(),
			InstallingSnapshot: p.state == installing,
			Witness:            member.GetWitness(),
			InSync:             p.fullVoter && p.sync == inSync,
		})
	}
	return status
}

// Matches reports whether the log has an entry with this index and term. It then equals
// every other log with such an entry up to this index.
func (n *Node) Matches(index, term uint64) bool { return n.log.hasTerm(index, term) }

// Entry returns the entry at an index of the log. It fails with ErrCompacted or
// ErrUnavailable if the log does not contain it.
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

// Err returns the error that halted the node, or nil while it runs. A halted node does
// nothing; the caller should stop the process so that an operator can investigate.
func (n *Node) Err() error {
	return n.halted
}

// halt stops the node permanently.
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

// send queues a message that must wait until the Ready is synced.
func (n *Node) send(message *rockwindpb.Message) {
	message.From = n.id
	if message.Term == 0 {
		message.Term = n.term
	}
	n.messages = append(n.messages, message)
}

// sendBeforeSync queues a message of a leader, which acknowledges nothing on its disk.
func (n *Node) sendBeforeSync(message *rockwindpb.Message) {
	message.From = n.id
	message.Term = n.term
	n.messagesBeforeSync = append(n.messagesBeforeSync, message)
}

// hearsLeader reports whether the replica has heard from the leader of its term within
// an election timeout, or leads with a valid lease.
func (n *Node) hearsLeader() bool {
	if n.role == Leader {
		return n.LeaseValid()
	}
	return n.leader != 0 && n.leaderElapsed < n.config.ElectionTicks
}
