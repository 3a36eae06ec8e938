// Package dial opens the connections of a site's processes. A connection to a
// machine that falls silent fails within a bounded time, although no packet says
// so: the kernel gives up data that is not acknowledged, and probes connections
// on which nothing is sent.
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
	// connectTimeout bounds a connection attempt.
	connectTimeout = time.Second
	// unacknowledgedTimeout is how long sent data may stay unacknowledged.
	unacknowledgedTimeout = 3 * time.Second
	// Probes of connections on which nothing is sent.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
	// Idle connections that are kept to each process.
	idleConnections       = 4
	idleConnectionTimeout = 30 * time.Second
)

// Dialer returns a dialer of connections that notice silence.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: KeepAlive(),
		Control:         boundSilence,
	}
}

// KeepAlive is the configuration of probes for both ends of a connection.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

func boundSilence(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// Listen opens a listener whose connections notice silence.
func Listen(address string) (net.Listener, error) {
	configuration := net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: boundSilence}
	return configuration.Listen(context.Background(), "tcp", address)
}

// NewClient returns a client for calls between the site's own processes. It reaches a
// machine that comes up soon after that.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         Hedged(Dialer().DialContext, attemptInterval, connectTimeout),
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	}}
}
