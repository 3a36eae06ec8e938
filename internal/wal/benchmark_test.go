package wal_test

import (
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal"
)

// Size of the log that is opened: the commands are about those of one completion
// each.
const (
	benchmarkEntries = 20_000
	benchmarkCommand = 90
)

// BenchmarkOpen replays a log of entries that were synced one by one, of which a
// snapshot covers the first two thirds.
func BenchmarkOpen(b *testing.B) {
	folder := b.TempDir()
	log, err := wal.Open(wal.Options{Folder: folder})
	if err != nil {
		b.Fatal(err)
	}
	for index := uint64(1); index <= benchmarkEntries; index++ {
		entry := &rockwindpb.Entry{Term: 1, Index: index, Kind: rockwindpb.EntryKind_ENTRY_KIND_COMMAND, Data: make([]byte, benchmarkCommand)}
		update := wal.Update{Group: 1, Entries: []*rockwindpb.Entry{entry}, HardState: &rockwindpb.HardState{Term: 1, Commit: index - 1}}
		if err := log.Write([]wal.Update{update}); err != nil {
			b.Fatal(err)
		}
	}
	metadata := &rockwindpb.SnapshotMetadata{Index: benchmarkEntries * 2 / 3, Term: 1, Membership: &rockwindpb.Membership{}}
	saved, err := log.SaveSnapshot(1, metadata, make([]byte, benchmarkEntries))
	if err != nil {
		b.Fatal(err)
	}
	if err := log.Write([]wal.Update{{Group: 1, Snapshot: saved}}); err != nil {
		b.Fatal(err)
	}
	if err := log.Close(); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		opened, err := wal.Open(wal.Options{Folder: folder})
		if err != nil {
			b.Fatal(err)
		}
		if err := opened.Close(); err != nil {
			b.Fatal(err)
		}
	}
}
