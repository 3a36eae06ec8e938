package clientconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"rockwind.example/rockwind/internal/relaybudget"
)

const (
	// stallLimit is how long a client may take nothing of what is kept for it where its
	// request gave no end, and how long the kernel waits for one that accepts nothing: longer
	// than the 2 s after which a client of a stream gives up a silent one, and so short that a
	// client that has gone dark costs memory for no longer. The kernel takes more only when a
	// third of its buffer is free, so that one slower than 4 KB a second takes nothing for as
	// long.
	stallLimit = 5 * time.Second
	// shortStallLimit is the same for an answer that waits for room: its server waits as
	// well, would cut the answer off after a few seconds, and has a place taken until then.
	shortStallLimit = 2 * time.Second
)

// errEnded is the failure of writes to a connection whose answer was ended.
var errEnded = errors.New("the answer was ended: the client reads too slowly")

// past is a deadline that is over.
var past = time.Unix(1, 0)

// chunk is a piece of an answer that the client has not read. It is chunkSize large in all, a
// size that the allocator has.
type chunk struct {
	bytes         [chunkSize - 2*wordSize]byte
	read, written int
}

// wordSize is the size of an int in bytes.
const wordSize = 8

// Conn is the connection of a client. As with any server's connection, one goroutine writes
// at a time.
type Conn struct {
	net.Conn
	raw     syscall.RawConn
	buffers *Buffers
	reader  *relaybudget.Reader[*Conn]
	// room is told when a write that waits for room may ask again.
	room chan struct{}

	// attempt is tryWrite, bound once; unsent, sent and failed are its argument and results.
	attempt func(descriptor uintptr) bool
	unsent  []byte
	sent    int
	failed  error

	mutex sync.Mutex
	// exchange and ends tell of the request in progress.
	exchange string
	ends     time.Time
	// kept are the chunks that the client has not read, and draining tells that a
	// goroutine writes them.
	kept     []*chunk
	draining bool
	// reason is why the answer was ended, empty where it was not.
	reason Reason
	// closing and closingWrite tell what is to be closed once all is read.
	closing, closingWrite bool

	closeOnce sync.Once
}

func newConn(accepted net.Conn, raw syscall.RawConn, buffers *Buffers) *Conn {
	created := &Conn{Conn: accepted, raw: raw, buffers: buffers, room: make(chan struct{}, 1)}
	created.reader = relaybudget.NewReader(created)
	created.attempt = created.tryWrite
	return created
}

// BeginRequest tells which request is in progress on the connection, and when its client no longer
// waits: what it has not read by then is dropped.
func (c *Conn) BeginRequest(exchange string, ends time.Time) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.exchange, c.ends = exchange, ends
}

// EndReason is why the answer was ended to spare memory; empty where it was not.
func (c *Conn) EndReason() Reason {
	if c == nil {
		return ""
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reason == ReasonWriteFailed {
		return ""
	}
	return c.reason
}

// Write implements net.Conn. It returns once all is written or kept, and waits only where
// the buffers have no room for the connection.
func (c *Conn) Write(p []byte) (int, error) {
	behind, err := c.state()
	if err != nil {
		return 0, err
	}
	written := 0
	if !behind {
		written, err = c.writeNow(p)
		if err != nil || written == len(p) {
			return written, err
		}
	}
	for written < len(p) {
		n, err := c.keep(p[written:])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// state tells whether bytes are kept, and the failure of the connection.
func (c *Conn) state() (behind bool, failure error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.draining, c.failure()
}

// failure is the error of writes to a connection whose answer was ended. The mutex is held.
func (c *Conn) failure() error {
	if c.reason == "" {
		return nil
	}
	return errEnded
}

// writeNow writes what the kernel takes at once.
func (c *Conn) writeNow(p []byte) (int, error) {
	c.unsent, c.sent, c.failed = p, 0, nil
	err := c.raw.Write(c.attempt)
	c.unsent = nil
	if err != nil {
		return c.sent, err
	}
	return c.sent, c.failed
}

// tryWrite writes to a descriptor that does not block, once.
func (c *Conn) tryWrite(descriptor uintptr) bool {
	for {
		n, err := syscall.Write(int(descriptor), c.unsent)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
		case err != nil:
			c.failed = &net.OpError{Op: "write", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
		default:
			c.sent = n
		}
		return true
	}
}

// keep keeps a part of the bytes, as many as fit in one chunk.
func (c *Conn) keep(p []byte) (int, error) {
	if n, err := c.addToLast(p); n > 0 || err != nil {
		return n, err
	}
	switch c.buffers.reserve(c) {
	case relaybudget.Granted:
		return c.addChunk(p)
	case relaybudget.Refused:
		c.end(ReasonMemoryNeeded, nil)
	default:
		c.awaitRoom()
	}
	_, err := c.state()
	return 0, err
}

// addToLast adds bytes to the last chunk, as far as it has room.
func (c *Conn) addToLast(p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reason != "" || len(c.kept) == 0 {
		return 0, c.failure()
	}
	last := c.kept[len(c.kept)-1]
	n := copy(last.bytes[last.written:], p)
	last.written += n
	return n, nil
}

// addChunk adds a chunk whose room was reserved.
func (c *Conn) addChunk(p []byte) (int, error) {
	added := c.buffers.chunks.Get().(*chunk)
	// Once it is added it may be written and used again by others at any time.
	n := copy(added.bytes[:], p)
	added.read, added.written = 0, n
	c.mutex.Lock()
	failure := c.failure()
	if failure == nil {
		c.kept = append(c.kept, added)
		if !c.draining {
			c.draining = true
			go c.drain()
		}
	}
	c.mutex.Unlock()
	if failure != nil {
		c.buffers.leave(c)
		return 0, failure
	}
	return n, nil
}

// awaitRoom waits until the connection may have room, and ends its answer where the client
// takes nothing meanwhile.
func (c *Conn) awaitRoom() {
	stalled := time.NewTimer(shortStallLimit)
	defer stalled.Stop()
	select {
	case <-c.room:
	case <-stalled.C:
		c.end(ReasonStalled, nil)
	}
}

// signal lets a write that waits for room ask again.
func (c *Conn) signal() {
	select {
	case c.room <- struct{}{}:
	default:
	}
}

// drain writes what is kept until nothing is left.
func (c *Conn) drain() {
	for {
		piece, deadline := c.next()
		if piece == nil {
			return
		}
		_ = c.Conn.SetWriteDeadline(deadline)
		n, err := c.Conn.Write(piece)
		if c.advance(n) {
			c.buffers.took(c)
		}
		if n > 0 {
			c.signal()
		}
		if err != nil && (n == 0 || !errors.Is(err, os.ErrDeadlineExceeded)) {
			c.end(ReasonWriteFailed, err)
			return
		}
	}
}

// next returns the next piece to be written and until when; nil where none is left, and the
// connection is as the writer left it then.
func (c *Conn) next() ([]byte, time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reason != "" {
		return nil, time.Time{}
	}
	if len(c.kept) > 0 {
		deadline := c.ends
		if deadline.IsZero() {
			deadline = time.Now().Add(stallLimit)
		}
		first := c.kept[0]
		return first.bytes[first.read:first.written], deadline
	}
	_ = c.Conn.SetWriteDeadline(time.Time{})
	c.draining, c.kept = false, nil
	if c.closingWrite {
		_ = c.closeWriteNow()
	}
	if c.closing {
		_ = c.closeNow()
	}
	return nil, time.Time{}
}

// advance tells that so many bytes of the first chunk were written, and whether it was the
// last of the chunk.
func (c *Conn) advance(n int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reason != "" || len(c.kept) == 0 {
		return false
	}
	first := c.kept[0]
	first.read += n
	if first.read < first.written {
		return false
	}
	c.kept[0] = nil
	c.kept = c.kept[1:]
	c.buffers.chunks.Put(first)
	return true
}

// end drops what is kept and resets the connection, so that the answer does not look whole.
func (c *Conn) end(reason Reason, cause error) {
	c.mutex.Lock()
	if c.reason != "" {
		c.mutex.Unlock()
		return
	}
	c.reason = reason
	unread := len(c.kept) * chunkSize
	c.kept = nil
	exchange := c.exchange
	c.mutex.Unlock()
	since, taken := c.buffers.leave(c)
	behind := time.Duration(0)
	if unread > 0 {
		behind = time.Since(since)
	}
	if lingering, found := c.Conn.(interface{ SetLinger(seconds int) error }); found {
		_ = lingering.SetLinger(0)
	}
	_ = c.closeNow()
	c.signal()
	c.buffers.ended(EndedResponse{
		RequestID: exchange, Reason: reason, Unread: int64(unread), Taken: taken, Behind: behind, Cause: cause,
	})
}

// Close implements net.Conn. The client still gets what is kept for it.
func (c *Conn) Close() error {
	c.mutex.Lock()
	if c.draining && c.reason == "" {
		c.closing = true
		c.mutex.Unlock()
		// Nobody reads from it any more.
		return c.SetReadDeadline(past)
	}
	c.mutex.Unlock()
	c.buffers.leave(c)
	return c.closeNow()
}

// closeNow closes the connection whatever is kept.
func (c *Conn) closeNow() error {
	c.closeOnce.Do(func() { c.buffers.open.Add(-1) })
	return c.Conn.Close()
}

// SetWriteDeadline implements net.Conn. It does nothing: writes wait for room only, and what
// is kept has a deadline by Begin.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn, for reads.
func (c *Conn) SetDeadline(deadline time.Time) error { return c.SetReadDeadline(deadline) }

// CloseWrite tells the client that nothing more comes, once it has what is kept for it.
func (c *Conn) CloseWrite() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.draining && c.reason == "" {
		c.closingWrite = true
		return nil
	}
	return c.closeWriteNow()
}

func (c *Conn) closeWriteNow() error {
	if half, found := c.Conn.(interface{ CloseWrite() error }); found {
		return half.CloseWrite()
	}
	return nil
}
