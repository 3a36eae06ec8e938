package wal

import (
	"path/filepath"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// replay rebuilds the groups' views. A first pass over the segments cuts a
// torn end and finds the newest snapshot of each group; a second one appends
// what stands behind them. Entries under a snapshot are skipped, because the
// segments that held their predecessors may be gone.
//
// In between, the newest segment is synced: a process that was killed in a
// write may have left a frame that can be read and would not outlast the next
// power cut. What a group's view shows must be durable, because the replica
// acknowledges it.
func (l *Log) replay() error {
	numbers, err := l.listSegments()
	if err != nil {
		return err
	}
	for position, number := range numbers {
		if position > 0 && number != numbers[position-1]+1 {
			return corrupt(l.segmentPath(numbers[position-1]+1), 0, "a log segment is missing")
		}
		newest := position == len(numbers)-1
		if err := l.scanSegment(number, newest, l.replaySnapshot); err != nil {
			return err
		}
	}
	if numbers, err = l.listSegments(); err != nil {
		return err
	}
	if err := l.syncNewest(numbers); err != nil {
		return err
	}
	for _, number := range numbers {
		current := &segment{number: number, last: map[uint32]uint64{}}
		l.segments = append(l.segments, current)
		if err := l.scanSegment(number, false, l.replayInto(current)); err != nil {
			return err
		}
	}
	return nil
}

// syncNewest makes the newest segment durable, by its content and by its name.
func (l *Log) syncNewest(numbers []uint64) error {
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

// scanSegment calls visit for each record of a segment. It cuts a torn end
// when the segment is the newest one.
func (l *Log) scanSegment(number uint64, newest bool, visit func(record) error) error {
	path := l.segmentPath(number)
	content, err := l.options.FileSystem.ReadFile(path)
	if err != nil {
		return diskFault(err, "read log segment")
	}
	if len(content) == 0 {
		return l.cut(number, content, 0, frameTorn, newest)
	}
	offset := int64(0)
	for {
		payload, next, state := readFrame(content, offset)
		if state == frameEnd {
			return nil
		}
		if state != frameWhole {
			return l.cut(number, content, offset, state, newest)
		}
		if err := l.visitFrame(payload, offset == 0, visit); err != nil {
			return corrupt(path, offset, "a log frame cannot be replayed ("+err.Error()+")")
		}
		offset = next
	}
}

// cut removes the torn end of the newest segment. A tear anywhere else, or
// with a whole frame behind it, is damage.
func (l *Log) cut(number uint64, content []byte, offset int64, state frameState, newest bool) error {
	path := l.segmentPath(number)
	if !newest || state == frameDamaged || wholeFrameAfter(content, offset) {
		return corrupt(path, offset, "a log frame fails its checksum")
	}
	if offset == 0 {
		// The segment was being started: it holds nothing that was acknowledged.
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
		if payload, err = l.checkSegmentHead(payload); err != nil {
			return err
		}
	}
	return eachRecord(payload, visit)
}

// checkSegmentHead checks the first record of a segment and returns the rest of
// its frame.
func (l *Log) checkSegmentHead(payload []byte) ([]byte, error) {
	if len(payload) == 0 {
		return nil, errors.Wrap(errRecord, "no segment head")
	}
	head, rest, err := decodeRecord(payload)
	if err != nil {
		return nil, err
	}
	if head.kind != recordSegment {
		return nil, errors.Wrap(errRecord, "no segment head")
	}
	identity, err := head.number()
	if err != nil {
		return nil, err
	}
	if identity != l.identity {
		return nil, errors.Newf("segment of disk %016x on disk %016x", identity, l.identity)
	}
	return rest, nil
}

// replaySnapshot is the first pass.
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

// replayInto is the second pass. It notes in current what the segment holds.
func (l *Log) replayInto(current *segment) func(record) error {
	return func(r record) error {
		group := l.Group(r.group)
		switch r.kind {
		case recordEntry:
			entry, err := r.entry()
			if err != nil {
				return err
			}
			current.note(r.group, entry.Index)
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
			return errors.Wrapf(errRecord, "kind %d inside of a segment", r.kind)
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
