// Package relaybudget decides how much a process may keep in memory for others: the parts of
// answers that their clients have not read yet, and the bodies of requests on their way to
// servers. One budget holds for the whole process.
//
// It answers two loads. Clients that read slowly, up to thousands at once, some of them in
// the middle of large answers: reading an answer on at the pace of such a client would make
// the server wait, which keeps its slot and its memory taken. And servers that take bodies
// slowly, so that bodies gather here. The order in which memory is shared when it is short:
//
//   - a large reader, one that keeps more than its equal share, waits: its answer is read no
//     faster than the client reads. It alone notices.
//   - large bodies are refused, before they are read where their announced length shows that
//     there is no room for them: little has been spent on them then.
//   - small readers and small bodies get what is left, and where that is used up, the room
//     of the worst reader, whose answer is ended: the one that would hold the most memory
//     for the longest time. Requests of others go on.
//
// Budget is not safe for concurrent use.
package relaybudget

import (
	"time"

	"github.com/cockroachdb/errors"
)

// The parts of the budget. A quarter each for small readers and for bodies is some 9 MB of
// the smallest machines' 36 MB: one chunk of 8 KB for each of a thousand clients that fall
// behind at the same moment, and a few bodies of the largest size that is usual.
const (
	// readersPart is the part that readers may use whatever their size.
	readersPart = 0.5
	// bodiesPart is the part up to which large bodies are taken.
	bodiesPart = 0.75
	// whole is the budget as a part of itself.
	whole = 1.0
	// SmallBody is the size up to which a body is small, in bytes: a prompt of some 4,000
	// tokens, as most requests have.
	SmallBody = 16 << 10
	// leastTaken stands for what a client has taken that has taken less, in bytes.
	leastTaken = 16 << 10
)

// Verdict is what becomes of a wish to keep more.
type Verdict int

const (
	// Granted: the memory is the caller's.
	Granted Verdict = iota
	// Wait: the reader has to wait until there is room.
	Wait
	// Refused: there is no room, and none will come by waiting.
	Refused
)

// Budget is the memory of a process that is kept for others. O is what the caller knows a
// reader by.
type Budget[O any] struct {
	limit   int64
	readers map[*Reader[O]]struct{}
	// unread are the bytes kept for readers, and bodies those of bodies.
	unread, bodies int64
}

// Reader is a client with a part of an answer that it has not read yet.
type Reader[O any] struct {
	owner O
	kept  int64
	// since is when it fell behind, and taken the bytes that it took after that.
	since time.Time
	taken int64
}

// New returns a budget of so many bytes.
func New[O any](limit int64) *Budget[O] {
	return &Budget[O]{limit: limit, readers: make(map[*Reader[O]]struct{})}
}

// NewReader returns a reader that is not behind.
func NewReader[O any](owner O) *Reader[O] { return &Reader[O]{owner: owner} }

// Owner is what the caller knows the reader by.
func (r *Reader[O]) Owner() O { return r.owner }

// Unread is how many bytes are kept for the reader.
func (r *Reader[O]) Unread() int64 { return r.kept }

// Behind is since when the reader has not read all of its answer, and what it has taken
// after that.
func (r *Reader[O]) Behind() (since time.Time, taken int64) { return r.since, r.taken }

// Limit is the size of the budget in bytes.
func (b *Budget[O]) Limit() int64 { return b.limit }

// Unread is how many bytes are kept for readers.
func (b *Budget[O]) Unread() int64 { return b.unread }

// Bodies is how many bytes of bodies are kept.
func (b *Budget[O]) Bodies() int64 { return b.bodies }

// Readers is how many clients are behind.
func (b *Budget[O]) Readers() int { return len(b.readers) }

func (b *Budget[O]) used() int64 { return b.unread + b.bodies }

// fits tells whether so many bytes more stay within a part of the budget.
func (b *Budget[O]) fits(size int64, part float64) bool {
	return b.used()+size <= int64(part*float64(b.limit))
}

// HasRoom tells whether any reader may keep so many bytes more.
func (b *Budget[O]) HasRoom(size int64) bool { return b.fits(size, readersPart) }

// share is the equal share of a reader beside the others.
func (b *Budget[O]) share() int64 {
	return int64(readersPart*float64(b.limit)) / int64(max(1, len(b.readers)))
}

// Reserve asks to keep so many bytes more for a reader. The answers of the ended readers are to
// be ended; their bytes are not counted any more.
func (b *Budget[O]) Reserve(reader *Reader[O], size int64, now time.Time) (verdict Verdict, ended []*Reader[O]) {
	if !b.HasRoom(size) {
		if reader.kept > 0 && reader.kept+size > b.share() {
			return Wait, nil
		}
		ended = b.makeRoom(size, now)
		if !b.fits(size, whole) {
			return Refused, ended
		}
	}
	if reader.kept == 0 {
		reader.since, reader.taken = now, 0
		b.readers[reader] = struct{}{}
	}
	reader.kept += size
	b.unread += size
	return Granted, ended
}

// Release tells that so many bytes that were kept for the reader are not kept any more, since
// the client took them.
func (b *Budget[O]) Release(reader *Reader[O], size int64) {
	size = min(size, reader.kept)
	reader.kept -= size
	reader.taken += size
	b.unread -= size
	if reader.kept == 0 {
		delete(b.readers, reader)
	}
}

// Remove forgets all that is kept for a reader.
func (b *Budget[O]) Remove(reader *Reader[O]) {
	b.unread -= reader.kept
	reader.kept = 0
	delete(b.readers, reader)
}

// HasRoomForBody tells whether a body of the given size may be read now. Nothing is taken: it
// may never come.
func (b *Budget[O]) HasRoomForBody(size int64) bool {
	if size > SmallBody {
		return b.fits(size, bodiesPart)
	}
	return b.bodies+size <= b.limit
}

// ReserveBody asks to keep so many bytes more of a body of the given size, as it is read.
func (b *Budget[O]) ReserveBody(bytes, size int64, now time.Time) (verdict Verdict, ended []*Reader[O]) {
	if size > SmallBody {
		if !b.fits(bytes, bodiesPart) {
			return Refused, nil
		}
	} else {
		ended = b.makeRoom(bytes, now)
		if !b.fits(bytes, whole) {
			return Refused, ended
		}
	}
	b.bodies += bytes
	return Granted, ended
}

// ReleaseBody gives back bytes of bodies.
func (b *Budget[O]) ReleaseBody(bytes int64) { b.bodies -= bytes }

// makeRoom ends the worst readers until so many bytes fit or none is left.
func (b *Budget[O]) makeRoom(size int64, now time.Time) []*Reader[O] {
	var ended []*Reader[O]
	for !b.fits(size, whole) && len(b.readers) > 0 {
		worst := b.worst(now)
		ended = append(ended, worst)
		b.Remove(worst)
	}
	return ended
}

// worst is the reader that would use the most memory for the longest time.
func (b *Budget[O]) worst(now time.Time) *Reader[O] {
	var worst *Reader[O]
	most := -1.0
	for reader := range b.readers {
		if cost := reader.cost(now); cost > most {
			worst, most = reader, cost
		}
	}
	return worst
}

// cost is what the reader will use at its pace until it has read all, in byte seconds.
func (r *Reader[O]) cost(now time.Time) float64 {
	pace := float64(max(r.taken, leastTaken)) / max(now.Sub(r.since), time.Millisecond).Seconds()
	return float64(r.kept) * float64(r.kept) / pace
}

// Check fails where the counts do not agree, for tests of callers.
func (b *Budget[O]) Check() error {
	sum := int64(0)
	for reader := range b.readers {
		sum += reader.kept
	}
	if sum != b.unread || b.bodies < 0 || b.used() > b.limit {
		return errors.Newf("readers keep %d bytes, counted are %d, of bodies %d, of at most %d", sum, b.unread, b.bodies, b.limit)
	}
	return nil
}
