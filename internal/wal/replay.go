package wal

import (
	"path/filepath"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// replay rebuilds the groups' views in two passes over the segments. The first one
// truncates a torn tail and finds the newest snapshot of each group. The second one
// appends the entries after the snapshots. Entries that a snapshot covers are skipped,
// because the segments with their predecessors may be deleted.
//
// The newest segment is synced between the passes: a process that was killed during a
// write may have left a readable frame that is not durable yet. Everything in a
// group's view must be durable, because the replica acknowledges it.
func (l *Log) replay() error {
	numbers, err := l.listSegments()
	if err != nil {
		return err
	}
	for position, number := range numbers {
		if position > 0 && number != numbers[position-1]+1 {
			return corruptFault(l.segmentPath(numbers[position-1]+1), 0, "a log segment is missing")
		}
		newest := position == len(numbers)-1
		if err := l.scanSegment(number, newest, l.replaySnapshot); err != nil {
			return err
		}
	}
	if numbers, err = l.listSegments(); err != nil {
		return err
	}
	if err := l.syncNewestSegment(numbers); err != nil {
		return err
	}
	for _, number := range numbers {
		current := &segment{number: number, lastIndex: map[uint32]uint64{}}
		l.segments = append(l.segments, current)
		if err := l.scanSegment(number, false, l.replayInto(current)); err != nil {
			return err
		}
	}
	return nil
}

// syncNewestSegment syncs the newest segment and its folder entry.
func (l *Log) syncNewestSegment(numbers []uint64) error {
	if len(numbers) == 0 {
		return nil
	}
	path := l.segmentPath(numbers[len(numbers)-1])
	file, err := l.options.FileSystem.Append(path)
	if err != nil {
		return diskFault(err, "open the newest log segment")
	}
	defer func() { _ = file.Close() }()
	if err := file.Sync(); err != nil {
		return syncFault(err)
	}
	return diskFaultOrNil(l.options.FileSystem.SyncFolder(filepath.Dir(path)), "sync log folder")
}

func (l *Log) listSegments() ([]uint64, error) {
	names, err := l.options.FileSystem.List(filepath.Join(l.options.Folder, segmentFolder))
	if err != nil {
		return nil, diskFault(err, "list log segments")
	}
	var numbers []uint64
	for _, name := range names {
		if number, ok := parseSegmentName(name); ok {
			numbers = append(numbers, number)
		}
	}
	return numbers, nil
}

// scanSegment calls visit for each record of a segment. It truncates a torn tail if
// the segment is the newest one.
func (l *Log) scanSegment(number uint64, newest bool, visit func(record) error) error {
	path := l.segmentPath(number)
	content, err := l.options.FileSystem.ReadFile(path)
	if err != nil {
		return diskFault(err, "read log segment")
	}
	if len(content) == 0 {
		return l.truncateTornTail(number, content, 0, frameTorn, newest)
	}
	offset := int64(0)
	for {
		payload, next, state := readFrame(content, offset)
		if state == frameEnd {
			return nil
		}
		if state != frameValid {
			return l.truncateTornTail(number, content, offset, state, newest)
		}
		if err := l.visitFrame(payload, offset == 0, visit); err != nil {
			return corruptFault(path, offset, "a log frame cannot be replayed ("+err.Error()+")")
		}
		offset = next
	}
}

// truncateTornTail removes an incomplete frame at the end of the newest segment. An
// invalid frame elsewhere, or one followed by a valid frame, is corruption.
func (l *Log) truncateTornTail(number uint64, content []byte, offset int64, state frameState, newest bool) error {
	path := l.segmentPath(number)
	if !newest || state == frameCorrupt || hasValidFrameAfter(content, offset) {
		return corruptFault(path, offset, "a log frame fails its checksum")
	}
	if offset == 0 {
		// A segment without a valid frame contains nothing that was acknowledged.
		if err := l.options.FileSystem.Remove(path); err != nil {
			return diskFault(err, "remove a torn log segment")
		}
		return diskFaultOrNil(l.options.FileSystem.SyncFolder(filepath.Dir(path)), "sync log folder")
	}
	file, err := l.options.FileSystem.Append(path)
	if err != nil {
		return diskFault(err, "open a torn log segment")
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(offset); err != nil {
		return diskFault(err, "cut a torn log segment")
	}
	if err := file.Sync(); err != nil {
		return syncFault(err)
	}
	return nil
}

func diskFaultOrNil(err error, action string) error {
	if err == nil {
		return nil
	}
	return diskFault(err, action)
}

func (l *Log) visitFrame(payload []byte, first bool, visit func(record) error) error {
	if first {
		var err error
		if payload, err = l.checkSegmentHeader(payload); err != nil {
			return err
		}
	}
	return forEachRecord(payload, visit)
}

// checkSegmentHeader validates the first record of a segment and returns the rest of
// its frame.
func (l *Log) checkSegmentHeader(payload []byte) ([]byte, error) {
	if len(payload) == 0 {
		return nil, errors.Wrap(errMalformedRecord, "missing segment header")
	}
	header, rest, err := decodeRecord(payload)
	if err != nil {
		return nil, err
	}
	if header.kind != recordSegment {
		return nil, errors.Wrap(errMalformedRecord, "missing segment header")
	}
	identity, err := header.number()
	if err != nil {
		return nil, err
	}
	if identity != l.identity {
		return nil, errors.Newf("segment belongs to disk %016x, but this is disk %016x", identity, l.identity)
	}
	return rest, nil
}

// replaySnapshot handles a record in the first pass of replay.
func (l *Log) replaySnapshot(r record) error {
	if r.kind != recordSnapshot {
		return nil
	}
	metadata, err := r.snapshot()
	if err != nil {
		return err
	}
	l.Group(r.group).install(metadata, 0, 0)
	return nil
}

// replayInto returns the record handler for the second pass of replay. It records in
// current which entries the segment contains.
func (l *Log) replayInto(current *segment) func(record) error {
	return func(r record) error {
		group := l.Group(r.group)
		switch r.kind {
		case recordEntry:
			entry, err := r.entry()
			if err != nil {
				return err
			}
			current.recordIndex(r.group, entry.Index)
			return replayEntry(group, entry)
		case recordTruncation:
			index, err := r.number()
			if err != nil {
				return err
			}
			return replayTruncation(group, index)
		case recordHardState:
			state, err := r.hardState()
			if err != nil {
				return err
			}
			group.adoptHardState(state)
			return nil
		case recordSnapshot:
			return nil
		default:
			return errors.Wrapf(errMalformedRecord, "unexpected record kind %d", r.kind)
		}
	}
}

func replayEntry(group *Group, entry *rockwindpb.Entry) error {
	if entry.Index <= group.snapshotIndex() {
		return nil
	}
	return group.appendEntries([]*rockwindpb.Entry{entry})
}

func replayTruncation(group *Group, index uint64) error {
	index = max(index, group.snapshotIndex()+1)
	if index > group.LastIndex() {
		return nil
	}
	return group.truncate(index)
}
