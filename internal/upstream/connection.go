package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// readBufferSize is the size of a connection's read buffer.
const readBufferSize = 16 << 10

// connection is one connection to a back end.
type connection struct {
	network net.Conn
	raw     syscall.RawConn
	reader  *bufio.Reader
	// idleSince is when the connection was put back into its pool.
	idleSince time.Time
	// idleLimit is how long the back end keeps the connection when it is idle; zero
	// where it did not say.
	idleLimit time.Duration
	// written counts the bytes of the current request that the kernel took.
	written int64
	// armedUntil is the read deadline in force; zero when there is none.
	armedUntil time.Time
	limit      time.Duration
}

func newConnection(network net.Conn) *connection {
	c := &connection{network: network, reader: bufio.NewReaderSize(network, readBufferSize)}
	if tcp, ok := network.(*net.TCPConn); ok {
		c.raw, _ = tcp.SyscallConn()
	}
	return c
}

// usable tells whether an idle connection is still open and silent. It looks
// into the socket's receive queue without waiting: a back end that closed the
// connection, or sent something unasked, makes it unusable.
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

// write sends bytes and counts those that the kernel took.
func (c *connection) write(p []byte) error {
	n, err := c.network.Write(p)
	c.written += int64(n)
	return err
}

// arm makes reads fail after limit of silence. To keep timers off the path of
// every token it moves the deadline only when a quarter of it has passed, so
// silence is detected between limit and 1.25 × limit.
func (c *connection) arm(ctx context.Context, limit time.Duration) {
	if limit <= 0 {
		c.disarm(ctx)
		return
	}
	now := time.Now()
	if c.limit == limit && c.armedUntil.Sub(now) > limit {
		return
	}
	c.limit = limit
	c.armedUntil = now.Add(limit + limit/4)
	_ = c.network.SetReadDeadline(c.armedUntil)
	if ctx.Err() != nil {
		c.interrupt()
	}
}

func (c *connection) disarm(ctx context.Context) {
	if c.armedUntil.IsZero() {
		return
	}
	c.armedUntil = time.Time{}
	c.limit = 0
	_ = c.network.SetReadDeadline(time.Time{})
	if ctx.Err() != nil {
		c.interrupt()
	}
}

// interrupt makes reads and writes in progress fail at once.
func (c *connection) interrupt() {
	_ = c.network.SetDeadline(time.Unix(1, 0))
}

func (c *connection) close() {
	_ = c.network.Close()
}

// pool keeps idle connections to one address, most recently used last.
type pool struct {
	mutex sync.Mutex
	idle  []*connection
}

// take returns a usable connection that has been idle for at most maximumIdle,
// or nil. Connections that are past their time are closed.
func (p *pool) take(now time.Time, maximumIdle time.Duration) *connection {
	for {
		c := p.pop()
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

func (p *pool) pop() *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// put keeps a connection for later, or closes it when the pool is full.
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
// returns how many are left.
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
