package replica

import (
	"math"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/raft"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal"
)

// storage adapts a group of the log to raft.Storage.
type storage struct {
	group *wal.Group
	// founding is the membership before the first snapshot.
	founding *rockwindpb.Membership
}

var _ raft.Storage = (*storage)(nil)

// InitialState implements raft.Storage.
func (s *storage) InitialState() (*rockwindpb.HardState, *rockwindpb.Membership, error) {
	if metadata := s.group.Snapshot(); metadata.GetIndex() > 0 {
		return s.group.HardState(), metadata.GetMembership(), nil
	}
	return s.group.HardState(), s.founding, nil
}

// Entries implements raft.Storage.
func (s *storage) Entries(low, high uint64, maxBytes int) ([]*rockwindpb.Entry, error) {
	entries, err := s.group.Entries(low, high, uint64(min(max(maxBytes, 0), math.MaxInt)))
	return entries, raftError(err)
}

// Term implements raft.Storage.
func (s *storage) Term(index uint64) (uint64, error) {
	term, err := s.group.Term(index)
	return term, raftError(err)
}

// FirstIndex implements raft.Storage.
func (s *storage) FirstIndex() uint64 {
	return s.group.FirstIndex()
}

// LastIndex implements raft.Storage.
func (s *storage) LastIndex() uint64 {
	return s.group.LastIndex()
}

// Snapshot implements raft.Storage.
func (s *storage) Snapshot() (*rockwindpb.SnapshotMetadata, error) {
	metadata := s.group.Snapshot()
	if metadata.GetIndex() == 0 {
		return nil, nil
	}
	return metadata, nil
}

func raftError(err error) error {
	switch {
	case errors.Is(err, wal.ErrCompacted):
		return raft.ErrCompacted
	case errors.Is(err, wal.ErrUnavailable):
		return raft.ErrUnavailable
	}
	return err
}
