package site

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/dial"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// memoryPart is the part of the process's memory that the runtime may use
	// before it collects garbage eagerly.
	memoryPart = 0.7
	megabyte   = 1 << 20
	// readHeaderTimeout bounds how long another process may take to send headers.
	readHeaderTimeout = 3 * time.Second
	// idleTimeout closes connections of other processes on which nothing comes.
	idleTimeout = time.Minute
)

// SetMemoryLimit tells the runtime how much memory the settings allow.
func SetMemoryLimit(settings *rockwindpb.SiteSettings) {
	if settings.GetMemoryMb() > 0 {
		debug.SetMemoryLimit(int64(float64(settings.GetMemoryMb()) * megabyte * memoryPart))
	}
}

// Listen opens the listener of a setting.
func Listen(setting, address string) (net.Listener, error) {
	listener, err := dial.Listen(address)
	if err != nil {
		return nil, fault.Newf(fault.InvalidArgument, "stop the process that has the address, or set "+setting+" to an address of this machine",
			"the daemon can't listen: %v", err)
	}
	return listener, nil
}

// NewServer returns a server for calls of the site's own processes.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          logring.ServerLog(log.Log),
	}
}

// Serve answers on a listener until the context ends, and then gives the calls in
// progress the given time.
func Serve(ctx context.Context, server *http.Server, listener net.Listener, grace time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if err := server.Shutdown(stopping); err != nil {
		return server.Close()
	}
	return nil
}
