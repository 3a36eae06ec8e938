// Package wal is the durable memory of a control process: one checksummed
// write-ahead log that all replicated groups share, so that one sync serves
// many groups, and snapshot files that let old segments of the log go.
//
// A log that was torn by a crash is cut at the tear. Bytes that changed after
// they were synced are a fault.Corrupt that names the file, the offset and the
// remedy; the log never drops them in silence. After a failed sync the log
// refuses everything, because it cannot know what reached the disk.
package wal

import (
	"path/filepath"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// defaultSegmentBytes bounds what a restart reads beside the entries behind
	// the newest snapshots.
	defaultSegmentBytes    = 4 << 20
	defaultTrailingEntries = 2048
)

// Options configure a Log.
type Options struct {
	// Folder holds the log. It is created when missing.
	Folder string
	// FileSystem is the disk; nil means OperatingSystem.
	FileSystem FileSystem
	// SegmentBytes is the size at which a new segment is started; zero means 4 MiB.
	SegmentBytes int64
	// TrailingEntries is how many entries before a snapshot stay in memory for
	// replicas that lag a little; zero means 2048.
	TrailingEntries uint64
	// TrailingBytes bounds the bytes of those entries; zero means no bound.
	TrailingBytes int64
}

// Update is what one group makes durable.
type Update struct {
	// Group is the group's number.
	Group uint32
	// HardState replaces the old one; nil leaves it.
	HardState *rockwindpb.HardState
	// Snapshot names a saved snapshot that replaces the entries up to its
	// index; nil means none. It takes effect before Entries.
	Snapshot *rockwindpb.SnapshotMetadata
	// Entries follow the group's last entry, or replace the entries from the
	// index of the first one on.
	Entries []*rockwindpb.Entry
}

// Log is the write-ahead log. Write and Close belong to one goroutine; the
// other methods are safe for all.
type Log struct {
	options  Options
	identity uint64
	// fresh tells that there was no log when this one was opened.
	fresh bool

	mutex  sync.RWMutex
	groups map[uint32]*Group

	// Fields of the writing goroutine.
	segments []*segment
	file     File
	size     int64
	failed   error
}

// Open reads the log in options.Folder, cuts a torn tail and starts a new
// segment. It returns a fault.Corrupt when bytes changed on disk.
func Open(options Options) (*Log, error) {
	l := &Log{options: withDefaults(options), groups: map[uint32]*Group{}}
	if err := l.prepareFolders(); err != nil {
		return nil, diskFault(err, "prepare data folder")
	}
	identity, err := loadIdentity(l.options.FileSystem, l.options.Folder)
	if err != nil {
		return nil, err
	}
	l.identity = identity
	if err := l.replay(); err != nil {
		return nil, err
	}
	l.fresh = len(l.segments) == 0
	if err := l.verifySnapshots(); err != nil {
		return nil, err
	}
	if err := l.startSegment(); err != nil {
		return nil, err
	}
	return l, nil
}

func withDefaults(options Options) Options {
	if options.FileSystem == nil {
		options.FileSystem = OSFileSystem{}
	}
	if options.SegmentBytes == 0 {
		options.SegmentBytes = defaultSegmentBytes
	}
	if options.TrailingEntries == 0 {
		options.TrailingEntries = defaultTrailingEntries
	}
	return options
}

func (l *Log) prepareFolders() error {
	fileSystem := l.options.FileSystem
	for _, folder := range []string{segmentFolder, snapshotFolder} {
		path := filepath.Join(l.options.Folder, folder)
		if err := fileSystem.MakeFolder(path); err != nil {
			return err
		}
		if err := removeTemporaries(fileSystem, path); err != nil {
			return err
		}
	}
	if err := fileSystem.SyncFolder(filepath.Dir(l.options.Folder)); err != nil {
		return err
	}
	return fileSystem.SyncFolder(l.options.Folder)
}

func (l *Log) verifySnapshots() error {
	for id, group := range l.groups {
		metadata := group.Snapshot()
		if metadata.Index == 0 {
			continue
		}
		if _, err := l.LoadSnapshot(id, metadata); err != nil {
			return err
		}
	}
	return nil
}

// DiskID is the identity of the disk, never zero.
func (l *Log) DiskID() uint64 {
	return l.identity
}

// Fresh tells whether the disk held no log before Open. A machine that belongs
// to a cluster and finds no log has lost its votes.
func (l *Log) Fresh() bool {
	return l.fresh
}

// Group returns the view of a group; it is empty for a group without records.
func (l *Log) Group(id uint32) *Group {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	group, found := l.groups[id]
	if !found {
		group = newGroup()
		l.groups[id] = group
	}
	return group
}

// Groups returns the numbers of the groups that have records, sorted.
func (l *Log) Groups() []uint32 {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	ids := make([]uint32, 0, len(l.groups))
	for id, group := range l.groups {
		if group.LastIndex() > 0 || group.HardState().Term > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Write makes updates durable with one sync, and then visible in the groups'
// views. A fault.Overloaded means that the disk is full: nothing was changed,
// and the same updates may be written again once there is room. Any other
// error is final: the log refuses every later call.
func (l *Log) Write(updates []Update) error {
	if l.failed != nil {
		return l.failed
	}
	payload, err := l.encode(updates)
	if err != nil {
		return l.fail(err)
	}
	if len(payload) == 0 {
		return nil
	}
	if l.size >= l.options.SegmentBytes {
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	if err := l.appendPayload(payload); err != nil {
		return err
	}
	for position := range updates {
		if err := l.apply(&updates[position]); err != nil {
			return l.fail(err)
		}
	}
	return l.removeSegments()
}

// Err returns the error after which the log refuses everything, or nil. It
// belongs to the writing goroutine.
func (l *Log) Err() error {
	return l.failed
}

// Close closes the open segment. What Write accepted is durable without it.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	file := l.file
	l.file = nil
	l.failed = errors.New("log is closed")
	return file.Close()
}

func (l *Log) fail(err error) error {
	if l.failed == nil {
		l.failed = err
	}
	return l.failed
}

func (l *Log) encode(updates []Update) ([]byte, error) {
	var payload []byte
	for position := range updates {
		var err error
		if payload, err = l.encodeUpdate(payload, &updates[position]); err != nil {
			return nil, err
		}
	}
	if len(payload) > MaximumFrameBytes {
		return nil, errors.Newf("a write of %d bytes exceeds the largest frame", len(payload))
	}
	return payload, nil
}

func (l *Log) encodeUpdate(payload []byte, update *Update) ([]byte, error) {
	var err error
	if update.Snapshot != nil {
		payload = l.encodeReset(payload, update)
		if payload, err = appendMessage(payload, recordSnapshot, update.Group, update.Snapshot); err != nil {
			return nil, err
		}
	}
	if len(update.Entries) > 0 {
		if first := update.Entries[0].Index; first <= l.lastAfter(update) {
			payload = appendNumber(payload, recordTruncation, update.Group, first)
		}
	}
	for _, entry := range update.Entries {
		if payload, err = appendMessage(payload, recordEntry, update.Group, entry); err != nil {
			return nil, err
		}
	}
	if update.HardState == nil {
		return payload, nil
	}
	return appendMessage(payload, recordHardState, update.Group, update.HardState)
}

// lastAfter is the last index of the group once the update's snapshot is in.
func (l *Log) lastAfter(update *Update) uint64 {
	group := l.Group(update.Group)
	if update.Snapshot != nil && update.Snapshot.Index > group.Snapshot().Index && !group.holds(update.Snapshot) {
		return update.Snapshot.Index
	}
	return group.LastIndex()
}

// encodeReset says that a snapshot drops the entries of the log where it does
// not continue them.
func (l *Log) encodeReset(payload []byte, update *Update) []byte {
	group := l.Group(update.Group)
	first := group.Snapshot().Index + 1
	if update.Snapshot.Index < first {
		return payload
	}
	if group.holds(update.Snapshot) || first > group.LastIndex() {
		return payload
	}
	return appendNumber(payload, recordTruncation, update.Group, first)
}

// apply brings a durable update into the group's view.
func (l *Log) apply(update *Update) error {
	group := l.Group(update.Group)
	if update.Snapshot != nil {
		if err := l.applySnapshot(update.Group, group, update.Snapshot); err != nil {
			return err
		}
	}
	if len(update.Entries) > 0 {
		if err := l.applyEntries(update.Group, group, update.Entries); err != nil {
			return err
		}
	}
	if update.HardState != nil {
		group.setHardState(update.HardState)
	}
	return nil
}

func (l *Log) applySnapshot(id uint32, group *Group, metadata *rockwindpb.SnapshotMetadata) error {
	group.install(metadata, l.options.TrailingEntries, l.options.TrailingBytes)
	return l.removeOldSnapshots(id, group.Snapshot())
}

func (l *Log) applyEntries(id uint32, group *Group, entries []*rockwindpb.Entry) error {
	if first := entries[0].Index; first <= group.LastIndex() {
		if err := group.truncate(first); err != nil {
			return err
		}
	}
	current := l.segments[len(l.segments)-1]
	current.note(id, entries[len(entries)-1].Index)
	return group.appendEntries(entries)
}

// checkpoint encodes what a new segment needs to stand without the segments
// before it, but for the entries behind the snapshots.
func (l *Log) checkpoint() ([]byte, error) {
	payload := appendNumber(nil, recordSegment, 0, l.identity)
	for _, id := range l.Groups() {
		group := l.Group(id)
		var err error
		if metadata := group.Snapshot(); metadata.Index > 0 {
			if payload, err = appendMessage(payload, recordSnapshot, id, metadata); err != nil {
				return nil, err
			}
		}
		if payload, err = appendMessage(payload, recordHardState, id, proto.CloneOf(group.HardState())); err != nil {
			return nil, err
		}
	}
	return payload, nil
}
