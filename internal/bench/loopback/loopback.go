// Package loopback allocates listen addresses for tests and benchmarks.
//
// A free port can be taken before the intended process listens on it: by another process, a
// listener on port 0 or an outgoing connection. To prevent this, each address has its own loopback
// IP address. Outgoing connections don't use these: their source address is 127.0.0.1, also for
// other loopback destinations.
package loopback

import (
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// firstNetwork is the first of the networks 127.20.0.0/16 to 127.219.0.0/16, and networks is
	// their number. Each process that allocates addresses uses one of them.
	firstNetwork = 127<<24 | 20<<16
	networks     = 200
)

// FirstHost returns the first IP address that the process with the given ID allocates. Processes
// share addresses only if their IDs differ by a multiple of 200.
func FirstHost(process int) uint32 {
	return firstNetwork + uint32(process%networks)<<16 + 1
}

// used counts the IP addresses that this process has allocated.
var used atomic.Uint32

// host allocates an IP address.
func host() net.IP {
	address := FirstHost(os.Getpid()) + used.Add(1) - 1
	return net.IPv4(byte(address>>24), byte(address>>16), byte(address>>8), byte(address))
}

// Next returns an unused address, as "host:port", for TCP or UDP.
func Next() (string, error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Test is the part of testing.TB that Address needs.
type Test interface {
	Helper()
	Fatal(values ...any)
}

// Address returns the result of Next, or fails the test on an error.
func Address(t Test) string {
	t.Helper()
	address, err := Next()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// Listen opens a TCP listener on an unused address.
func Listen() (net.Listener, error) {
	ip := host().String()
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Wrapf(err, "find a free port on %s", ip)
	}
	return listener, nil
}
