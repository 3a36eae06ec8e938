package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// readBufferSize is the size of the read buffer of a connection. A process keeps hundreds of connections, most of
// them idle. Larger reads of bodies bypass the buffer.
const readBufferSize = 4 << 10

// connection is a connection to a backend.
type connection struct {
	network net.Conn
	raw     syscall.RawConn
	limited *limitedReader
	reader  *bufio.Reader
	// idleSince is when the connection was returned to its pool.
	idleSince time.Time
	// idleLimit is how long the backend keeps the connection open while idle, zero if
	// it did not say.
	idleLimit time.Duration
	// carried holds the hashes of the identifiers of all requests that were sent on the connection.
	carried []uint32
	// written counts the bytes of the current request that the kernel accepted.
	written int64
	// deadline is the current read deadline, zero if there is none. It was set for the
	// timeout in limit.
	deadline time.Time
	limit    time.Duration
}

func newConnection(network net.Conn) *connection {
	limited := &limitedReader{source: network, limit: unlimited}
	c := &connection{network: network, limited: limited, reader: bufio.NewReaderSize(limited, readBufferSize)}
	if socket, ok := network.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn()
	}
	return c
}

// limitedReader reads from a connection, within a limit while there is one.
type limitedReader struct {
	source io.Reader
	// limit is the number of bytes that may be read, or unlimited.
	limit int
}

const unlimited = -1

func (l *limitedReader) clear() { l.limit = unlimited }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.limit == unlimited {
		return l.source.Read(p)
	}
	if l.limit == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.limit)])
	l.limit -= n
	return n, err
}

// usable reports whether an idle connection is still open and has no unread data.
// It peeks into the socket's receive queue without waiting: a connection that the
// backend closed, or on which it sent unrequested data, is unusable.
func (c *connection) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	silent := false
	err := c.raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, _, probeErr := syscall.Recvfrom(int(descriptor), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = probeErr == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}

// noIdentifier is the hash of requests without an identifier, which connections do not remember.
const noIdentifier = 0

// identifierHash returns the hash by which connections remember an identifier. Connections may be avoided
// needlessly where hashes collide.
func identifierHash(id string) uint32 {
	if id == "" {
		return noIdentifier
	}
	return max(noIdentifier+1, uint32(xxhash.Sum64String(id)))
}

// hasCarried reports whether a request with the identifier was sent on the connection. A surplus response
// to that request may still arrive, and the identifier would not distinguish it from the response to
// another attempt.
func (c *connection) hasCarried(identifier uint32) bool {
	return slices.Contains(c.carried, identifier)
}

// addCarried notes that a request is sent on the connection.
func (c *connection) addCarried(identifier uint32) {
	if identifier != noIdentifier {
		c.carried = append(c.carried, identifier)
	}
}

// write sends bytes and counts those that the kernel accepted.
func (c *connection) write(p []byte) error {
	n, err := c.network.Write(p)
	c.written += int64(n)
	return err
}

// setReadTimeout makes reads fail if no data arrives within limit. To avoid setting
// a timer for every token it moves the deadline only after a quarter of limit, so
// reads fail after limit to 1.25 × limit.
func (c *connection) setReadTimeout(ctx context.Context, limit time.Duration) {
	if limit <= 0 {
		c.clearReadTimeout(ctx)
		return
	}
	now := time.Now()
	if c.limit == limit && c.deadline.Sub(now) > limit {
		return
	}
	c.limit = limit
	c.deadline = now.Add(limit + limit/4)
	_ = c.network.SetReadDeadline(c.deadline)
	if ctx.Err() != nil {
		c.interrupt()
	}
}

// setReadDeadline makes reads fail after a time, whether data arrives or not.
func (c *connection) setReadDeadline(ctx context.Context, deadline time.Time) {
	c.limit, c.deadline = 0, deadline
	_ = c.network.SetReadDeadline(deadline)
	if ctx.Err() != nil {
		c.interrupt()
	}
}

func (c *connection) clearReadTimeout(ctx context.Context) {
	if c.deadline.IsZero() {
		return
	}
	c.deadline = time.Time{}
	c.limit = 0
	_ = c.network.SetReadDeadline(time.Time{})
	if ctx.Err() != nil {
		c.interrupt()
	}
}

// interrupt makes reads and writes fail immediately, including those in progress.
func (c *connection) interrupt() {
	_ = c.network.SetDeadline(time.Unix(1, 0))
}

func (c *connection) close() {
	_ = c.network.Close()
}

// pool holds the idle connections to one address, most recently used last.
type pool struct {
	mutex sync.Mutex
	idle  []*connection
}

// take returns a usable connection that has been idle for at most maximumIdle and has not
// carried a request with the identifier, or nil. It closes unusable connections.
func (p *pool) take(now time.Time, maximumIdle time.Duration, identifier uint32) *connection {
	for {
		c := p.pop(identifier)
		if c == nil {
			return nil
		}
		idle := now.Sub(c.idleSince)
		if idle <= maximumIdle && (c.idleLimit == 0 || idle <= c.idleLimit) && c.usable() {
			return c
		}
		c.close()
	}
}

// pop removes the most recently used connection that has not carried a request with the identifier.
func (p *pool) pop(identifier uint32) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for at := len(p.idle) - 1; at >= 0; at-- {
		if c := p.idle[at]; !c.hasCarried(identifier) {
			p.idle = slices.Delete(p.idle, at, at+1)
			return c
		}
	}
	return nil
}

// put returns a connection to the pool, or closes it if the pool is full.
func (p *pool) put(c *connection, now time.Time, capacity int) {
	c.idleSince = now
	c.written = 0
	p.mutex.Lock()
	full := len(p.idle) >= capacity
	if !full {
		p.idle = append(p.idle, c)
	}
	p.mutex.Unlock()
	if full {
		c.close()
	}
}

// expire closes connections that have been idle for longer than maximumIdle and
// returns how many remain.
func (p *pool) expire(now time.Time, maximumIdle time.Duration) int {
	p.mutex.Lock()
	kept := 0
	for kept < len(p.idle) && now.Sub(p.idle[kept].idleSince) > maximumIdle {
		kept++
	}
	expired := append([]*connection(nil), p.idle[:kept]...)
	p.idle = append(p.idle[:0], p.idle[kept:]...)
	left := len(p.idle)
	p.mutex.Unlock()
	for _, c := range expired {
		c.close()
	}
	return left
}
