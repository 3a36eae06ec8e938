// Package wire counts the bytes that a client puts on and takes off the wire,
// HTTP headers included, so that the cost of control traffic is measured and
// not worked out from payload sizes.
package wire

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// packetHeader is the size of the IP and TCP headers of one segment, with the
// timestamp option.
const packetHeader = 52

// segmentBytes is the payload of a full segment on an Ethernet.
const segmentBytes = 1448

// Counter sums the traffic of one hollow daemon.
type Counter struct {
	sent, received atomic.Int64
}

// Sent is the bytes sent: payload, plus the IP and TCP headers of its segments
// and of the acknowledgements of what was received.
func (c *Counter) Sent() int64 { return c.sent.Load() }

// Received is the bytes received, headers likewise.
func (c *Counter) Received() int64 { return c.received.Load() }

// onWire is what a transfer of payload bytes costs in its own direction.
func onWire(payload int) int64 {
	segments := (payload + segmentBytes - 1) / segmentBytes
	return int64(payload + segments*packetHeader)
}

func (c *Counter) wrote(payload int) {
	c.sent.Add(onWire(payload))
	c.received.Add(packetHeader)
}

func (c *Counter) read(payload int) {
	c.received.Add(onWire(payload))
	c.sent.Add(packetHeader)
}

// Timeouts and pools of a counted client.
const (
	dialTimeout = time.Second
	idleTimeout = 90 * time.Second
)

// Client returns an HTTP client whose connections are counted.
func (c *Counter) Client() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConnection{Conn: connection, counter: c}, nil
		},
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
	}
	return &http.Client{Transport: transport}
}

type countedConnection struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.counter.read(count)
	}
	return count, err
}

// Write implements net.Conn.
func (c *countedConnection) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	if count > 0 {
		c.counter.wrote(count)
	}
	return count, err
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
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConnection{Conn: connection, counter: l.counter}, nil
}
