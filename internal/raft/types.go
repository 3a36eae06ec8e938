package raft

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Errors of the core. They are compared with errors.Is.
var (
	// ErrNotLeader is returned by calls that only the leader may serve.
	ErrNotLeader = errors.New("this replica does not lead the group")
	// ErrTransferring is returned for proposals while leadership is being handed over.
	ErrTransferring = errors.New("leadership is being transferred")
	// ErrMembershipPending is returned while an earlier membership change, or the
	// first entry of the leader's term, is not yet committed.
	ErrMembershipPending = errors.New("an earlier membership change or the leader's first entry is not committed yet")
	// ErrMembershipInvalid is returned for a change of more than one voter, a
	// promotion of a member that does not hold the committed log, or a
	// membership without voters.
	ErrMembershipInvalid = errors.New("the membership change is not allowed")
	// ErrCompacted is returned by Storage for entries that a snapshot replaced.
	ErrCompacted = errors.New("the entries were compacted into a snapshot")
	// ErrUnavailable is returned by Storage for entries past its last index.
	ErrUnavailable = errors.New("the entries are not in the log")
	// ErrLogLost is returned by NewNode when the log ends before the stored commit index.
	ErrLogLost = errors.New("the log ends before its commit index: synced entries are missing")
	// ErrInvariant means that a message contradicts committed entries. The node
	// has halted: it sends and hands out nothing any more.
	ErrInvariant = errors.New("a message contradicts committed entries")
	// ErrBadMessage is returned by Step for a message that is not for this node or is malformed.
	ErrBadMessage = errors.New("the message is malformed or not for this replica")
)

// Storage is the read-only view of the persisted log. Only the owner goroutine
// reads it, for indexes whose Ready was advanced; it must allow the caller to
// append later entries at the same time.
type Storage interface {
	// InitialState returns the stored hard state (nil when there is none) and the
	// membership at the snapshot, or the founding membership when there is no
	// snapshot yet. The membership may be nil at a machine that is joining.
	InitialState() (*rockwindpb.HardState, *rockwindpb.Membership, error)
	// Entries returns entries in [low, high), at most maxBytes of data but at
	// least one entry. It fails with ErrCompacted or ErrUnavailable.
	Entries(low, high uint64, maxBytes int) ([]*rockwindpb.Entry, error)
	// Term returns the term of an entry in [FirstIndex-1, LastIndex]; the term of
	// FirstIndex-1 is that of the snapshot, or 0 for index 0.
	Term(index uint64) (uint64, error)
	// FirstIndex is one past the snapshot's index; 1 when there is no snapshot.
	FirstIndex() uint64
	// LastIndex is the index of the last entry, FirstIndex-1 when there is none.
	LastIndex() uint64
	// Snapshot returns the metadata of the newest snapshot, nil when there is none.
	Snapshot() (*rockwindpb.SnapshotMetadata, error)
}

// Config sets up a Node. Time is counted in ticks.
type Config struct {
	// ID identifies this replica's disk. It is never reused.
	ID uint64
	// ElectionTicks is the shortest election timeout; timeouts are drawn from
	// [ElectionTicks, 2*ElectionTicks). A replica that heard a leader refuses to
	// vote for ElectionTicks.
	ElectionTicks int
	// HeartbeatTicks is the interval of the leader's heartbeats.
	HeartbeatTicks int
	// LeaseTicks is how long a read lease lasts after the heartbeat that it rests
	// on was made. It must be below ElectionTicks; the difference is the margin
	// for clocks that run at different speeds.
	LeaseTicks int
	// MaxInflight bounds the unanswered append messages to a member.
	MaxInflight int
	// MaxAppendBytes bounds the entry data in one append message, and the data
	// of the entries in Ready.CommittedEntries.
	MaxAppendBytes int
	// Random draws election timeouts.
	Random *rand.Rand
	// Storage is the persisted log.
	Storage Storage
	// Applied is the last index that the state machine holds.
	Applied uint64
}

// Role is the part that a replica plays in its term.
type Role int

// The roles.
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

// SoftState is what a replica knows but does not store.
type SoftState struct {
	// Leader is the id of the leader of the term, 0 when unknown.
	Leader uint64
	// Role is this replica's role.
	Role Role
}

// ReadState answers a ReadIndex call: the state machine may serve the read
// once it has applied Index. Reads that were not answered when the replica
// stops leading are dropped; the caller fails them when SoftState changes.
type ReadState struct {
	// Context is the number that was given to ReadIndex.
	Context uint64
	// Index must be applied before the read is served.
	Index uint64
}

// Ready holds what the caller must do. See the package comment for the order.
type Ready struct {
	// SoftState is the state at the time of the Ready.
	SoftState SoftState
	// HardState must be stored; nil when unchanged.
	HardState *rockwindpb.HardState
	// Snapshot must be installed, in place of the whole log; nil when there is
	// none. Its data reached this machine before the snapshot message was stepped.
	Snapshot *rockwindpb.SnapshotMetadata
	// Entries must be appended. Stored entries from Entries[0].Index on are
	// replaced.
	Entries []*rockwindpb.Entry
	// MessagesBeforeSync may be sent before the rest of the Ready is synced.
	MessagesBeforeSync []*rockwindpb.Message
	// Messages must be sent only after the rest of the Ready is synced.
	Messages []*rockwindpb.Message
	// CommittedEntries must be applied in order. They are stored here already.
	CommittedEntries []*rockwindpb.Entry
	// ReadStates are reads that may be served once their index is applied.
	ReadStates []ReadState
	// HeartbeatRound is the newest heartbeat round in this Ready's messages or
	// an earlier one, for checking leases by clock; see Node.LeaseRound.
	HeartbeatRound uint64
	// MustSync tells whether Entries, Snapshot or HardState must be synced.
	MustSync bool
}

// ProgressStatus is the leader's view of a member.
type ProgressStatus struct {
	ID uint64
	// Match is the last index that the member is known to have synced.
	Match uint64
	// Active tells whether the member answered within ElectionTicks.
	Active bool
	// Learner tells that the member does not count towards a quorum.
	Learner bool
	// InstallingSnapshot tells that the member waits for a snapshot.
	InstallingSnapshot bool
}

// Status describes a node.
type Status struct {
	ID     uint64
	Term   uint64
	Leader uint64
	Role   Role
	Commit uint64
	// Applied is the last index that was handed out for applying.
	Applied   uint64
	LastIndex uint64
	// Voter tells whether this replica is a voter of Membership.
	Voter bool
	// Membership is the one in effect, which may not be committed yet.
	Membership *rockwindpb.Membership
	// MembershipIndex is the index of the entry that holds Membership.
	MembershipIndex uint64
	// Progress is set at the leader only, one entry a member in the order of
	// Membership.
	Progress []ProgressStatus
	// TransferTarget is the member that leadership is being handed to.
	TransferTarget uint64
	// LeaseValid is Node.LeaseValid.
	LeaseValid bool
	// HearsLeader tells whether this replica has heard from the leader of its term
	// within an election timeout, or leads with a valid lease.
	HearsLeader bool
	// LeaderCommit is what the leader of the term had committed, as this replica knows from
	// its first heartbeat or entries since its start; zero before that. At the leader it is
	// the first entry of its term.
	LeaderCommit uint64
}
