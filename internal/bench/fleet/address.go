package fleet

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// addressBook hands out loopback addresses. Every process gets an IP number of
// its own, so that a port that was free stays free.
type addressBook struct {
	mutex sync.Mutex
	next  uint32
}

const (
	// firstNetwork is the first of the networks 127.20.0.0/16 to 127.219.0.0/16, of which each
	// process that runs fleets has one, and networks is how many there are.
	firstNetwork = 127<<24 | 20<<16
	networks     = 200
)

// FirstHost is the first IP number that the process with the given identifier hands out. Fleets
// of several processes do not share any, unless their identifiers differ by a multiple of 200.
func FirstHost(process int) uint32 {
	return firstNetwork + uint32(process%networks)<<16 + 1
}

func (b *addressBook) allocate() (string, error) {
	b.mutex.Lock()
	host := FirstHost(os.Getpid()) + b.next
	b.next++
	b.mutex.Unlock()
	ip := fmt.Sprintf("%d.%d.%d.%d", host>>24, host>>16&0xff, host>>8&0xff, host&0xff)
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", errors.Wrapf(err, "find a free port on %s", ip)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
