package raft

import (
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// entryOverhead is the number of bytes added to the data size of an entry when the size
// of a message is limited.
const entryOverhead = 16

// entryLog combines the persisted log with the entries that are not persisted yet.
type entryLog struct {
	storage Storage
	// snapshot is the snapshot that is to be installed, or nil.
	snapshot *rockwindpb.SnapshotMetadata
	// unstable holds the entries that are not persisted yet, from index offset on.
	unstable []*rockwindpb.Entry
	offset   uint64
	// committed is the commit index.
	committed uint64
	// applying is the last index that was returned for applying.
	applying uint64
}

func newEntryLog(storage Storage, commit, applied uint64) *entryLog {
	return &entryLog{
		storage:   storage,
		offset:    storage.LastIndex() + 1,
		committed: max(commit, applied, storage.FirstIndex()-1),
		applying:  max(applied, storage.FirstIndex()-1),
	}
}

func (l *entryLog) lastIndex() uint64 {
	return l.offset + uint64(len(l.unstable)) - 1
}

func (l *entryLog) firstIndex() uint64 {
	if l.snapshot != nil {
		return l.snapshot.GetIndex() + 1
	}
	return l.storage.FirstIndex()
}

// persisted returns the last index that is known to be synced locally.
func (l *entryLog) persisted() uint64 {
	if l.snapshot != nil {
		return 0
	}
	return l.offset - 1
}

func (l *entryLog) term(index uint64) (uint64, error) {
	switch {
	case index == 0:
		return 0, nil
	case index > l.lastIndex():
		return 0, ErrUnavailable
	case index >= l.offset:
		return l.unstable[index-l.offset].GetTerm(), nil
	case l.snapshot != nil && index == l.snapshot.GetIndex():
		return l.snapshot.GetTerm(), nil
	case l.snapshot != nil:
		return 0, ErrCompacted
	}
	return l.storage.Term(index)
}

// hasTerm reports whether the log has an entry with this index and term.
func (l *entryLog) hasTerm(index, term uint64) bool {
	found, err := l.term(index)
	return err == nil && found == term
}

func (l *entryLog) lastTerm() (uint64, error) {
	return l.term(l.lastIndex())
}

// entries returns the entries in [low, high), limited to maxBytes but at least one.
func (l *entryLog) entries(low, high uint64, maxBytes int) ([]*rockwindpb.Entry, error) {
	if low >= high {
		return nil, nil
	}
	if low < l.firstIndex() {
		return nil, ErrCompacted
	}
	var result []*rockwindpb.Entry
	if low < l.offset {
		stored, err := l.storage.Entries(low, min(high, l.offset), maxBytes)
		if err != nil {
			return nil, err
		}
		if uint64(len(stored)) < min(high, l.offset)-low {
			return stored, nil
		}
		result = append(result, stored...)
	}
	if high > l.offset {
		result = append(result, l.unstable[max(low, l.offset)-l.offset:high-l.offset]...)
	}
	return limitBytes(result, maxBytes), nil
}

func limitBytes(entries []*rockwindpb.Entry, maxBytes int) []*rockwindpb.Entry {
	total := 0
	for i, entry := range entries {
		total += len(entry.GetData()) + entryOverhead
		if total > maxBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// append adds entries to the end of the log.
func (l *entryLog) append(entries ...*rockwindpb.Entry) {
	l.unstable = append(l.unstable, entries...)
}

// firstConflict returns the position of the first entry that the log does not contain.
func (l *entryLog) firstConflict(entries []*rockwindpb.Entry) int {
	for i, entry := range entries {
		if !l.hasTerm(entry.GetIndex(), entry.GetTerm()) {
			return i
		}
	}
	return len(entries)
}

// replace removes the log's entries from the index of the first entry on, and appends
// the given ones.
func (l *entryLog) replace(entries []*rockwindpb.Entry) error {
	from := entries[0].GetIndex()
	if from <= l.committed {
		return errors.Wrapf(ErrInvariant, "entry %d would replace committed entries up to %d", from, l.committed)
	}
	if from <= l.offset {
		l.offset = from
		l.unstable = append([]*rockwindpb.Entry(nil), entries...)
		return nil
	}
	kept := l.unstable[: from-l.offset : from-l.offset]
	l.unstable = append(kept, entries...)
	return nil
}

// restore replaces the whole log with a snapshot.
func (l *entryLog) restore(snapshot *rockwindpb.SnapshotMetadata) {
	l.snapshot = snapshot
	l.unstable = nil
	l.offset = snapshot.GetIndex() + 1
	l.committed = snapshot.GetIndex()
	l.applying = snapshot.GetIndex()
}

// advance records that the entries and the snapshot of a Ready are synced.
func (l *entryLog) advance(entries []*rockwindpb.Entry, snapshot *rockwindpb.SnapshotMetadata) {
	if snapshot != nil && l.snapshot == snapshot {
		l.snapshot = nil
	}
	if len(entries) == 0 {
		return
	}
	last := entries[len(entries)-1]
	if last.GetIndex() < l.offset || last.GetIndex() > l.lastIndex() {
		return
	}
	if l.unstable[last.GetIndex()-l.offset] != last {
		return
	}
	l.unstable = append([]*rockwindpb.Entry(nil), l.unstable[last.GetIndex()+1-l.offset:]...)
	l.offset = last.GetIndex() + 1
}

// applicable returns the last index that may be returned for applying.
func (l *entryLog) applicable() uint64 {
	return min(l.committed, l.persisted())
}

// conflictHint returns the last position up to index whose term is at most term, and its
// term. No later entry can match a log that has term at index.
func (l *entryLog) conflictHint(index, term uint64) (uint64, uint64) {
	for ; index > 0; index-- {
		found, err := l.term(index)
		if err != nil {
			return index, 0
		}
		if found <= term {
			return index, found
		}
	}
	return 0, 0
}
