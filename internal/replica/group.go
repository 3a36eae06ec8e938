// Package replica runs replicated groups. It drives the Raft node of package
// raft with a write-ahead log, a transport and a clock, and applies committed
// commands to a state machine that a single goroutine owns.
package replica

import (
	"context"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// StateMachine is the state that a group replicates. Only the group's owner
// goroutine calls it, so it needs no locks.
type StateMachine interface {
	// Apply executes a committed command and returns its result, which is passed
	// to the proposer on the replica that proposed it. It must be deterministic:
	// the result depends only on the state and the command.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state in a form that Restore reads.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Publisher is a StateMachine that publishes its state to other goroutines.
// Publish is called after each batch of commands, before their proposers get
// their results. During a restart one batch may hold thousands of commands.
type Publisher interface {
	Publish()
}

// Group is one replicated group.
type Group interface {
	// Propose replicates a command and returns the result of Apply once the
	// command is committed, synced on a quorum and applied here. It fails with
	// fault.NotLeader, which names the leader if it is known, or with
	// fault.OutcomeUnknown if the command may still be committed later.
	Propose(ctx context.Context, command []byte) (any, error)
	// AwaitSynced waits until all voters that the leader is in contact with have
	// synced everything that was committed before the call, and returns nil. It fails
	// on other replicas, if leadership is lost, and if the context ends.
	AwaitSynced(ctx context.Context) error
	// Read runs view on the owner goroutine once this replica has confirmed that
	// it is the leader and has applied everything that was committed before the
	// call. It fails with fault.NotLeader on other replicas.
	Read(ctx context.Context, view func()) error
	// ReadLocal runs view on the owner goroutine with the locally applied state,
	// which may be stale.
	ReadLocal(ctx context.Context, view func()) error
	// Leading reports whether this replica holds a valid leader lease, and the
	// term in which it leads.
	Leading() (term uint64, leading bool)
	// Following reports whether this replica knows another one as the leader of its term.
	Following() bool
	// Status describes the group as this replica sees it.
	Status() *rockwindpb.GroupStatus
	// Applied returns a channel that is closed when the applied index moves past
	// its value at the time of the call.
	Applied() <-chan struct{}
}
