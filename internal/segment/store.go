package segment

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/fault"
)

// Suffixes of segment files. A file is renamed when it is sealed.
const (
	openSuffix   = ".open"
	sealedSuffix = ".seg"
)

// localStore manages the segments of one disk.
type localStore struct {
	files FileSystem
	now   func() time.Time

	mutex    sync.Mutex
	segments map[uint64]*localSegment
}

// localSegment is this machine's copy of a segment.
type localSegment struct {
	files  FileSystem
	header fileHeader

	mutex sync.Mutex
	file  File
	// length is the number of valid bytes written, durable of those synced.
	length  int64
	durable int64
	sealed  bool
	// broken is set after a failed write or sync; nothing is written until restore
	// succeeds.
	broken bool
	// writeFailures counts how often the segment became broken. The writer abandons
	// it after the first time: followers may hold bytes that this copy lost.
	writeFailures int
	lastWrite     time.Time
	damaged       []span
	// irreparable is the start of the first damaged span that no machine has intact,
	// or zero.
	irreparable int64
}

// openLocalStore loads all segments of the folder. An invalid tail of an open
// segment is truncated; damage before a valid record is left to repair. Sealed
// segments are not scanned: the scrubber verifies them.
func openLocalStore(files FileSystem, now func() time.Time) (*localStore, error) {
	opened := &localStore{files: files, now: now, segments: make(map[uint64]*localSegment)}
	names, err := files.List()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if err := opened.load(name); err != nil {
			return nil, err
		}
	}
	return opened, nil
}

func (s *localStore) load(name string) error {
	id, sealed, known := parseName(name)
	if !known {
		return nil
	}
	file, err := s.files.Open(name)
	if err != nil {
		return err
	}
	size, err := file.Size()
	if err != nil {
		return err
	}
	loaded := &localSegment{files: s.files, header: fileHeader{segment: id}, file: file, sealed: sealed, lastWrite: s.now()}
	usable, err := loaded.recover(size)
	if err != nil {
		return err
	}
	if !usable {
		return errors.CombineErrors(file.Close(), s.files.Remove(name))
	}
	s.segments[id] = loaded
	return nil
}

// recover determines the header, length and damage of a segment. A segment that is
// not usable is to be removed.
func (l *localSegment) recover(size int64) (usable bool, err error) {
	encoded := make([]byte, fileHeaderBytes)
	if size < fileHeaderBytes {
		return false, nil
	}
	if err := readFull(l.file, encoded, 0); err != nil {
		return false, err
	}
	header, valid := decodeFileHeader(encoded)
	if valid {
		l.header = header
	}
	l.length = size
	l.durable = size
	if l.sealed {
		return true, nil
	}
	spans, err := scan(l.file, 0, size)
	if err != nil {
		return false, err
	}
	return l.truncateTail(spans)
}

func (l *localSegment) truncateTail(spans []span) (usable bool, err error) {
	last := spans[len(spans)-1]
	if !last.valid {
		if err := l.file.Truncate(last.start); err != nil {
			return false, errors.Wrap(err, "truncate torn tail")
		}
		l.length = last.start
		spans = spans[:len(spans)-1]
	}
	if err := l.file.Sync(); err != nil {
		return false, errors.Wrap(err, "sync recovered segment")
	}
	l.durable = l.length
	l.damaged = damagedSpans(spans)
	return l.length >= fileHeaderBytes, nil
}

func openName(id uint64) string   { return fmt.Sprintf("%016x%s", id, openSuffix) }
func sealedName(id uint64) string { return fmt.Sprintf("%016x%s", id, sealedSuffix) }

func parseName(name string) (id uint64, sealed, known bool) {
	digits, isSealed := strings.CutSuffix(name, sealedSuffix)
	if !isSealed {
		var isOpen bool
		digits, isOpen = strings.CutSuffix(name, openSuffix)
		if !isOpen {
			return 0, false, false
		}
	}
	id, err := strconv.ParseUint(digits, 16, 64)
	return id, isSealed, err == nil
}

// find returns a segment, or nil if there is none.
func (s *localStore) find(id uint64) *localSegment {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.segments[id]
}

// all returns the segments in no particular order.
func (s *localStore) all() []*localSegment {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	result := make([]*localSegment, 0, len(s.segments))
	for _, candidate := range s.segments {
		result = append(result, candidate)
	}
	return result
}

// create creates a segment with just the file header, which is not synced. An
// existing segment is returned unchanged.
func (s *localStore) create(header fileHeader) (*localSegment, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if existing, found := s.segments[header.segment]; found {
		return existing, nil
	}
	file, err := s.files.Create(openName(header.segment))
	if err != nil {
		return nil, diskFault(err)
	}
	created := &localSegment{files: s.files, header: header, file: file, lastWrite: s.now()}
	if _, err := file.WriteAt(header.encode(), 0); err != nil {
		cleanup := errors.CombineErrors(file.Close(), s.files.Remove(openName(header.segment)))
		return nil, diskFault(errors.CombineErrors(err, cleanup))
	}
	created.length = fileHeaderBytes
	s.segments[header.segment] = created
	return created, nil
}

// remove closes a segment and deletes its file.
func (s *localStore) remove(target *localSegment) error {
	s.mutex.Lock()
	delete(s.segments, target.header.segment)
	s.mutex.Unlock()
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.broken = true
	name := openName(target.header.segment)
	if target.sealed {
		name = sealedName(target.header.segment)
	}
	return errors.CombineErrors(target.file.Close(), s.files.Remove(name))
}

func (s *localStore) close() error {
	var failure error
	for _, open := range s.all() {
		failure = errors.CombineErrors(failure, open.file.Close())
	}
	return failure
}

// write appends data, which starts at offset; bytes that the segment has already
// are skipped, and a gap is an error. Nothing is synced.
func (l *localSegment) write(offset int64, data []byte, now time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.broken {
		return fault.New(fault.Unavailable, "the segment is not writable after a failed write",
			"store the body again; it goes to another segment")
	}
	if offset > l.length {
		return fault.Newf(fault.Conflict, "send the preceding bytes first",
			"append at offset %d leaves a gap after offset %d", offset, l.length)
	}
	present := l.length - offset
	if present >= int64(len(data)) {
		return nil
	}
	if _, err := l.file.WriteAt(data[present:], l.length); err != nil {
		l.markBroken()
		return diskFault(errors.CombineErrors(err, l.file.Truncate(l.durable)))
	}
	l.length = offset + int64(len(data))
	l.lastWrite = now
	return nil
}

// sync makes everything written so far durable.
func (l *localSegment) sync() error {
	l.mutex.Lock()
	target := l.length
	broken, writeFailures := l.broken, l.writeFailures
	l.mutex.Unlock()
	if broken {
		return fault.New(fault.Unavailable, "the segment is not writable after a failed write",
			"store the body again; it goes to another segment")
	}
	err := l.file.Sync()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		// The kernel may have dropped dirty pages: only what was synced before is safe.
		l.markBroken()
		return diskFault(err)
	}
	if l.writeFailures != writeFailures {
		return fault.New(fault.Unavailable, "a write to the segment failed during the sync", "store the body again")
	}
	l.durable = max(l.durable, target)
	return nil
}

// markBroken stops writes and discards what was not synced. The caller holds the
// mutex.
func (l *localSegment) markBroken() {
	l.broken = true
	l.writeFailures++
	l.length = l.durable
}

// restore makes a broken copy writable again: it truncates the file to the synced
// length and syncs it.
func (l *localSegment) restore() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.broken {
		return nil
	}
	if err := l.file.Truncate(l.durable); err != nil {
		return diskFault(err)
	}
	if err := l.file.Sync(); err != nil {
		return diskFault(err)
	}
	l.broken = false
	return nil
}

// seal syncs the segment and renames its file; repair may still append to it.
func (l *localSegment) seal() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.sealed {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return diskFault(err)
	}
	l.durable = l.length
	id := l.header.segment
	if err := l.files.Rename(openName(id), sealedName(id)); err != nil {
		return diskFault(err)
	}
	l.sealed = true
	return nil
}

// segmentState is a consistent copy of a segment's mutable fields.
type segmentState struct {
	length    int64
	durable   int64
	sealed    bool
	broken    bool
	failed    bool
	lastWrite time.Time
	damaged   []span

	irreparable int64
}

func (l *localSegment) state() segmentState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return segmentState{
		length: l.length, durable: l.durable, sealed: l.sealed, broken: l.broken, failed: l.writeFailures > 0, lastWrite: l.lastWrite,
		damaged: l.damaged, irreparable: l.irreparable,
	}
}

// setDamaged records the damaged spans, and the start of the first irreparable one
// or zero.
func (l *localSegment) setDamaged(damaged []span, irreparable int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.damaged = damaged
	l.irreparable = irreparable
}

// read returns up to length bytes from offset on, fewer at the end of the segment.
func (l *localSegment) read(offset int64, length int) ([]byte, error) {
	available := l.state().length - offset
	if available <= 0 || offset < 0 {
		return nil, nil
	}
	data := make([]byte, min(int64(length), available))
	if err := readFull(l.file, data, offset); err != nil {
		return nil, err
	}
	return data, nil
}

// diskFault returns the fault for a failed write or sync.
func diskFault(err error) error {
	return fault.New(fault.Unavailable, "the disk did not take the write: "+err.Error(),
		"free space on the disk or replace it; what was acknowledged before is kept")
}
