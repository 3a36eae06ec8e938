package wal

import (
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Errors returned when the entries of a group are read.
var (
	// ErrCompacted: the requested entries were replaced by a snapshot.
	ErrCompacted = errors.New("log entries were replaced by a snapshot")
	// ErrUnavailable: the requested entries are not in the log.
	ErrUnavailable = errors.New("log entries are not in the log")
)

// Group is the in-memory view of one group in the log. It is safe for concurrent
// use. The entries that it returns must not be modified.
type Group struct {
	mutex     sync.RWMutex
	hardState *rockwindpb.HardState
	snapshot  *rockwindpb.SnapshotMetadata
	// base is the index of the entry before the first one in entries, and baseTerm is
	// its term.
	base     uint64
	baseTerm uint64
	entries  []*rockwindpb.Entry
	// bytesSinceSnapshot is the size of the commands after the newest snapshot.
	bytesSinceSnapshot int64
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

// Snapshot returns the metadata of the newest snapshot. Its index is 0 if there is
// no snapshot.
func (g *Group) Snapshot() *rockwindpb.SnapshotMetadata {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return proto.CloneOf(g.snapshot)
}

// snapshotIndex returns the index of the newest snapshot, or 0 if there is none.
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

// LastIndex returns the index of the last entry, or that of the snapshot if no
// entries follow it.
func (g *Group) LastIndex() uint64 {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return g.last()
}

func (g *Group) last() uint64 {
	return g.base + uint64(len(g.entries))
}

// Term returns the term of the entry at index. The entry before FirstIndex is
// allowed, too.
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

// holds reports whether the log contains the last entry that a snapshot covers.
func (g *Group) holds(metadata *rockwindpb.SnapshotMetadata) bool {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	term, err := g.term(metadata.Index)
	return err == nil && term == metadata.Term
}

// Entries returns the entries in [low, high), limited to maximumBytes but at least
// one entry.
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

// BytesSinceSnapshot returns the size of the commands after the newest snapshot.
func (g *Group) BytesSinceSnapshot() int64 {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return g.bytesSinceSnapshot
}

// HeldBytes returns the size of the commands in memory.
func (g *Group) HeldBytes() int64 {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	held := int64(0)
	for _, entry := range g.entries {
		held += int64(len(entry.Data))
	}
	return held
}

// SnapshotBytes returns the size of the newest snapshot.
func (g *Group) SnapshotBytes() int64 {
	g.mutex.RLock()
	defer g.mutex.RUnlock()
	return int64(g.snapshot.Size)
}

func (g *Group) setHardState(state *rockwindpb.HardState) {
	g.adoptHardState(proto.CloneOf(state))
}

// adoptHardState sets the hard state without a copy. The caller must not modify
// state afterwards.
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
		return errors.Wrapf(errMalformedRecord, "truncation at index %d is outside of %d to %d", index, g.snapshot.Index+1, g.last())
	}
	for _, entry := range g.entries[index-g.base-1:] {
		g.bytesSinceSnapshot -= int64(len(entry.Data))
	}
	// Readers may still use the old array, so it is copied.
	g.entries = append([]*rockwindpb.Entry(nil), g.entries[:index-g.base-1]...)
	return nil
}

func (g *Group) appendEntries(entries []*rockwindpb.Entry) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, entry := range entries {
		if entry.Index != g.last()+1 {
			return errors.Wrapf(errMalformedRecord, "entry %d follows entry %d", entry.Index, g.last())
		}
		g.entries = append(g.entries, entry)
		g.bytesSinceSnapshot += int64(len(entry.Data))
	}
	return nil
}

// lastDropped returns the index of the last entry to drop from memory when a snapshot
// at index is installed. It retains up to trailing entries before the snapshot, of at
// most trailingBytes unless that is zero.
func (g *Group) lastDropped(index, trailing uint64, trailingBytes int64) uint64 {
	lowest := max(g.base, index-min(trailing, index))
	if trailingBytes == 0 {
		return lowest
	}
	dropped := index
	for size := int64(0); dropped > lowest; dropped-- {
		size += int64(len(g.entries[dropped-g.base-1].Data))
		if size > trailingBytes {
			break
		}
	}
	return dropped
}

// install makes metadata the newest snapshot. If the log contains the last entry that
// the snapshot covers, the entries after it are kept, and for lagging replicas also
// some entries before it; see lastDropped. Otherwise all entries are dropped.
//
// A snapshot that is not newer than the current one is ignored: a local snapshot may
// be saved after a newer one arrived from the leader.
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
		g.bytesSinceSnapshot = 0
		return
	}
	if lastDropped := g.lastDropped(metadata.Index, trailing, trailingBytes); lastDropped > g.base {
		g.baseTerm = g.entries[lastDropped-g.base-1].Term
		g.entries = append([]*rockwindpb.Entry(nil), g.entries[lastDropped-g.base:]...)
		g.base = lastDropped
	}
	g.bytesSinceSnapshot = 0
	for _, entry := range g.entries[metadata.Index-g.base:] {
		g.bytesSinceSnapshot += int64(len(entry.Data))
	}
}
