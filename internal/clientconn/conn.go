package clientconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rockwind.example/rockwind/internal/relaybudget"
)

const (
	// stallTimeout bounds how long a client may read none of its buffered bytes if its request
	// has no deadline, and how long the kernel waits for an acknowledgment. It is longer than
	// the 2 s after which a client gives up a silent stream, and short enough that unreachable
	// clients soon release their memory. The kernel accepts more bytes only when a third of its
	// buffer is free, so a client that reads less than 4 KB a second counts as stalled.
	stallTimeout = 5 * time.Second
	// waitingStallTimeout is the same for a response that waits for memory. It is shorter
	// because the server waits as well, with its slot occupied, and would cut off the response
	// after a few seconds.
	waitingStallTimeout = 2 * time.Second
)

// errEnded is returned by writes to a connection whose response was cut off.
var errEnded = errors.New("response was cut off: client reads too slowly")

// expiredDeadline makes reads fail immediately.
var expiredDeadline = time.Unix(1, 0)

// chunk is a buffered piece of a response. Its total size is chunkSize, a size class of the
// allocator.
type chunk struct {
	bytes         [chunkSize - 2*wordSize]byte
	read, written int
}

const wordSize = 8

// Conn is the connection of a client. It must only be written to by one goroutine at a time.
type Conn struct {
	net.Conn
	raw     syscall.RawConn
	buffers *Buffers
	reader  *relaybudget.Reader[*Conn]
	// room is signaled when a write that waits for memory may try again.
	room chan struct{}

	// tryWriteFunc is tryWrite, bound once to avoid allocations; pending, sent and writeErr are
	// its argument and results.
	tryWriteFunc func(descriptor uintptr) bool
	pending      []byte
	sent         int
	writeErr     error

	mutex sync.Mutex
	// requestID and deadline are those of the request in progress.
	requestID string
	deadline  time.Time
	// chunks are the unread chunks, and draining is set while a goroutine writes them.
	chunks   []*chunk
	draining bool
	// reason is why the response was cut off, empty if it was not.
	reason Reason
	// closing and closingWrite are set if the connection, or only its write side, is to be closed
	// once the buffer is empty.
	closing, closingWrite bool

	closeOnce sync.Once

	// idleTimeout replaces that of the server at the next read deadline, unless it is zero.
	idleTimeout atomic.Int64
}

func newConn(accepted net.Conn, raw syscall.RawConn, buffers *Buffers) *Conn {
	created := &Conn{Conn: accepted, raw: raw, buffers: buffers, room: make(chan struct{}, 1)}
	created.reader = relaybudget.NewReader(created)
	created.tryWriteFunc = created.tryWrite
	return created
}

// BeginRequest sets the ID and deadline of the request in progress. What the client has not
// read by the deadline is dropped.
func (c *Conn) BeginRequest(requestID string, deadline time.Time) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.requestID, c.deadline = requestID, deadline
}

// EndReason returns why the response was cut off to save memory, empty if it was not.
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

// Write implements net.Conn. It returns once all bytes are written or buffered, and blocks only
// while the buffers have no memory for the connection.
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
		n, err := c.buffer(p[written:])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// state reports whether bytes are buffered, and returns the error for writes.
func (c *Conn) state() (behind bool, failure error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.draining, c.failure()
}

// failure returns the error for writes if the response was cut off. The mutex must be held.
func (c *Conn) failure() error {
	if c.reason == "" {
		return nil
	}
	return errEnded
}

// writeNow writes as much as the kernel accepts without blocking.
func (c *Conn) writeNow(p []byte) (int, error) {
	c.pending, c.sent, c.writeErr = p, 0, nil
	err := c.raw.Write(c.tryWriteFunc)
	c.pending = nil
	if err != nil {
		return c.sent, err
	}
	return c.sent, c.writeErr
}

// tryWrite writes once to a non-blocking descriptor.
func (c *Conn) tryWrite(descriptor uintptr) bool {
	for {
		n, err := syscall.Write(int(descriptor), c.pending)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
		case err != nil:
			c.writeErr = &net.OpError{Op: "write", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
		default:
			c.sent = n
		}
		return true
	}
}

// buffer buffers as many of the bytes as fit into one chunk.
func (c *Conn) buffer(p []byte) (int, error) {
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

// addToLast appends as many bytes to the last chunk as fit.
func (c *Conn) addToLast(p []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reason != "" || len(c.chunks) == 0 {
		return 0, c.failure()
	}
	last := c.chunks[len(c.chunks)-1]
	n := copy(last.bytes[last.written:], p)
	last.written += n
	return n, nil
}

// addChunk adds a chunk whose memory was reserved.
func (c *Conn) addChunk(p []byte) (int, error) {
	added := c.buffers.chunks.Get().(*chunk)
	// Once it is added, drain may write and recycle it at any time.
	n := copy(added.bytes[:], p)
	added.read, added.written = 0, n
	c.mutex.Lock()
	failure := c.failure()
	if failure == nil {
		c.chunks = append(c.chunks, added)
		if !c.draining {
			c.draining = true
			go c.drain()
		}
	}
	c.mutex.Unlock()
	if failure != nil {
		c.buffers.remove(c)
		return 0, failure
	}
	return n, nil
}

// awaitRoom waits until there may be memory, and cuts off the response if the client reads
// nothing in the meantime.
func (c *Conn) awaitRoom() {
	stalled := time.NewTimer(waitingStallTimeout)
	defer stalled.Stop()
	select {
	case <-c.room:
	case <-stalled.C:
		c.end(ReasonStalled, nil)
	}
}

// signal wakes a write that waits for memory.
func (c *Conn) signal() {
	select {
	case c.room <- struct{}{}:
	default:
	}
}

// drain writes the buffered bytes until none are left.
func (c *Conn) drain() {
	for {
		piece, deadline := c.next()
		if piece == nil {
			return
		}
		_ = c.Conn.SetWriteDeadline(deadline)
		n, err := c.Conn.Write(piece)
		if c.advance(n) {
			c.buffers.releaseChunk(c)
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

// next returns the next bytes to write and their deadline. If none are left, it returns nil and
// closes the connection if that was requested.
func (c *Conn) next() ([]byte, time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reason != "" {
		return nil, time.Time{}
	}
	if len(c.chunks) > 0 {
		deadline := c.deadline
		if deadline.IsZero() {
			deadline = time.Now().Add(stallTimeout)
		}
		first := c.chunks[0]
		return first.bytes[first.read:first.written], deadline
	}
	_ = c.Conn.SetWriteDeadline(time.Time{})
	c.draining, c.chunks = false, nil
	if c.closingWrite {
		_ = c.closeWriteNow()
	}
	if c.closing {
		_ = c.closeNow()
	}
	return nil, time.Time{}
}

// advance records that bytes of the first chunk were written, and reports whether the chunk is
// finished.
func (c *Conn) advance(n int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reason != "" || len(c.chunks) == 0 {
		return false
	}
	first := c.chunks[0]
	first.read += n
	if first.read < first.written {
		return false
	}
	c.chunks[0] = nil
	c.chunks = c.chunks[1:]
	c.buffers.chunks.Put(first)
	return true
}

// end drops the buffered bytes and resets the connection, so that the response does not look
// complete.
func (c *Conn) end(reason Reason, cause error) {
	c.mutex.Lock()
	if c.reason != "" {
		c.mutex.Unlock()
		return
	}
	c.reason = reason
	unread := len(c.chunks) * chunkSize
	c.chunks = nil
	requestID := c.requestID
	c.mutex.Unlock()
	since, taken := c.buffers.remove(c)
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
		RequestID: requestID, Reason: reason, Unread: int64(unread), Taken: taken, Behind: behind, Cause: cause,
	})
}

// Reset drops the buffered bytes and resets the connection, so that a response whose end only the
// connection marks does not look complete.
func (c *Conn) Reset() { c.end(ReasonIncomplete, nil) }

// Close implements net.Conn. The client still receives the buffered bytes.
func (c *Conn) Close() error {
	c.mutex.Lock()
	if c.draining && c.reason == "" {
		c.closing = true
		c.mutex.Unlock()
		// Unblock a read in progress.
		return c.Conn.SetReadDeadline(expiredDeadline)
	}
	c.mutex.Unlock()
	c.buffers.remove(c)
	return c.closeNow()
}

// closeNow closes the connection even if bytes are buffered.
func (c *Conn) closeNow() error {
	c.closeOnce.Do(func() { c.buffers.open.Add(-1) })
	return c.Conn.Close()
}

// SetWriteDeadline implements net.Conn. It does nothing, because writes only wait for memory and
// the deadline of buffered bytes is set by BeginRequest.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn. The first deadline after the connection became idle is that of the HTTP
// server's IdleTimeout, which can't change while the server runs.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	if timeout := time.Duration(c.idleTimeout.Swap(0)); timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn. It only applies to reads.
func (c *Conn) SetDeadline(deadline time.Time) error { return c.SetReadDeadline(deadline) }

// CloseWrite closes the write side of the connection once the client has received the buffered
// bytes.
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
