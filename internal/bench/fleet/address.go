package fleet

import (
	"fmt"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// addressBook hands out loopback addresses. Every process gets an IP number of
// its own, so that a port that was free stays free.
type addressBook struct {
	mutex sync.Mutex
	next  uint32
}

// firstHost is 127.20.0.1.
const firstHost = 127<<24 | 20<<16 | 1

func (b *addressBook) allocate() (string, error) {
	b.mutex.Lock()
	host := firstHost + b.next
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
