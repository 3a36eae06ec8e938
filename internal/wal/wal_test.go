package wal_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/wal"
	"rockwind.example/rockwind/internal/wal/faultfs"
)

const (
	folder       = "data"
	groupCount   = 3
	smallSegment = 2000
)

// oracle is the expected state of a group.
type oracle struct {
	hardState *rockwindpb.HardState
	snapshot  *rockwindpb.SnapshotMetadata
	content   []byte
	entries   []*rockwindpb.Entry
}

func (o *oracle) last() uint64 {
	return o.snapshot.GetIndex() + uint64(len(o.entries))
}

func (o *oracle) clone() *oracle {
	copied := *o
	copied.entries = append([]*rockwindpb.Entry(nil), o.entries...)
	return &copied
}

func (o *oracle) apply(update *wal.Update, content []byte) {
	if update.Snapshot != nil {
		o.install(update.Snapshot, content)
	}
	if len(update.Entries) > 0 {
		keep := update.Entries[0].Index - o.snapshot.GetIndex() - 1
		o.entries = append(o.entries[:keep:keep], update.Entries...)
	}
	if update.HardState != nil {
		o.hardState = update.HardState
	}
}

func (o *oracle) install(metadata *rockwindpb.SnapshotMetadata, content []byte) {
	position := metadata.Index - o.snapshot.GetIndex()
	held := position > 0 && position <= uint64(len(o.entries)) && o.entries[position-1].Term == metadata.Term
	if held {
		o.entries = o.entries[position:]
	} else {
		o.entries = nil
	}
	o.snapshot, o.content = metadata, content
}

// checker applies random operations to a log and compares it with the oracles.
type checker struct {
	t      *rapid.T
	disk   *faultfs.Disk
	log    *wal.Log
	groups [groupCount]*oracle
	random *rand.Rand
	term   uint64
	diskID uint64
}

func (c *checker) open() {
	log, err := wal.Open(wal.Options{Folder: folder, FileSystem: c.disk, SegmentBytes: smallSegment, TrailingEntries: 3})
	if err != nil {
		c.t.Fatalf("open: %v", err)
	}
	if c.diskID != 0 && log.DiskID() != c.diskID {
		c.t.Fatalf("identity changed from %x to %x", c.diskID, log.DiskID())
	}
	c.diskID = log.DiskID()
	c.log = log
}

func (c *checker) entries(from uint64) []*rockwindpb.Entry {
	count := rapid.IntRange(1, 5).Draw(c.t, "count")
	entries := make([]*rockwindpb.Entry, count)
	for position := range entries {
		data := make([]byte, rapid.IntRange(0, 700).Draw(c.t, "size"))
		for i := range data {
			data[i] = byte(c.random.UintN(256))
		}
		entries[position] = &rockwindpb.Entry{Term: c.term, Index: from + uint64(position), Kind: rockwindpb.EntryKind_ENTRY_KIND_COMMAND, Data: data}
	}
	return entries
}

// update draws a change to one group and returns it with the content of its snapshot.
func (c *checker) update(group uint32) (*wal.Update, []byte) {
	state := c.groups[group]
	update := &wal.Update{Group: group}
	switch rapid.IntRange(0, 5).Draw(c.t, "action") {
	case 0:
		c.term++
		update.HardState = &rockwindpb.HardState{Term: c.term, Vote: 7, Commit: state.last()}
	case 1:
		if len(state.entries) > 0 {
			c.term++
			position := rapid.IntRange(0, len(state.entries)-1).Draw(c.t, "cut")
			update.Entries = c.entries(state.entries[position].Index)
		}
	case 2:
		if len(state.entries) > 0 {
			last := state.entries[rapid.IntRange(0, len(state.entries)-1).Draw(c.t, "covered")]
			return c.snapshot(update, last.Index, last.Term)
		}
	case 3:
		c.term++
		return c.snapshot(update, state.snapshot.GetIndex()+uint64(rapid.IntRange(1, 20).Draw(c.t, "ahead")), c.term)
	default:
		update.Entries = c.entries(state.last() + 1)
	}
	return update, nil
}

func (c *checker) snapshot(update *wal.Update, index, term uint64) (*wal.Update, []byte) {
	content := []byte(fmt.Sprintf("state of group %d at %d in %d", update.Group, index, term))
	saved, err := c.log.SaveSnapshot(update.Group, &rockwindpb.SnapshotMetadata{Index: index, Term: term}, content)
	if err != nil {
		c.t.Fatalf("save snapshot: %v", err)
	}
	update.Snapshot = saved
	return update, content
}

func (c *checker) write() {
	var updates []wal.Update
	next := c.groups
	for group := range uint32(groupCount) {
		if !rapid.Bool().Draw(c.t, "touched") {
			continue
		}
		update, content := c.update(group)
		updates = append(updates, *update)
		next[group] = c.groups[group].clone()
		next[group].apply(update, content)
	}
	if rapid.IntRange(0, 5).Draw(c.t, "full") == 0 {
		c.disk.SetCapacity(c.disk.Used() + int64(rapid.IntRange(0, 900).Draw(c.t, "room")))
	}
	err := c.log.Write(updates)
	c.disk.SetCapacity(1 << 40)
	if err != nil {
		if !wal.IsDiskFull(err) {
			c.t.Fatalf("write: %v", err)
		}
		c.verify()
		if err := c.log.Write(updates); err != nil {
			c.t.Fatalf("write after space was freed: %v", err)
		}
	}
	c.groups = next
}

// crashAndReopen crashes the process or the machine, possibly during a write, and
// opens the log again. The interrupted write must be applied completely or not at all,
// and what the reopened log returns must survive the next crash.
func (c *checker) crashAndReopen(end func()) {
	if !rapid.Bool().Draw(c.t, "within a write") {
		end()
		c.open()
		return
	}
	before := c.groups
	c.disk.FailSync(true)
	update, content := c.appendUpdate()
	err := c.log.Write([]wal.Update{*update})
	c.disk.FailSync(false)
	empty := update.Snapshot == nil && update.Entries == nil && update.HardState == nil
	if err == nil && !empty {
		c.t.Fatalf("a write with a failed sync was accepted")
	}
	if err != nil && c.log.Write(nil) == nil {
		c.t.Fatalf("the log accepts writes after a failed sync")
	}
	end()
	c.open()
	after := before[update.Group].clone()
	after.apply(update, content)
	if c.holds(update.Group, after) {
		c.groups[update.Group] = after
	}
}

// appendUpdate draws an update that appends entries. It has no snapshot, because
// saving one fails while syncs fail.
func (c *checker) appendUpdate() (*wal.Update, []byte) {
	group := uint32(rapid.IntRange(0, groupCount-1).Draw(c.t, "group"))
	return &wal.Update{Group: group, Entries: c.entries(c.groups[group].last() + 1)}, nil
}

func (c *checker) holds(group uint32, want *oracle) bool {
	return c.difference(group, want) == ""
}

func (c *checker) difference(id uint32, want *oracle) string {
	group := c.log.Group(id)
	if !proto.Equal(group.HardState(), want.hardState) {
		return fmt.Sprintf("hard state %v, want %v", group.HardState(), want.hardState)
	}
	if group.LastIndex() != want.last() {
		return fmt.Sprintf("last index %d, want %d", group.LastIndex(), want.last())
	}
	entries, err := group.Entries(want.snapshot.GetIndex()+1, want.last()+1, 1<<40)
	if err != nil {
		return err.Error()
	}
	for position, entry := range entries {
		if !proto.Equal(entry, want.entries[position]) {
			return fmt.Sprintf("entry %d differs", entry.Index)
		}
	}
	if want.snapshot == nil {
		return ""
	}
	content, err := c.log.LoadSnapshot(id, group.Snapshot())
	if err != nil {
		return err.Error()
	}
	if string(content) != string(want.content) {
		return fmt.Sprintf("snapshot %q, want %q", content, want.content)
	}
	return ""
}

func (c *checker) verify() {
	for group, want := range c.groups {
		if difference := c.difference(uint32(group), want); difference != "" {
			c.t.Fatalf("group %d: %s", group, difference)
		}
	}
}

// TestLogAgainstOracle runs random writes, snapshots, full disks and crashes. After
// each step the log must hold exactly what it acknowledged.
func TestLogAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &checker{t: t, disk: faultfs.New(), term: 1}
		c.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for group := range c.groups {
			c.groups[group] = &oracle{hardState: &rockwindpb.HardState{}}
		}
		c.open()
		t.Repeat(map[string]func(*rapid.T){
			"write":  func(*rapid.T) { c.write() },
			"crash":  func(*rapid.T) { c.crashAndReopen(func() { c.disk.Crash(c.random) }) },
			"kill":   func(*rapid.T) { c.crashAndReopen(c.disk.KillProcess) },
			"":       func(*rapid.T) { c.verify() },
			"write2": func(*rapid.T) { c.write() },
		})
	})
}

// TestFlippedBitIsReported flips single bits of synced files. Open must report the
// corrupt file and a remedy.
func TestFlippedBitIsReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := faultfs.New()
		log, err := wal.Open(wal.Options{Folder: folder, FileSystem: disk})
		if err != nil {
			t.Fatal(err)
		}
		writeSample(t, log)
		paths := disk.Paths()
		path := rapid.SampledFrom(paths).Draw(t, "path")
		content, _ := disk.ReadFile(path)
		disk.FlipBit(path, rapid.Int64Range(0, int64(len(content))*8-1).Draw(t, "bit"))
		_, err = wal.Open(wal.Options{Folder: folder, FileSystem: disk})
		if !fault.Is(err, fault.Corrupt) {
			t.Fatalf("a flipped bit in %s gave %v", path, err)
		}
		if !strings.Contains(err.Error(), path) || fault.From(err).Remedy == "" {
			t.Fatalf("the fault does not name the file and a remedy: %v", err)
		}
	})
}

func writeSample(t *rapid.T, log *wal.Log) {
	metadata, err := log.SaveSnapshot(1, &rockwindpb.SnapshotMetadata{Index: 5, Term: 2}, []byte("state"))
	if err != nil {
		t.Fatal(err)
	}
	updates := []wal.Update{{Group: 1, Snapshot: metadata}}
	for index := uint64(6); index < 12; index++ {
		entry := &rockwindpb.Entry{Index: index, Term: 2, Data: []byte(strings.Repeat("command", 100))}
		updates = append(updates, wal.Update{Group: 1, Entries: []*rockwindpb.Entry{entry}})
		if err := log.Write(updates); err != nil {
			t.Fatal(err)
		}
		updates = nil
	}
}

// TestTrailingEntriesAreBoundedInBytes guards against a few large entries staying in
// memory because only their number is limited.
func TestTrailingEntriesAreBoundedInBytes(t *testing.T) {
	for bytes, first := range map[int64]uint64{0: 3, 250: 9, 300: 8, 10: 11} {
		log, err := wal.Open(wal.Options{Folder: folder, FileSystem: faultfs.New(), TrailingEntries: 8, TrailingBytes: bytes})
		if err != nil {
			t.Fatal(err)
		}
		var entries []*rockwindpb.Entry
		for index := uint64(1); index <= 10; index++ {
			entries = append(entries, &rockwindpb.Entry{Index: index, Term: 1, Data: make([]byte, 100)})
		}
		if err := log.Write([]wal.Update{{Group: 1, Entries: entries}}); err != nil {
			t.Fatal(err)
		}
		metadata, err := log.SaveSnapshot(1, &rockwindpb.SnapshotMetadata{Index: 10, Term: 1}, []byte("state"))
		if err != nil {
			t.Fatal(err)
		}
		if err := log.Write([]wal.Update{{Group: 1, Snapshot: metadata}}); err != nil {
			t.Fatal(err)
		}
		if got := log.Group(1).FirstIndex(); got != first {
			t.Errorf("with %d bytes the first entry is %d, want %d", bytes, got, first)
		}
	}
}

// TestTrailingEntriesFollowTheSnapshot guards against a lower limit that has no effect where TrailingBytes is
// zero, which means no limit, and against one that exceeds TrailingBytes.
func TestTrailingEntriesFollowTheSnapshot(t *testing.T) {
	const snapshotBytes = 2000
	for _, each := range []struct {
		trailing, minimum int64
		first             uint64
	}{{0, 0, 3}, {0, 100, 6}, {0, 700, 4}, {300, 100, 8}, {300, 700, 8}} {
		log, err := wal.Open(wal.Options{
			Folder: folder, FileSystem: faultfs.New(), TrailingEntries: 8, TrailingBytes: each.trailing, MinTrailingBytes: each.minimum,
		})
		if err != nil {
			t.Fatal(err)
		}
		var entries []*rockwindpb.Entry
		for index := uint64(1); index <= 10; index++ {
			entries = append(entries, &rockwindpb.Entry{Index: index, Term: 1, Data: make([]byte, 100)})
		}
		if err := log.Write([]wal.Update{{Group: 1, Entries: entries}}); err != nil {
			t.Fatal(err)
		}
		metadata, err := log.SaveSnapshot(1, &rockwindpb.SnapshotMetadata{Index: 10, Term: 1}, make([]byte, snapshotBytes))
		if err != nil {
			t.Fatal(err)
		}
		if err := log.Write([]wal.Update{{Group: 1, Snapshot: metadata}}); err != nil {
			t.Fatal(err)
		}
		if got := log.Group(1).FirstIndex(); got != each.first {
			t.Errorf("TrailingBytes %d, MinTrailingBytes %d: the first entry is %d, want %d", each.trailing, each.minimum, got, each.first)
		}
	}
}
