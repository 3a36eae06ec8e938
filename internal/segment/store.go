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

// localStore holds the segments of one disk.
type localStore struct {
	files FileSystem
	now   func() time.Time

	mutex    sync.Mutex
	segments map[uint64]*localSegment
}

// localSegment is one segment of this disk.
type localSegment struct {
	files  FileSystem
	header fileHeader

	mutex sync.Mutex
	file  File
	// length counts the bytes written and checked, durable those synced.
	length  int64
	durable int64
	sealed  bool
	// broken segments are not written to after a failed write or sync, until they
	// are restored.
	broken bool
	// breaks counts how often it was broken. The writer appends nothing to a segment
	// that ever was: followers may hold bytes that this copy lost.
	breaks  int
	touched time.Time
	damaged []span
	// irreparable is where the first damage begins that no machine holds intact,
	// zero where there is none.
	irreparable int64
}

// openLocalStore reads the folder. Tails of open segments that hold no valid
// record are cut; damage before a valid record is kept for the repairer. Sealed
// segments are not read: the scrubber verifies them.
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
	loaded := &localSegment{files: s.files, header: fileHeader{segment: id}, file: file, sealed: sealed, touched: s.now()}
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

// recover finds the length of a segment and tells whether it holds anything.
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
	return l.cutTail(spans)
}

func (l *localSegment) cutTail(spans []span) (usable bool, err error) {
	last := spans[len(spans)-1]
	if !last.valid {
		if err := l.file.Truncate(last.start); err != nil {
			return false, errors.Wrap(err, "cut a torn tail")
		}
		l.length = last.start
		spans = spans[:len(spans)-1]
	}
	if err := l.file.Sync(); err != nil {
		return false, errors.Wrap(err, "sync a recovered segment")
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

// find returns the segment, or nil.
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

// create makes a new empty segment; the header is written as its first bytes.
// An existing segment is returned as it is.
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
	created := &localSegment{files: s.files, header: header, file: file, touched: s.now()}
	if _, err := file.WriteAt(header.encode(), 0); err != nil {
		cleanup := errors.CombineErrors(file.Close(), s.files.Remove(openName(header.segment)))
		return nil, diskFault(errors.CombineErrors(err, cleanup))
	}
	created.length = fileHeaderBytes
	s.segments[header.segment] = created
	return created, nil
}

// remove deletes a segment.
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

// close closes all files.
func (s *localStore) close() error {
	var failure error
	for _, open := range s.all() {
		failure = errors.CombineErrors(failure, open.file.Close())
	}
	return failure
}

// write puts data at an offset, which must be the length of the segment; data
// that is there already is left alone. Nothing is synced.
func (l *localSegment) write(offset int64, data []byte, now time.Time) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.broken {
		return fault.New(fault.Unavailable, "the segment is not written to after a failed write",
			"store the body again; another segment takes it")
	}
	if offset > l.length {
		return fault.Newf(fault.Conflict, "send the bytes before first",
			"append at %d leaves a gap after %d", offset, l.length)
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
	l.touched = now
	return nil
}

// sync makes everything written so far durable.
func (l *localSegment) sync() error {
	l.mutex.Lock()
	target := l.length
	broken, breaks := l.broken, l.breaks
	l.mutex.Unlock()
	if broken {
		return fault.New(fault.Unavailable, "the segment is not written to after a failed write",
			"store the body again; another segment takes it")
	}
	err := l.file.Sync()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		// The kernel may have dropped the pages: nothing after the last sync counts.
		l.markBroken()
		return diskFault(err)
	}
	if l.breaks != breaks {
		return fault.New(fault.Unavailable, "a write to the segment failed during the sync", "store the body again")
	}
	l.durable = max(l.durable, target)
	return nil
}

// markBroken stops writes and forgets what was not synced. The caller holds the
// mutex.
func (l *localSegment) markBroken() {
	l.broken = true
	l.breaks++
	l.length = l.durable
}

// restore lets a broken copy be written again from its last synced byte on, once
// the disk takes a cut and a sync.
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

// seal syncs the segment and renames it; it may still be extended by repair.
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

// extent is a consistent view of a segment's lengths.
type extent struct {
	length  int64
	durable int64
	sealed  bool
	broken  bool
	failed  bool
	touched time.Time
	damaged []span

	irreparable int64
}

func (l *localSegment) extent() extent {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return extent{
		length: l.length, durable: l.durable, sealed: l.sealed, broken: l.broken, failed: l.breaks > 0, touched: l.touched,
		damaged: l.damaged, irreparable: l.irreparable,
	}
}

// setDamaged notes what is damaged, and where the first damage begins that no
// machine holds intact.
func (l *localSegment) setDamaged(damaged []span, irreparable int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.damaged = damaged
	l.irreparable = irreparable
}

// read returns up to length bytes from an offset, fewer at the end.
func (l *localSegment) read(offset int64, length int) ([]byte, error) {
	available := l.extent().length - offset
	if available <= 0 || offset < 0 {
		return nil, nil
	}
	data := make([]byte, min(int64(length), available))
	if err := readFull(l.file, data, offset); err != nil {
		return nil, err
	}
	return data, nil
}

// diskFault is the fault for a failed write.
func diskFault(err error) error {
	return fault.New(fault.Unavailable, "the disk did not take the write: "+err.Error(),
		"free space on the disk or replace it; what was acknowledged before is kept")
}
