package wal

import (
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Errors of reading a group's entries.
var (
	// ErrCompacted: the entries asked for were replaced by a snapshot.
	ErrCompacted = errors.New("log entries were replaced by a snapshot")
	// ErrUnavailable: the entries asked for are not in the log.
	ErrUnavailable = errors.New("log entries are not in the log")
)

// Group is the view of one group in the log, held in memory. It is safe for
// use by many goroutines. The entries that it returns must not be changed.
type Group struct {
	mutex     sync.RWMutex
	hardState *rockwindpb.HardState
	snapshot  *rockwindpb.SnapshotMetadata
	// base is the index before the first entry held, baseTerm its term.
	base     uint64
	baseTerm uint64
	entries  []*rockwindpb.Entry
	// bytes is the size of the entries behind the snapshot.
	bytes int64
}

func newGroup() *Group {
	return &Group{
		hardState: &rockwindpb.HardState{},
		snapshot:  &rockwindpb.SnapshotMetadata{Membership: &rockwindpb.Membership{}},
	}
}

// HardState returns the last synced term, vote and commit index.
func (g *Group) HardState() *rockwindpb.HardState {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return proto.CloneOf(g.hardState)
}

// Snapshot returns the metadata of the newest snapshot, with index 0 when
// there is none.
func (g *Group) Snapshot() *rockwindpb.SnapshotMetadata {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return proto.CloneOf(g.snapshot)
}

// snapshotIndex returns the index of the newest snapshot, 0 where there is none.
func (g *Group) snapshotIndex() uint64 {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return g.snapshot.Index
}

// FirstIndex returns the index of the first entry that can be read.
func (g *Group) FirstIndex() uint64 {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return g.base + 1
}

// LastIndex returns the index of the last entry, or of the snapshot when there
// is none behind it.
func (g *Group) LastIndex() uint64 {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return g.last()
}

func (g *Group) last() uint64 {
	return g.base + uint64(len(g.entries))
}

// Term returns the term of the entry at index. It knows the one before
// FirstIndex too.
func (g *Group) Term(index uint64) (uint64, error) {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return g.term(index)
}

func (g *Group) term(index uint64) (uint64, error) {
	switch {
	case index < g.base:
		return 0, ErrCompacted
	case index == g.base:
		return g.baseTerm, nil
	case index > g.last():
		return 0, ErrUnavailable
	}
	return g.entries[index-g.base-1].Term, nil
}

// holds tells whether the log has the entry that a snapshot ends with.
func (g *Group) holds(metadata *rockwindpb.SnapshotMetadata) bool {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	term, err := g.term(metadata.Index)
	return err == nil && term == metadata.Term
}

// Entries returns the entries from low up to, not including, high: as many as
// fit in maximumBytes, but at least one.
func (g *Group) Entries(low, high, maximumBytes uint64) ([]*rockwindpb.Entry, error) {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	if low <= g.base {
		return nil, ErrCompacted
	}
	if high > g.last()+1 || low > high {
		return nil, ErrUnavailable
	}
	selected := g.entries[low-g.base-1 : high-g.base-1]
	var size uint64
	for position, entry := range selected {
		size += uint64(proto.Size(entry))
		if size > maximumBytes && position > 0 {
			return selected[:position:position], nil
		}
	}
	return selected[:len(selected):len(selected)], nil
}

// BytesSinceSnapshot returns how many bytes of commands stand behind the newest snapshot.
func (g *Group) BytesSinceSnapshot() int64 {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return g.bytes
}

func (g *Group) setHardState(state *rockwindpb.HardState) {
	g.adoptHardState(proto.CloneOf(state))
}

// adoptHardState takes over a message that nobody else changes.
func (g *Group) adoptHardState(state *rockwindpb.HardState) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.hardState = state
}

// truncate removes the entries from index on.
func (g *Group) truncate(index uint64) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if index <= g.snapshot.Index || index > g.last() {
		return errors.Wrapf(errRecord, "truncation at %d outside of %d to %d", index, g.snapshot.Index+1, g.last())
	}
	for _, entry := range g.entries[index-g.base-1:] {
		g.bytes -= int64(len(entry.Data))
	}
	// A new array: readers may hold the old one.
	g.entries = append([]*rockwindpb.Entry(nil), g.entries[:index-g.base-1]...)
	return nil
}

func (g *Group) appendEntries(entries []*rockwindpb.Entry) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, entry := range entries {
		if entry.Index != g.last()+1 {
			return errors.Wrapf(errRecord, "entry %d after entry %d", entry.Index, g.last())
		}
		g.entries = append(g.entries, entry)
		g.bytes += int64(len(entry.Data))
	}
	return nil
}

// keepFrom is the index of the last entry that a snapshot at an index lets go of.
func (g *Group) keepFrom(index, trailing uint64, trailingBytes int64) uint64 {
	least := max(g.base, index-min(trailing, index))
	if trailingBytes == 0 {
		return least
	}
	kept := index
	for size := int64(0); kept > least; kept-- {
		size += int64(len(g.entries[kept-g.base-1].Data))
		if size > trailingBytes {
			break
		}
	}
	return kept
}

// install makes metadata the newest snapshot. When the log holds the entry
// that the snapshot ends with, it keeps what is behind, and up to trailing
// entries before it for replicas that lag, of at most so many bytes where that is not
// zero; otherwise it starts anew. It ignores
// a snapshot that is not newer: one that was taken here may be saved after one
// that came from the leader.
func (g *Group) install(metadata *rockwindpb.SnapshotMetadata, trailing uint64, trailingBytes int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if metadata.Index <= g.snapshot.Index {
		return
	}
	g.snapshot = proto.CloneOf(metadata)
	term, err := g.term(metadata.Index)
	if err != nil || term != metadata.Term {
		g.entries = nil
		g.base, g.baseTerm = metadata.Index, metadata.Term
		g.bytes = 0
		return
	}
	if keepFrom := g.keepFrom(metadata.Index, trailing, trailingBytes); keepFrom > g.base {
		g.baseTerm = g.entries[keepFrom-g.base-1].Term
		g.entries = append([]*rockwindpb.Entry(nil), g.entries[keepFrom-g.base:]...)
		g.base = keepFrom
	}
	g.bytes = 0
	for _, entry := range g.entries[metadata.Index-g.base:] {
		g.bytes += int64(len(entry.Data))
	}
}
