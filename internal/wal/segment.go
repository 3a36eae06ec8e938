package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/protobytes"
)

const (
	segmentFolder = "log"
	segmentSuffix = ".segment"
)

// segment is one file of the log.
type segment struct {
	number uint64
	// lastIndex is the highest index of each group's entries in the segment.
	lastIndex map[uint32]uint64
}

func (s *segment) recordIndex(group uint32, index uint64) {
	s.lastIndex[group] = max(s.lastIndex[group], index)
}

func (l *Log) segmentPath(number uint64) string {
	return filepath.Join(l.options.Folder, segmentFolder, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

func (l *Log) nextSegmentNumber() uint64 {
	if len(l.segments) == 0 {
		return 1
	}
	return l.segments[len(l.segments)-1].number + 1
}

// startSegment starts the next segment with a checkpoint and closes the current one,
// which is already synced. If the disk is full, the current segment stays open.
func (l *Log) startSegment() error {
	payload, err := l.checkpoint()
	if err != nil {
		return l.fail(err)
	}
	number := l.nextSegmentNumber()
	path := l.segmentPath(number)
	content := appendFrame(nil, payload)
	if err := writeSynced(l.options.FileSystem, path, [][]byte{content}); err != nil {
		return l.failUnlessFull(err, "start log segment")
	}
	if err := l.options.FileSystem.SyncFolder(filepath.Dir(path)); err != nil {
		return l.fail(diskFault(err, "sync log folder"))
	}
	file, err := l.options.FileSystem.Append(path)
	if err != nil {
		return l.fail(diskFault(err, "open log segment"))
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file = file
	l.size = int64(len(content))
	l.segments = append(l.segments, &segment{number: number, lastIndex: map[uint32]uint64{}})
	return nil
}

// appendPayload writes and syncs one frame. If the disk is full, it truncates the
// segment to its previous size.
func (l *Log) appendPayload(payload protobytes.Parts) error {
	if err := l.writeFrame(payload); err != nil {
		if !isFull(err) {
			return l.fail(diskFault(err, "write log"))
		}
		if truncateError := l.file.Truncate(l.size); truncateError != nil {
			return l.fail(diskFault(truncateError, "take back a write to a full disk"))
		}
		return diskFault(err, "write log")
	}
	// A failed sync is permanent even if the error is a full disk: the kernel may have
	// dropped the pages that it could not write.
	if err := l.file.Sync(); err != nil {
		return l.fail(syncFault(err))
	}
	l.size += int64(frameHeaderBytes + payload.Size())
	return nil
}

// writeFrame writes the header and the first part of the payload in one call; only payloads with large data have
// further parts.
func (l *Log) writeFrame(payload protobytes.Parts) error {
	frame := appendFrameHeader(slices.Grow(l.frame[:0], frameHeaderBytes+len(payload[0])), payload)
	frame = append(frame, payload[0]...)
	l.frame = reusable(frame)
	if _, err := l.file.Write(frame); err != nil {
		return err
	}
	for _, part := range payload[1:] {
		if len(part) == 0 {
			continue
		}
		if _, err := l.file.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// failUnlessFull makes the error permanent unless the disk is full.
func (l *Log) failUnlessFull(err error, action string) error {
	if isFull(err) {
		return diskFault(err, action)
	}
	return l.fail(diskFault(err, action))
}

// removeCoveredSegments deletes the oldest segments whose entries are all covered by
// snapshots. Each removal is synced before the next, so that a crash leaves no gap.
func (l *Log) removeCoveredSegments() error {
	folder := filepath.Join(l.options.Folder, segmentFolder)
	for len(l.segments) > 1 && l.coveredBySnapshots(l.segments[0]) {
		if err := l.options.FileSystem.Remove(l.segmentPath(l.segments[0].number)); err != nil {
			return l.fail(diskFault(err, "remove log segment"))
		}
		if err := l.options.FileSystem.SyncFolder(folder); err != nil {
			return l.fail(diskFault(err, "sync log folder"))
		}
		l.segments = l.segments[1:]
	}
	return nil
}

func (l *Log) coveredBySnapshots(old *segment) bool {
	for id, last := range old.lastIndex {
		if last > l.snapshotIndex(id) {
			return false
		}
	}
	return true
}

func (l *Log) snapshotIndex(id uint32) uint64 {
	return l.Group(id).snapshotIndex()
}

// PinningGroups returns the groups that prevent the deletion of the oldest segment if
// there are more than the given number of segments. A snapshot of each of them allows
// the deletion. It must be called from the goroutine that writes.
func (l *Log) PinningGroups(segments int) []uint32 {
	if len(l.segments) <= segments {
		return nil
	}
	var ids []uint32
	for id, last := range l.segments[0].lastIndex {
		if last > l.snapshotIndex(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func parseSegmentName(name string) (uint64, bool) {
	digits, found := strings.CutSuffix(name, segmentSuffix)
	if !found {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// IsDiskFull reports whether err is the fault of a full disk.
func IsDiskFull(err error) bool {
	return fault.Is(err, fault.Overloaded)
}

// diskFault converts the error of a disk operation to a fault.
func diskFault(err error, action string) error {
	if isFull(err) {
		return fault.Newf(fault.Overloaded,
			"free space in the data folder of this control machine or move it to a larger disk",
			"%s: the disk is full", action)
	}
	return fault.Newf(fault.Unavailable,
		"check the disk of this control machine; when it is broken, start the process with an empty data folder on another disk",
		"%s: %v", action, err)
}

// syncFault reports a failed sync, which must not be retried.
func syncFault(err error) error {
	return fault.Newf(fault.Unavailable,
		"check the disk of this control machine and restart its process, which reads back what the disk really holds",
		"sync log: %v", err)
}
