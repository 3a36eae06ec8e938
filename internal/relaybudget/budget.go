// Package relaybudget decides how much memory a process may use for relaying: for the
// parts of responses that clients have not read yet, and for the bodies of requests on
// their way to servers. There is one budget per process.
//
// It limits the effect of two kinds of load. Thousands of clients may read slowly, some
// of them large responses: reading a response at the pace of such a client would make the
// server wait, which keeps its slot and memory occupied. And servers may accept bodies
// slowly, so that bodies accumulate. If memory is short, it is shared in this order:
//
//   - a reader that holds more than its equal share waits: its response is read no faster
//     than the client reads.
//   - large bodies are refused, before they are read if their announced length shows that
//     there is no room for them, so that little is spent on them.
//   - small readers and small bodies get what is left. If nothing is left, the response of
//     the worst reader is ended: the one that would hold the most memory for the longest
//     time.
//
// Budget is not safe for concurrent use.
package relaybudget

import (
	"time"

	"github.com/cockroachdb/errors"
)

// The fractions of the budget. A quarter each is reserved for small readers and for bodies:
// some 9 MB of the 36 MB of the smallest machines, enough for an 8 KB chunk for each of a
// thousand clients and for a few large bodies.
const (
	// readersFraction is the fraction that readers of any size may use.
	readersFraction = 0.5
	// bodiesFraction is the fraction up to which large bodies are accepted.
	bodiesFraction = 0.75
	wholeBudget    = 1.0
	// SmallBody is the largest size of a small body in bytes. It holds a prompt of some 4,000
	// tokens, as most requests have.
	SmallBody = 16 << 10
	// minimumTaken is the lower bound of the bytes taken by a client in the estimate of its
	// pace.
	minimumTaken = 16 << 10
)

// Verdict is the answer to a request for memory.
type Verdict int

const (
	// Granted: the memory may be used.
	Granted Verdict = iota
	// Wait: the reader has to wait for memory.
	Wait
	// Refused: there is no memory, and waiting would not help.
	Refused
)

// Budget is the relay memory of a process. O is the type by which the caller identifies a
// reader.
type Budget[O any] struct {
	limit   int64
	readers map[*Reader[O]]struct{}
	// unread and bodies are the bytes held for readers and bodies.
	unread, bodies int64
}

// Reader is a client that may have unread parts of a response.
type Reader[O any] struct {
	owner  O
	unread int64
	// since is when it fell behind, and taken is how many bytes it has read since then.
	since time.Time
	taken int64
}

// New returns a budget with the given limit in bytes.
func New[O any](limit int64) *Budget[O] {
	return &Budget[O]{limit: limit, readers: make(map[*Reader[O]]struct{})}
}

// NewReader returns a reader without unread bytes.
func NewReader[O any](owner O) *Reader[O] { return &Reader[O]{owner: owner} }

// Owner returns the value that NewReader was given.
func (r *Reader[O]) Owner() O { return r.owner }

// Unread returns how many unread bytes are held for the reader.
func (r *Reader[O]) Unread() int64 { return r.unread }

// Behind returns since when the reader has unread bytes, and how many bytes it has read since
// then.
func (r *Reader[O]) Behind() (since time.Time, taken int64) { return r.since, r.taken }

// Limit returns the size of the budget in bytes.
func (b *Budget[O]) Limit() int64 { return b.limit }

// Unread returns how many bytes are held for all readers.
func (b *Budget[O]) Unread() int64 { return b.unread }

// Bodies returns how many bytes of bodies are held.
func (b *Budget[O]) Bodies() int64 { return b.bodies }

// Readers returns how many clients have unread bytes.
func (b *Budget[O]) Readers() int { return len(b.readers) }

func (b *Budget[O]) used() int64 { return b.unread + b.bodies }

// fits reports whether additional bytes stay within a fraction of the budget.
func (b *Budget[O]) fits(size int64, fraction float64) bool {
	return b.used()+size <= int64(fraction*float64(b.limit))
}

// HasRoom reports whether any reader may hold additional bytes.
func (b *Budget[O]) HasRoom(size int64) bool { return b.fits(size, readersFraction) }

// share returns the equal share of a reader.
func (b *Budget[O]) share() int64 {
	return int64(readersFraction*float64(b.limit)) / int64(max(1, len(b.readers)))
}

// Reserve requests additional bytes for a reader. The caller must end the responses of the
// returned readers; their bytes are already released.
func (b *Budget[O]) Reserve(reader *Reader[O], size int64, now time.Time) (verdict Verdict, ended []*Reader[O]) {
	if !b.HasRoom(size) {
		if reader.unread > 0 && reader.unread+size > b.share() {
			return Wait, nil
		}
		ended = b.makeRoom(size, now)
		if !b.fits(size, wholeBudget) {
			return Refused, ended
		}
	}
	if reader.unread == 0 {
		reader.since, reader.taken = now, 0
		b.readers[reader] = struct{}{}
	}
	reader.unread += size
	b.unread += size
	return Granted, ended
}

// Release releases bytes that the reader's client has read.
func (b *Budget[O]) Release(reader *Reader[O], size int64) {
	size = min(size, reader.unread)
	reader.unread -= size
	reader.taken += size
	b.unread -= size
	if reader.unread == 0 {
		delete(b.readers, reader)
	}
}

// Remove releases all bytes of a reader.
func (b *Budget[O]) Remove(reader *Reader[O]) {
	b.unread -= reader.unread
	reader.unread = 0
	delete(b.readers, reader)
}

// HasRoomForBody reports whether there is memory for a body of the given size. It reserves
// nothing, because the body may never arrive.
func (b *Budget[O]) HasRoomForBody(size int64) bool {
	if size > SmallBody {
		return b.fits(size, bodiesFraction)
	}
	return b.bodies+size <= b.limit
}

// ReserveBody requests additional bytes for a body of the given total size, as it is read.
func (b *Budget[O]) ReserveBody(bytes, size int64, now time.Time) (verdict Verdict, ended []*Reader[O]) {
	if size > SmallBody {
		if !b.fits(bytes, bodiesFraction) {
			return Refused, nil
		}
	} else {
		ended = b.makeRoom(bytes, now)
		if !b.fits(bytes, wholeBudget) {
			return Refused, ended
		}
	}
	b.bodies += bytes
	return Granted, ended
}

// ReleaseBody releases bytes of bodies.
func (b *Budget[O]) ReleaseBody(bytes int64) { b.bodies -= bytes }

// makeRoom removes the worst readers until the bytes fit or no reader is left.
func (b *Budget[O]) makeRoom(size int64, now time.Time) []*Reader[O] {
	var ended []*Reader[O]
	for !b.fits(size, wholeBudget) && len(b.readers) > 0 {
		worst := b.worst(now)
		ended = append(ended, worst)
		b.Remove(worst)
	}
	return ended
}

// worst returns the reader that would use the most memory for the longest time.
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

// cost estimates the memory that the reader will use until it has read everything at its
// present pace, in byte-seconds.
func (r *Reader[O]) cost(now time.Time) float64 {
	pace := float64(max(r.taken, minimumTaken)) / max(now.Sub(r.since), time.Millisecond).Seconds()
	return float64(r.unread) * float64(r.unread) / pace
}

// Check returns an error if the counts are inconsistent, for tests of callers.
func (b *Budget[O]) Check() error {
	sum := int64(0)
	for reader := range b.readers {
		sum += reader.unread
	}
	if sum != b.unread || b.bodies < 0 || b.used() > b.limit {
		return errors.Newf("readers hold %d bytes, but %d are counted; bodies hold %d; the limit is %d", sum, b.unread, b.bodies, b.limit)
	}
	return nil
}
