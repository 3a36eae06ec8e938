// Package replica runs replicated groups: it drives the pure consensus core of
// package raft with a log on disk, a transport and a clock, and applies
// committed commands to a state machine on one goroutine that owns its state.
package replica

import (
	"context"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// StateMachine is the state that a group replicates. Only the group's owner
// goroutine calls it, so it needs no locks.
type StateMachine interface {
	// Apply executes a committed command and returns its result, which is handed
	// to the proposer on the replica that proposed it. It must depend only on
	// the state and the command: replicas apply alike.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state in a form that Restore reads.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Publisher is a StateMachine that shows its state to other goroutines. Publish is called
// after a batch of commands was applied, before their proposers are answered. A replica that
// starts applies thousands at once.
type Publisher interface {
	Publish()
}

// Group is one replicated group as the services see it.
type Group interface {
	// Propose replicates a command and returns the result of Apply once the
	// command is committed, synced on a quorum and applied here. It fails with
	// fault.NotLeader (which names the leader where it is known), or with
	// fault.OutcomeUnknown where the command may still be committed later.
	Propose(ctx context.Context, command []byte) (any, error)
	// Read runs view on the owner goroutine once this replica has proved that it
	// is the leader and has applied everything that was committed before the
	// call. It fails with fault.NotLeader elsewhere.
	Read(ctx context.Context, view func()) error
	// ReadLocal runs view on the owner goroutine with the state as applied here,
	// which may be old.
	ReadLocal(ctx context.Context, view func()) error
	// Leading tells whether this replica holds a valid leader lease now, and the
	// term in which it leads.
	Leading() (term uint64, leading bool)
	// Status describes the group as this replica knows it.
	Status() *rockwindpb.GroupStatus
	// Applied returns a channel that is closed when the applied index moves past
	// the one at the time of the call.
	Applied() <-chan struct{}
}
