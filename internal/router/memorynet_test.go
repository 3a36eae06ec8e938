package router_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"

	"rockwind.example/rockwind/internal/upstream"
)

// memoryNetwork connects HTTP servers in memory, so that they can be used in a synctest bubble.
type memoryNetwork struct {
	listeners map[string]*memoryListener
}

// serve runs a handler at an address until the test ends.
func (n *memoryNetwork) serve(t *testing.T, address string, handler http.Handler) {
	listener := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = make(map[string]*memoryListener)
	}
	n.listeners[address] = listener
	server := &http.Server{Handler: handler}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
}

// client returns a client for the servers.
func (n *memoryNetwork) client() *upstream.Client {
	return upstream.NewClientWithDial(func(ctx context.Context, address string) (net.Conn, error) {
		listener, found := n.listeners[address]
		if !found {
			return nil, errors.New("nobody listens")
		}
		near, far := net.Pipe()
		select {
		case listener.conns <- far:
			return near, nil
		case <-listener.closed:
			return nil, net.ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
}

// memoryListener implements net.Listener.
type memoryListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return &net.UnixAddr{Name: "memory", Net: "memory"} }
