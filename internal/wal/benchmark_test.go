package wal_test

import (
	"testing"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal"
)

// The number of entries in the log and the size of their commands, which is about
// that of a command that completes one request.
const (
	benchmarkEntries      = 20_000
	benchmarkCommandBytes = 90
)

// BenchmarkOpen replays a log whose entries were synced one by one. A snapshot covers
// the first two thirds of them.
func BenchmarkOpen(b *testing.B) {
	folder := b.TempDir()
	log, err := wal.Open(wal.Options{Folder: folder})
	if err != nil {
		b.Fatal(err)
	}
	for index := uint64(1); index <= benchmarkEntries; index++ {
		entry := &rockwindpb.Entry{Term: 1, Index: index, Kind: rockwindpb.EntryKind_ENTRY_KIND_COMMAND, Data: make([]byte, benchmarkCommandBytes)}
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
