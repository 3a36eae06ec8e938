package wal_test

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal"
	"rockwind.example/rockwind/internal/wal/faultfs"
)

// TestLargeEntriesAreWrittenWhole guards against large entries, which are written in several parts, that differ
// after a restart, that stay partly in the log when the disk is full, or that change the entries beside them.
func TestLargeEntriesAreWrittenWhole(t *testing.T) {
	disk := faultfs.New()
	open := func() *wal.Log {
		log, err := wal.Open(wal.Options{Folder: folder, FileSystem: disk})
		if err != nil {
			t.Fatal(err)
		}
		return log
	}
	random := rand.NewChaCha8([32]byte{1})
	var written []*rockwindpb.Entry
	for position, size := range []int{10, 100 << 10, 0, 64 << 10, 1 << 20, 64<<10 - 1, 300 << 10} {
		data := make([]byte, size)
		_, _ = random.Read(data)
		written = append(written, &rockwindpb.Entry{Term: 1, Index: uint64(position) + 1, Kind: rockwindpb.EntryKind_ENTRY_KIND_COMMAND, Data: data})
	}
	log := open()
	check := func(what string, wanted []*rockwindpb.Entry) {
		t.Helper()
		for round := range 2 {
			if last := log.Group(1).LastIndex(); last != uint64(len(wanted)) {
				t.Fatalf("%s, round %d: the last entry is %d, want %d", what, round, last, len(wanted))
			}
			held, err := log.Group(1).Entries(1, uint64(len(wanted))+1, 1<<40)
			if err != nil {
				t.Fatal(err)
			}
			for position := range wanted {
				if !proto.Equal(held[position], wanted[position]) {
					t.Errorf("%s, round %d: entry %d differs", what, round, position+1)
				}
			}
			disk.Crash(rand.New(random))
			log = open()
		}
	}
	hardState := &rockwindpb.HardState{Term: 1, Vote: 3}
	if err := log.Write([]wal.Update{{Group: 1, Entries: written[:3], HardState: hardState}, {Group: 2, Entries: written[:1]}}); err != nil {
		t.Fatal(err)
	}
	check("after a restart", written[:3])
	if !proto.Equal(log.Group(1).HardState(), hardState) || !bytes.Equal(entryOf(t, log, 2, 1), written[0].GetData()) {
		t.Error("what was written beside a large entry differs")
	}
	// The first parts of the frame fit on the disk.
	disk.SetCapacity(disk.Used() + 200<<10)
	if err := log.Write([]wal.Update{{Group: 1, Entries: written[3:5]}}); !wal.IsDiskFull(err) {
		t.Fatalf("write to a full disk: %v", err)
	}
	disk.SetCapacity(1 << 40)
	if err := log.Write([]wal.Update{{Group: 1, Entries: written[3:]}}); err != nil {
		t.Fatal(err)
	}
	check("after a full disk", written)
}

func entryOf(t *testing.T, log *wal.Log, group uint32, index uint64) []byte {
	t.Helper()
	entries, err := log.Group(group).Entries(index, index+1, 1<<40)
	if err != nil {
		t.Fatal(err)
	}
	return entries[0].GetData()
}
