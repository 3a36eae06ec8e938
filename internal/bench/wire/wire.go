// Package wire measures the bytes that connections send and receive, including
// HTTP, TCP and IP headers.
//
// Payload and segments are counted by the kernel for each connection. Segments on
// loopback are larger than on Ethernet, so the headers of the additional segments
// that Ethernet would need are added.
package wire

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// packetHeader is the size of the IPv4 and TCP headers of one segment, with
	// the timestamp option, in bytes.
	packetHeader = 52
	// segmentBytes is the payload of a full segment on Ethernet, in bytes.
	segmentBytes = 1448
	// closingSegments is the number of segments in each direction of a connection
	// shutdown, a FIN and an ACK, which follow the last reading of the kernel's
	// counters.
	closingSegments = 2
)

// Traffic is the number of bytes in each direction.
type Traffic struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

// Plus returns the sum of two counts.
func (t Traffic) Plus(other Traffic) Traffic {
	return Traffic{Sent: t.Sent + other.Sent, Received: t.Received + other.Received}
}

// Minus returns the traffic since an earlier count.
func (t Traffic) Minus(earlier Traffic) Traffic {
	return Traffic{Sent: t.Sent - earlier.Sent, Received: t.Received - earlier.Received}
}

// Total returns the bytes of both directions.
func (t Traffic) Total() int64 { return t.Sent + t.Received }

// Counter sums the traffic of one daemon's connections and can simulate network
// failures. The zero value is ready to use. Its methods are safe for concurrent
// use.
type Counter struct {
	mutex sync.Mutex
	open  map[*countedConnection]struct{}
	ended Traffic
	cut   bool
	// blocked holds the addresses to which connections are refused.
	blocked map[string]bool
}

// Traffic returns the traffic of all connections so far.
func (c *Counter) Traffic() Traffic {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sum := c.ended
	for connection := range c.open {
		sum = sum.Plus(connection.traffic())
	}
	return sum
}

// errDisconnected is returned for connection attempts during a Cut or to a blocked address.
var errDisconnected = errors.New("connection blocked by simulated network failure")

// Cut closes all connections and refuses new ones until Restore is called, to
// simulate the loss of the machine.
func (c *Counter) Cut() {
	c.mutex.Lock()
	c.cut = true
	var open []*countedConnection
	for connection := range c.open {
		open = append(open, connection)
	}
	c.mutex.Unlock()
	for _, connection := range open {
		// The connection may already be closed.
		_ = connection.Close()
	}
}

// Restore allows connections again after Cut.
func (c *Counter) Restore() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cut = false
}

// Block closes the connections that were dialled to the given addresses and
// refuses new ones. Each call replaces the addresses of the previous one.
func (c *Counter) Block(addresses ...string) {
	c.mutex.Lock()
	c.blocked = make(map[string]bool, len(addresses))
	for _, address := range addresses {
		c.blocked[address] = true
	}
	var broken []*countedConnection
	for connection := range c.open {
		if c.blocked[connection.dialled] {
			broken = append(broken, connection)
		}
	}
	c.mutex.Unlock()
	for _, connection := range broken {
		// The connection may already be closed.
		_ = connection.Close()
	}
}

func (c *Counter) isBlocked(address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cut || c.blocked[address]
}

// add starts to count a new connection, or closes it if connections are cut or its
// address is blocked. The address is empty for an accepted connection.
func (c *Counter) add(plain net.Conn, dialled string) (net.Conn, error) {
	connection := &countedConnection{Conn: plain, counter: c, dialled: dialled}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cut || c.blocked[dialled] {
		return nil, errors.CombineErrors(errDisconnected, plain.Close())
	}
	if c.open == nil {
		c.open = make(map[*countedConnection]struct{})
	}
	c.open[connection] = struct{}{}
	return connection, nil
}

// remove adds the final count of a closing connection to the sum.
func (c *Counter) remove(connection *countedConnection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, found := c.open[connection]; !found {
		return
	}
	delete(c.open, connection)
	closing := Traffic{Sent: closingSegments * packetHeader, Received: closingSegments * packetHeader}
	c.ended = c.ended.Plus(connection.traffic()).Plus(closing)
}

// dialTimeout bounds a connection attempt.
const dialTimeout = time.Second

// Dial opens a counted TCP connection.
func (c *Counter) Dial(ctx context.Context, address string) (net.Conn, error) {
	if c.isBlocked(address) {
		return nil, errDisconnected
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.add(connection, address)
}

// Client returns an HTTP client with counted connections. It replaces the
// DialContext function of the transport.
func (c *Counter) Client(transport *http.Transport) *http.Client {
	transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		return c.Dial(ctx, address)
	}
	return &http.Client{Transport: transport}
}

// Listener returns a listener whose connections are counted.
func (c *Counter) Listener(listener net.Listener) net.Listener {
	return &countedListener{Listener: listener, counter: c}
}

type countedListener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		counted, err := l.counter.add(connection, "")
		if err == nil {
			return counted, nil
		}
	}
}

// countedConnection is a connection that also counts the headers of the additional
// segments that Ethernet would need.
type countedConnection struct {
	net.Conn
	counter *Counter
	// dialled is the address that was dialled, empty for an accepted connection.
	dialled string
	// extraSent and extraReceived are the header bytes of the additional segments
	// that Ethernet would need.
	extraSent, extraReceived atomic.Int64
}

// extraHeaders returns the header bytes of the segments beyond the first that the
// payload of one read or write needs on Ethernet.
func extraHeaders(payload int) int64 {
	if payload <= segmentBytes {
		return 0
	}
	return int64((payload-1)/segmentBytes) * packetHeader
}

// Read implements net.Conn.
func (c *countedConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.extraReceived.Add(extraHeaders(count))
	return count, err
}

// Write implements net.Conn.
func (c *countedConnection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.extraSent.Add(extraHeaders(count))
	return count, err
}

// Close implements net.Conn.
func (c *countedConnection) Close() error {
	c.counter.remove(c)
	return c.Conn.Close()
}

// traffic returns the traffic of the connection so far.
func (c *countedConnection) traffic() Traffic {
	kernel := kernelTraffic(c.Conn)
	return kernel.Plus(Traffic{Sent: c.extraSent.Load(), Received: c.extraReceived.Load()})
}
