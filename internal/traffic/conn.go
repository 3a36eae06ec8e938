package traffic

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/dial"
	"rockwind.example/rockwind/internal/topology"
)

// Dial returns a dial function whose connections are counted by the HTTP requests that are sent on them.
func (c *Counter) Dial(dialer dial.DialFunc) dial.DialFunc { return c.dial(dialer, Other, false) }

// DialFor returns a dial function whose connections carry one kind of calls only.
func (c *Counter) DialFor(call Call, dialer dial.DialFunc) dial.DialFunc {
	return c.dial(dialer, call, true)
}

func (c *Counter) dial(dialer dial.DialFunc, call Call, single bool) dial.DialFunc {
	if c == nil {
		return dialer
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dialer(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.newConn(opened, address, call, single), nil
	}
}

// Listener returns a listener whose connections are counted by the HTTP requests that are received on them.
func (c *Counter) Listener(listener net.Listener) net.Listener {
	if c == nil {
		return listener
	}
	return countingListener{Listener: listener, counter: c}
}

type countingListener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	opened := l.counter.newConn(accepted, "", Other, false)
	opened.accepted = true
	return opened, nil
}

// conn counts the bytes of a connection. HTTP/1.1 without pipelining alternates between requests and responses,
// so the first bytes in the direction of requests after bytes in the other one are a request line, which names
// the call. Bytes that are not a request line leave the call as it is.
type conn struct {
	net.Conn
	counter *Counter
	// name is the address that was dialed; empty if the connection was accepted.
	name     string
	address  netip.AddrPort
	accepted bool
	// single is set if all bytes belong to one call.
	single bool
	call   atomic.Int32
	// requestDue is set if the next bytes in the direction of requests begin a request.
	requestDue atomic.Bool
	// start, startBytes and collecting collect the request line that is being received: net/http reads the first
	// byte of a request by itself. Only Read uses them.
	start      [maxRequestLine]byte
	startBytes int
	collecting bool
	// located holds the distance and the generation of the peers from which it was determined.
	located atomic.Uint64
}

func (c *Counter) newConn(opened net.Conn, name string, call Call, single bool) *conn {
	created := &conn{Conn: opened, counter: c, name: name, single: single}
	if tcp, isTCP := opened.RemoteAddr().(*net.TCPAddr); isTCP {
		created.address = unmap(tcp.AddrPort())
	}
	created.call.Store(int32(call))
	created.requestDue.Store(true)
	created.located.Store(uint64(unknownDistance))
	return created
}

// locationBits is the width of the distance in conn.located.
const locationBits = 2

// distance returns the distance of the peer. It is looked up once for each change of the peers.
func (c *conn) distance() topology.Distance {
	current := c.counter.peers.Load()
	located := c.located.Load()
	if located>>locationBits == current.generation {
		return topology.Distance(located & (1<<locationBits - 1))
	}
	distance := current.distance(c.name, c.address)
	c.located.Store(current.generation<<locationBits | uint64(distance))
	return distance
}

func (c *conn) count(direction Direction, bytes int) {
	c.counter.add(direction, c.distance(), Call(c.call.Load()), bytes)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		switch {
		case c.single:
		case c.accepted:
			c.receiveRequest(p[:n])
		default:
			c.requestDue.Store(true)
		}
		c.count(Received, n)
	}
	return n, err
}

// receiveRequest looks for a request line in received bytes.
func (c *conn) receiveRequest(p []byte) {
	if c.requestDue.Load() && c.requestDue.Swap(false) {
		c.startBytes, c.collecting = 0, true
	}
	if !c.collecting {
		return
	}
	c.startBytes += copy(c.start[c.startBytes:], p)
	call, found := classify(c.start[:c.startBytes])
	if found {
		c.call.Store(int32(call))
	}
	c.collecting = !found && c.startBytes < len(c.start)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	switch {
	case c.single:
	case c.accepted:
		// The next request can't arrive before this response is written.
		c.requestDue.Store(true)
	case c.requestDue.Load() && c.requestDue.Swap(false):
		// net/http sends the request line with the first bytes of a request.
		if call, found := classify(p[:min(len(p), maxRequestLine)]); found {
			c.call.Store(int32(call))
		}
	}
	n, err := c.Conn.Write(p)
	c.count(Sent, n)
	return n, err
}

// CloseWrite closes the sending side if the connection has one. net/http uses it to deliver a response before it
// closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return errors.New("the connection has no sending side to close")
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.New("the connection has no descriptor")
}
