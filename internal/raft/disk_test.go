package raft

import (
	"math/rand/v2"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// disk holds the synced state of one replica. It implements Storage.
type disk struct {
	id                uint64
	hardState         *rockwindpb.HardState
	initialMembership *rockwindpb.Membership
	snapshot          *rockwindpb.SnapshotMetadata
	entries           []*rockwindpb.Entry
}

// InitialState implements Storage.
func (d *disk) InitialState() (*rockwindpb.HardState, *rockwindpb.Membership, error) {
	if d.snapshot != nil {
		return d.hardState, d.snapshot.GetMembership(), nil
	}
	return d.hardState, d.initialMembership, nil
}

// Entries implements Storage.
func (d *disk) Entries(low, high uint64, maxBytes int) ([]*rockwindpb.Entry, error) {
	if low < d.FirstIndex() {
		return nil, ErrCompacted
	}
	if high > d.LastIndex()+1 {
		return nil, ErrUnavailable
	}
	return limitBytes(d.entries[low-d.FirstIndex():high-d.FirstIndex()], maxBytes), nil
}

// Term implements Storage.
func (d *disk) Term(index uint64) (uint64, error) {
	switch {
	case index == d.snapshot.GetIndex():
		return d.snapshot.GetTerm(), nil
	case index < d.FirstIndex():
		return 0, ErrCompacted
	case index > d.LastIndex():
		return 0, ErrUnavailable
	}
	return d.entries[index-d.FirstIndex()].GetTerm(), nil
}

// FirstIndex implements Storage.
func (d *disk) FirstIndex() uint64 { return d.snapshot.GetIndex() + 1 }

// LastIndex implements Storage.
func (d *disk) LastIndex() uint64 { return d.snapshot.GetIndex() + uint64(len(d.entries)) }

// Snapshot implements Storage.
func (d *disk) Snapshot() (*rockwindpb.SnapshotMetadata, error) { return d.snapshot, nil }

// holds reports whether an entry, or a snapshot that contains it, is synced.
func (d *disk) holds(index, term uint64) bool {
	if index <= d.snapshot.GetIndex() {
		return true
	}
	found, err := d.Term(index)
	return err == nil && found == term
}

// store writes a Ready in the documented order, limited to a number of records.
func (d *disk) store(ready *Ready, records int) {
	if ready.Snapshot != nil && records > 0 {
		d.snapshot, d.entries = ready.Snapshot, nil
		records--
	}
	for _, entry := range ready.Entries {
		if records == 0 {
			return
		}
		kept := entry.GetIndex() - d.FirstIndex()
		d.entries = append(d.entries[:kept:kept], entry)
		records--
	}
	if ready.HardState != nil && records > 0 {
		d.hardState = ready.HardState
	}
}

// storePartially writes a part of a Ready, as a crash before its sync would.
func (d *disk) storePartially(ready *Ready, random *rand.Rand) {
	d.store(ready, random.IntN(len(ready.Entries)+2))
}

// compact replaces the log up to an applied index with a snapshot.
func (d *disk) compact(index uint64, membership *rockwindpb.Membership) {
	if index < d.FirstIndex() || index > d.LastIndex() {
		return
	}
	term, _ := d.Term(index)
	d.entries = append([]*rockwindpb.Entry(nil), d.entries[index+1-d.FirstIndex():]...)
	d.snapshot = &rockwindpb.SnapshotMetadata{Index: index, Term: term, Membership: membership}
}
