// Package dial opens and accepts the connections between a site's processes. A connection to an
// unresponsive machine fails within a bounded time: TCP_USER_TIMEOUT bounds unacknowledged data,
// and keep-alive probes check idle connections.
package dial

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the establishment of a connection.
	connectTimeout = time.Second
	// unacknowledgedTimeout is how long sent data may stay unacknowledged.
	unacknowledgedTimeout = 3 * time.Second
	// Keep-alive probes of idle connections.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
	// Idle connections that are kept to each process.
	idleConnections       = 4
	idleConnectionTimeout = 30 * time.Second
)

// Dialer returns a dialer whose connections detect unresponsive peers.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: KeepAlive(),
		Control:         setUserTimeout,
	}
}

// KeepAlive returns the keep-alive configuration for both ends of a connection.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Listen opens a listener whose connections detect unresponsive peers.
func Listen(address string) (net.Listener, error) {
	configuration := net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: setUserTimeout}
	return configuration.Listen(context.Background(), "tcp", address)
}

// NewClient returns an HTTP client for calls between the site's processes. It connects promptly to
// machines that are just starting. Each wrapper wraps the dial function that the ones before it return.
func NewClient(wrappers ...func(DialFunc) DialFunc) *http.Client {
	dial := Hedged(Dialer().DialContext, attemptInterval, connectTimeout)
	for _, wrap := range wrappers {
		dial = wrap(dial)
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	}}
}
