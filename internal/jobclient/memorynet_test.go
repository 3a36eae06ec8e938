package jobclient_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
)

// memoryNetwork connects HTTP servers in memory, so that calls to them run in virtual time.
type memoryNetwork struct {
	mutex   sync.Mutex
	servers map[string]*memoryServer
	// cut holds the addresses to which connections are neither made nor refused.
	cut map[string]bool
}

// memoryServer is an HTTP server that implements net.Listener.
type memoryServer struct {
	*http.Server
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{servers: make(map[string]*memoryServer), cut: make(map[string]bool)}
}

// serve runs a handler at an address until the test ends or the address is stopped.
func (n *memoryNetwork) serve(t *testing.T, address string, handler http.Handler) {
	server := &memoryServer{Server: &http.Server{Handler: handler}, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mutex.Lock()
	n.servers[address] = server
	n.mutex.Unlock()
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener{server}) }()
	t.Cleanup(func() {
		if err := server.Server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
}

// stop ends the server at an address. Connections to it are refused.
func (n *memoryNetwork) stop(t *testing.T, address string) {
	n.mutex.Lock()
	server := n.servers[address]
	delete(n.servers, address)
	n.mutex.Unlock()
	if err := server.Server.Close(); err != nil {
		t.Error(err)
	}
}

// isolate makes connection attempts to an address block until their context ends.
func (n *memoryNetwork) isolate(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[address] = true
}

// client returns an HTTP client, whose connections close at the end of the test.
func (n *memoryNetwork) client(t *testing.T) *http.Client {
	transport := &http.Transport{DialContext: n.dial}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (n *memoryNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	server, cut := n.servers[address], n.cut[address]
	n.mutex.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	if server == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case server.conns <- far:
		return near, nil
	case <-server.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listener implements net.Listener.
type listener struct{ server *memoryServer }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.server.conns:
		return conn, nil
	case <-l.server.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l listener) Close() error {
	l.server.once.Do(func() { close(l.server.closed) })
	return nil
}

// Addr implements net.Listener.
func (l listener) Addr() net.Addr { return &net.UnixAddr{Name: "memory", Net: "memory"} }
