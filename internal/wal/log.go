// Package wal stores the replicated groups of a control process: one checksummed
// write-ahead log that all groups share, so that one sync serves many groups, and
// snapshot files that allow old segments of the log to be deleted.
//
// A torn write at the end of the log is truncated. Bytes that changed after they were
// synced are reported as a fault.Corrupt with the file, the offset and a remedy, and
// are never dropped silently. After a failed sync the log rejects all writes, because
// it cannot know what reached the disk.
package wal

import (
	"path/filepath"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/protobytes"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// defaultSegmentBytes limits what a restart reads in addition to the entries after
	// the newest snapshots.
	defaultSegmentBytes    = 4 << 20
	defaultTrailingEntries = 2048
)

// Options configures a Log.
type Options struct {
	// Folder holds the log. It is created if it does not exist.
	Folder string
	// FileSystem stores the files; nil means OSFileSystem.
	FileSystem FileSystem
	// SegmentBytes is the size at which a new segment is started; zero means 4 MiB.
	SegmentBytes int64
	// TrailingEntries is the number of entries before a snapshot that stay in memory
	// for lagging replicas; zero means 2048.
	TrailingEntries uint64
	// TrailingBytes limits the size of the trailing entries; zero means no limit.
	TrailingBytes int64
	// MinTrailingBytes, if it is not zero, lowers the limit of the trailing entries to a quarter of the
	// snapshot, but not below MinTrailingBytes: a replica that lacks more gets the snapshot instead.
	MinTrailingBytes int64
}

// Update is a set of changes to one group that become durable together.
type Update struct {
	// Group is the ID of the group.
	Group uint32
	// HardState replaces the current one; nil leaves it unchanged.
	HardState *rockwindpb.HardState
	// Snapshot identifies a saved snapshot that replaces the entries up to its index;
	// nil means none. It takes effect before Entries.
	Snapshot *rockwindpb.SnapshotMetadata
	// Entries are appended to the group's log. If the first one has the index of an
	// existing entry, they replace the entries from that index on.
	Entries []*rockwindpb.Entry
}

// Log is a write-ahead log. Write, Err, PinningGroups and Close must be called from
// one goroutine; the other methods are safe for concurrent use.
type Log struct {
	options  Options
	identity uint64
	// fresh reports whether the disk held no log before Open.
	fresh bool

	mutex  sync.RWMutex
	groups map[uint32]*Group

	// The following fields belong to the goroutine that writes.
	segments []*segment
	file     File
	size     int64
	failed   error
	// payload and frame are the buffers of the latest write, for the next one.
	payload []byte
	frame   []byte
}

// maxReusedBytes limits the size of a buffer that is kept for the next write. Ordinary writes are a few
// KB; a large job would otherwise stay in memory until the next one.
const maxReusedBytes = 256 << 10

// reusable returns the buffer if it may be kept for the next write.
func reusable(buffer []byte) []byte {
	if cap(buffer) > maxReusedBytes {
		return nil
	}
	return buffer
}

// Open reads the log in options.Folder, truncates a torn tail and starts a new
// segment. It returns a fault.Corrupt if bytes changed on disk.
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

// trailingBytes returns the limit of the entries that stay in memory before a snapshot; zero means no limit.
func (o *Options) trailingBytes(metadata *rockwindpb.SnapshotMetadata) int64 {
	if o.MinTrailingBytes == 0 {
		return o.TrailingBytes
	}
	limit := max(o.MinTrailingBytes, int64(metadata.Size/4))
	if o.TrailingBytes == 0 {
		return limit
	}
	return min(o.TrailingBytes, limit)
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
		if err := removeTemporaryFiles(fileSystem, path); err != nil {
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

// DiskID returns the identity of the disk, which is never zero.
func (l *Log) DiskID() uint64 {
	return l.identity
}

// Fresh reports whether the disk held no log before Open. A member of a cluster that
// finds no log has lost its votes.
func (l *Log) Fresh() bool {
	return l.fresh
}

// Group returns the view of a group. The view is empty if the group has no records.
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

// Groups returns the sorted IDs of the groups that have records.
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

// Write makes updates durable with one sync and then applies them to the groups'
// views. A fault.Overloaded means that the disk is full: nothing changed, and the
// same updates may be written again when there is space. Any other error is
// permanent: the log rejects all later writes.
func (l *Log) Write(updates []Update) error {
	if l.failed != nil {
		return l.failed
	}
	payload, err := l.encode(updates)
	if err != nil {
		return l.fail(err)
	}
	if payload.Size() == 0 {
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
	return l.removeCoveredSegments()
}

// Err returns the error that made the log reject all writes, or nil. It must be
// called from the goroutine that writes.
func (l *Log) Err() error {
	return l.failed
}

// Close closes the open segment. Accepted writes are durable without it.
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

func (l *Log) encode(updates []Update) (protobytes.Parts, error) {
	payload := payloadBuffer{current: l.payload[:0]}
	for position := range updates {
		if err := l.encodeUpdate(&payload, &updates[position]); err != nil {
			return nil, err
		}
	}
	parts := payload.parts()
	l.payload = reusable(parts[0])
	if size := parts.Size(); size > MaximumFrameBytes {
		return nil, errors.Newf("write of %d bytes exceeds the maximum frame size", size)
	}
	return parts, nil
}

func (l *Log) encodeUpdate(payload *payloadBuffer, update *Update) (err error) {
	if update.Snapshot != nil {
		payload.current = l.encodeSnapshotTruncation(payload.current, update)
		if payload.current, err = appendMessage(payload.current, recordSnapshot, update.Group, update.Snapshot); err != nil {
			return err
		}
	}
	if len(update.Entries) > 0 {
		if first := update.Entries[0].Index; first <= l.lastIndexAfterSnapshot(update) {
			payload.current = appendNumber(payload.current, recordTruncation, update.Group, first)
		}
	}
	for _, entry := range update.Entries {
		if err := payload.appendEntry(update.Group, entry); err != nil {
			return err
		}
	}
	if update.HardState == nil {
		return nil
	}
	payload.current, err = appendMessage(payload.current, recordHardState, update.Group, update.HardState)
	return err
}

// lastIndexAfterSnapshot returns the last index of the group after the snapshot of
// the update is installed.
func (l *Log) lastIndexAfterSnapshot(update *Update) uint64 {
	group := l.Group(update.Group)
	if update.Snapshot != nil && update.Snapshot.Index > group.Snapshot().Index && !group.holds(update.Snapshot) {
		return update.Snapshot.Index
	}
	return group.LastIndex()
}

// encodeSnapshotTruncation encodes the removal of the group's entries if the log does
// not contain the last entry that the snapshot covers.
func (l *Log) encodeSnapshotTruncation(payload []byte, update *Update) []byte {
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

// apply applies a durable update to the group's view.
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
	group.install(metadata, l.options.TrailingEntries, l.options.trailingBytes(metadata))
	return l.removeOldSnapshots(id, group.Snapshot())
}

func (l *Log) applyEntries(id uint32, group *Group, entries []*rockwindpb.Entry) error {
	if first := entries[0].Index; first <= group.LastIndex() {
		if err := group.truncate(first); err != nil {
			return err
		}
	}
	current := l.segments[len(l.segments)-1]
	current.recordIndex(id, entries[len(entries)-1].Index)
	return group.appendEntries(entries)
}

// checkpoint encodes the start of a new segment: the state of all groups except the
// entries after their snapshots. It makes earlier segments unnecessary once snapshots
// cover their entries.
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
