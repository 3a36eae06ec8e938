// Package loopback hands out addresses on which processes of tests and benches listen.
//
// A port that was found free may be taken until its process listens on it: by another process, a
// listener that takes any port, or an outgoing connection. So each address has an IP number of its
// own, which nothing else uses: connections go out from 127.0.0.1, also those to other loopback
// addresses.
package loopback

import (
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// firstNetwork is the first of the networks 127.20.0.0/16 to 127.219.0.0/16, of which each
	// process that asks for addresses has one, and networks is how many there are.
	firstNetwork = 127<<24 | 20<<16
	networks     = 200
)

// FirstHost is the first IP number that the process with the given identifier hands out. Several
// processes do not share any, unless their identifiers differ by a multiple of 200.
func FirstHost(process int) uint32 {
	return firstNetwork + uint32(process%networks)<<16 + 1
}

// used counts the IP numbers that this process has handed out.
var used atomic.Uint32

// host returns an IP number that this process has handed out to nobody else.
func host() net.IP {
	number := FirstHost(os.Getpid()) + used.Add(1) - 1
	return net.IPv4(byte(number>>24), byte(number>>16), byte(number>>8), byte(number))
}

// Next returns an address, as "host:port", whose port is free for listeners and for datagrams.
func Next() (string, error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Test is what Address needs of a test.
type Test interface {
	Helper()
	Fatal(values ...any)
}

// Address is Next for a test, which ends where there is none.
func Address(t Test) string {
	t.Helper()
	address, err := Next()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// Listen opens a listener on an address that nobody else has.
func Listen() (net.Listener, error) {
	ip := host().String()
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Wrapf(err, "find a free port on %s", ip)
	}
	return listener, nil
}
