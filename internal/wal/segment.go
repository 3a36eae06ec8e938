package wal

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/fault"
)

const (
	segmentFolder = "log"
	segmentSuffix = ".segment"
)

// segment is one file of the log.
type segment struct {
	number uint64
	// last is the highest entry of each group that the segment holds.
	last map[uint32]uint64
}

func (s *segment) note(group uint32, index uint64) {
	s.last[group] = max(s.last[group], index)
}

func (l *Log) segmentPath(number uint64) string {
	return filepath.Join(l.options.Folder, segmentFolder, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

func (l *Log) nextNumber() uint64 {
	if len(l.segments) == 0 {
		return 1
	}
	return l.segments[len(l.segments)-1].number + 1
}

// startSegment closes the open segment, which is synced already, and opens
// the next one with a checkpoint. A full disk leaves the old one open.
func (l *Log) startSegment() error {
	payload, err := l.checkpoint()
	if err != nil {
		return l.fail(err)
	}
	number := l.nextNumber()
	path := l.segmentPath(number)
	content := appendFrame(nil, payload)
	if err := writeSynced(l.options.FileSystem, path, content); err != nil {
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
	l.segments = append(l.segments, &segment{number: number, last: map[uint32]uint64{}})
	return nil
}

// appendPayload writes one frame and syncs it. When the disk is full it takes
// the frame back.
func (l *Log) appendPayload(payload []byte) error {
	frame := appendFrame(make([]byte, 0, frameHeaderBytes+len(payload)), payload)
	if _, err := l.file.Write(frame); err != nil {
		if !isFull(err) {
			return l.fail(diskFault(err, "write log"))
		}
		if truncateError := l.file.Truncate(l.size); truncateError != nil {
			return l.fail(diskFault(truncateError, "take back a write to a full disk"))
		}
		return diskFault(err, "write log")
	}
	// A failed sync is final even when it says that the disk is full: the
	// kernel may have dropped the bytes that it could not write.
	if err := l.file.Sync(); err != nil {
		return l.fail(syncFault(err))
	}
	l.size += int64(len(frame))
	return nil
}

// failUnlessFull makes every error final but that of a full disk.
func (l *Log) failUnlessFull(err error, action string) error {
	if isFull(err) {
		return diskFault(err, action)
	}
	return l.fail(diskFault(err, action))
}

// removeSegments deletes the oldest segments whose entries are all covered by
// snapshots, each durably before the next, so that no gap can appear.
func (l *Log) removeSegments() error {
	folder := filepath.Join(l.options.Folder, segmentFolder)
	for len(l.segments) > 1 && l.covered(l.segments[0]) {
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

func (l *Log) covered(old *segment) bool {
	for id, last := range old.last {
		if last > l.snapshotIndex(id) {
			return false
		}
	}
	return true
}

func (l *Log) snapshotIndex(id uint32) uint64 {
	return l.Group(id).snapshotIndex()
}

// PinningGroups returns the groups whose entries keep the oldest segment when there
// are more than segments of them. A snapshot of each lets the segment go. It
// belongs to the writing goroutine.
func (l *Log) PinningGroups(segments int) []uint32 {
	if len(l.segments) <= segments {
		return nil
	}
	var ids []uint32
	for id, last := range l.segments[0].last {
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

// IsDiskFull tells whether err is the fault of a full disk.
func IsDiskFull(err error) bool {
	return fault.Is(err, fault.Overloaded)
}

// diskFault is the fault of an operation that the disk refused.
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

// syncFault is the fault of a sync that failed, which is never tried again.
func syncFault(err error) error {
	return fault.Newf(fault.Unavailable,
		"check the disk of this control machine and restart its process, which reads back what the disk really holds",
		"sync log: %v", err)
}
