package raft

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Errors returned by this package, to be compared with errors.Is.
var (
	// ErrNotLeader is returned by calls that only the leader can serve.
	ErrNotLeader = errors.New("this replica does not lead the group")
	// ErrTransferring is returned for proposals during a leadership transfer.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrMembershipPending is returned while an earlier membership change, or the
	// first entry of the leader's term, is not yet committed.
	ErrMembershipPending = errors.New("an earlier membership change or the leader's first entry is not committed yet")
	// ErrMembershipInvalid is returned for a change of more than one voter, for the
	// promotion of a member that does not hold all committed entries, or for a
	// membership without voters.
	ErrMembershipInvalid = errors.New("the membership change is not allowed")
	// ErrCompacted is returned by Storage for entries that a snapshot replaced.
	ErrCompacted = errors.New("the entries were compacted into a snapshot")
	// ErrUnavailable is returned by Storage for entries after its last index.
	ErrUnavailable = errors.New("the entries are not in the log")
	// ErrLogLost is returned by NewNode if the log ends before the stored commit index.
	ErrLogLost = errors.New("the log ends before its commit index: synced entries are missing")
	// ErrInvariant is returned if a message contradicts committed entries. The node has
	// halted and returns no more work.
	ErrInvariant = errors.New("a message contradicts committed entries")
	// ErrBadMessage is returned by Step for a message that is malformed or addressed to
	// another replica.
	ErrBadMessage = errors.New("the message is malformed or not for this replica")
)

// Storage is a read-only view of the persisted log. Only the owner goroutine reads it,
// and only entries whose Ready was advanced. It must allow the caller to append later
// entries concurrently.
type Storage interface {
	// InitialState returns the stored hard state, which is nil if there is none, and
	// the membership at the snapshot, or the initial membership if there is no snapshot
	// yet. The membership may be nil on a machine that is joining.
	InitialState() (*rockwindpb.HardState, *rockwindpb.Membership, error)
	// Entries returns the entries in [low, high), limited to maxBytes of data but at
	// least one entry. It fails with ErrCompacted or ErrUnavailable.
	Entries(low, high uint64, maxBytes int) ([]*rockwindpb.Entry, error)
	// Term returns the term of an entry in [FirstIndex-1, LastIndex]. The term of
	// FirstIndex-1 is that of the snapshot, or 0 for index 0.
	Term(index uint64) (uint64, error)
	// FirstIndex returns the index after the snapshot, or 1 if there is no snapshot.
	FirstIndex() uint64
	// LastIndex returns the index of the last entry, or FirstIndex-1 if there is none.
	LastIndex() uint64
	// Snapshot returns the metadata of the newest snapshot, or nil if there is none.
	Snapshot() (*rockwindpb.SnapshotMetadata, error)
}

// Config configures a Node. Durations are in ticks.
type Config struct {
	// ID identifies the disk of this replica. It must never be reused.
	ID uint64
	// ElectionTicks is the shortest election timeout; timeouts are drawn from
	// [ElectionTicks, 2*ElectionTicks). A replica refuses to vote for ElectionTicks
	// after it heard from a leader.
	ElectionTicks int
	// HeartbeatTicks is the interval of the leader's heartbeats.
	HeartbeatTicks int
	// LeaseTicks is the duration of a read lease, counted from the creation of the
	// heartbeat that it is based on. It must be below ElectionTicks; the difference is
	// the allowance for clock drift.
	LeaseTicks int
	// MaxInflight limits the unacknowledged append messages to a member.
	MaxInflight int
	// MaxAppendBytes limits the entry data in one append message, and that of the
	// entries in Ready.CommittedEntries.
	MaxAppendBytes int
	// FirstPoll is the number before that of the first poll. It must be below 1<<63 and be
	// drawn at random at each start, so that replies to polls from before a restart are not
	// counted.
	FirstPoll uint64
	// Random is the source of randomness for election timeouts.
	Random *rand.Rand
	// Storage is the persisted log.
	Storage Storage
	// Applied is the last index that the state machine has applied.
	Applied uint64
}

// Role is the role of a replica in its term.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String implements fmt.Stringer.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// SoftState is the volatile state of a replica.
type SoftState struct {
	// Leader is the ID of the leader of the term, or 0 if it is unknown.
	Leader uint64
	// Role is the role of this replica.
	Role Role
}

// ReadState answers a ReadIndex call: the state machine may serve the read once it has
// applied Index. Pending reads are dropped when the replica stops leading; the caller
// must fail them when SoftState changes.
type ReadState struct {
	// Context is the value that was passed to ReadIndex.
	Context uint64
	// Index must be applied before the read is served.
	Index uint64
}

// Ready contains the work for the caller. See the package documentation for the order.
type Ready struct {
	// SoftState is the state when the Ready was created.
	SoftState SoftState
	// HardState must be stored; nil if it is unchanged.
	HardState *rockwindpb.HardState
	// Snapshot must be installed and replaces the whole log; nil if there is none. Its
	// data was received before the snapshot message was passed to Step.
	Snapshot *rockwindpb.SnapshotMetadata
	// Entries must be appended. They replace stored entries from Entries[0].Index on.
	Entries []*rockwindpb.Entry
	// MessagesBeforeSync may be sent before the rest of the Ready is synced.
	MessagesBeforeSync []*rockwindpb.Message
	// Messages must not be sent before the rest of the Ready is synced.
	Messages []*rockwindpb.Message
	// CommittedEntries must be applied in order. They are already stored locally.
	CommittedEntries []*rockwindpb.Entry
	// ReadStates are reads that may be served once their index is applied.
	ReadStates []ReadState
	// HeartbeatRound is the newest heartbeat round when the Ready was created. The
	// caller uses it to check leases against a clock; see Node.LeaseRound.
	HeartbeatRound uint64
	// Poll is the newest poll when the Ready was created, or 0. Its messages and those of
	// the polls since the previous Ready are in this one. The caller uses it to determine
	// the age of a confirmed state; see Status.ConfirmedPoll.
	Poll uint64
	// MustSync reports whether Entries, Snapshot or HardState must be synced.
	MustSync bool
}

// ProgressStatus is the leader's view of a member.
type ProgressStatus struct {
	ID uint64
	// Match is the last index that the member is known to have synced.
	Match uint64
	// Active reports whether the member was heard from within ElectionTicks.
	Active bool
	// Learner reports whether the member has no vote.
	Learner bool
	// InstallingSnapshot reports whether the member is installing a snapshot.
	InstallingSnapshot bool
	// Witness reports whether the member is a witness.
	Witness bool
	// InSync reports whether the member belongs to the in-sync set. It is only meaningful in groups with
	// witnesses; in others all voters belong to it.
	InSync bool
}

// Status describes a Node.
type Status struct {
	ID     uint64
	Term   uint64
	Leader uint64
	Role   Role
	Commit uint64
	// Applied is the last index that was returned for applying.
	Applied   uint64
	LastIndex uint64
	// Voter reports whether this replica is a voter of Membership.
	Voter bool
	// Membership is the membership in effect, which may not be committed yet.
	Membership *rockwindpb.Membership
	// MembershipIndex is the index of the entry that contains Membership.
	MembershipIndex uint64
	// Progress has one element for each member, in the order of Membership. It is only
	// set on the leader.
	Progress []ProgressStatus
	// TransferTarget is the target of the leadership transfer in progress, or 0.
	TransferTarget uint64
	// LeaseValid is the result of Node.LeaseValid.
	LeaseValid bool
	// HearsLeader reports whether this replica has heard from the leader of its term
	// within an election timeout, or leads with a valid lease.
	HearsLeader bool
	// LeaderCommit is the commit index that the leader of the term had when this replica
	// first heard from it, or 0 before that. On the leader it is the index of the first
	// entry of its term.
	LeaderCommit uint64
	// ConfirmedPoll is nonzero if this replica has neither led nor followed a leader since its
	// start, but a majority of the voters has confirmed that everything that was committed when
	// the poll of this number was sent is committed here, too.
	ConfirmedPoll uint64
	// Confirmers lists the other voters that confirmed it.
	Confirmers []uint64
	// NewestCommit is the highest commit index in the messages that this replica has received from
	// the leader of its term, or 0 before that. Unlike Commit it may be beyond the log of this replica.
	NewestCommit uint64
	// LeaderMessages counts the messages of leaders since the start of this replica.
	LeaderMessages uint64
}
