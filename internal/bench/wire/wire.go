// Package wire counts the bytes that connections put on and take off the wire,
// with HTTP, TCP and IP headers, so that the cost of control traffic is measured
// and not worked out from payload sizes.
//
// Payload and segments are those that the kernel counts for each connection.
// Segments on loopback are larger than on an Ethernet, so payload that would
// need more segments there is charged their headers too.
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
	// segmentBytes is the payload of a full segment on an Ethernet.
	segmentBytes = 1448
	// closingSegments is the segments of an orderly end in each direction, which
	// come after the kernel's last count: one that closes and one that
	// acknowledges.
	closingSegments = 2
)

// Traffic is a number of bytes in each direction.
type Traffic struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
}

// Plus returns the sum of two counts.
func (t Traffic) Plus(other Traffic) Traffic {
	return Traffic{Sent: t.Sent + other.Sent, Received: t.Received + other.Received}
}

// Minus returns what was added since an earlier count.
func (t Traffic) Minus(earlier Traffic) Traffic {
	return Traffic{Sent: t.Sent - earlier.Sent, Received: t.Received - earlier.Received}
}

// Total is the bytes of both directions.
func (t Traffic) Total() int64 { return t.Sent + t.Received }

// Counter sums the traffic of one daemon. The zero value is ready for use, and
// its methods may be called by any goroutine.
type Counter struct {
	mutex sync.Mutex
	open  map[*countedConnection]struct{}
	ended Traffic
	cut   bool
	// blocked holds addresses that cannot be reached.
	blocked map[string]bool
}

// Traffic is what all connections carried so far.
func (c *Counter) Traffic() Traffic {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sum := c.ended
	for connection := range c.open {
		sum = sum.Plus(connection.traffic())
	}
	return sum
}

// errCut is the error of a connection attempt while the links are cut.
var errCut = errors.New("the link is cut")

// Cut breaks all connections and refuses new ones until Mend, as if the machine
// had been lost.
func (c *Counter) Cut() {
	c.mutex.Lock()
	c.cut = true
	var open []*countedConnection
	for connection := range c.open {
		open = append(open, connection)
	}
	c.mutex.Unlock()
	for _, connection := range open {
		// A connection that has just ended by itself is as good.
		_ = connection.Close()
	}
}

// Restore ends a Cut.
func (c *Counter) Restore() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cut = false
}

// Block breaks the connections that were dialled to some addresses and refuses
// new ones, until Block is called with other addresses or none.
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
		// A connection that has just ended by itself is as good.
		_ = connection.Close()
	}
}

func (c *Counter) isBlocked(address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cut || c.blocked[address]
}

// add counts a new connection, or closes it where its link is cut. The address is
// empty for a connection that was accepted.
func (c *Counter) add(plain net.Conn, dialled string) (net.Conn, error) {
	connection := &countedConnection{Conn: plain, counter: c, dialled: dialled}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cut || c.blocked[dialled] {
		return nil, errors.CombineErrors(errCut, plain.Close())
	}
	if c.open == nil {
		c.open = make(map[*countedConnection]struct{})
	}
	c.open[connection] = struct{}{}
	return connection, nil
}

// remove keeps the final count of a connection that ends.
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
		return nil, errCut
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.add(connection, address)
}

// Client returns an HTTP client with counted connections. The transport is
// changed to dial them; its pools and timeouts stay.
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

// countedConnection is one connection with the part of its count that the
// kernel does not have.
type countedConnection struct {
	net.Conn
	counter *Counter
	// dialled is the address that was dialled, empty for an accepted connection.
	dialled string
	// extraSent and extraReceived are headers of segments that an Ethernet would
	// need on top of those on loopback.
	extraSent, extraReceived atomic.Int64
}

// extraHeaders is the headers of the segments that payload of one transfer
// needs beyond the first.
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

// traffic is what the connection carried so far.
func (c *countedConnection) traffic() Traffic {
	kernel := kernelTraffic(c.Conn)
	return kernel.Plus(Traffic{Sent: c.extraSent.Load(), Received: c.extraReceived.Load()})
}
