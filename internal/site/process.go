package site

import (
	"context"
	"net"
	"net/http"
	"os"
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
	// memoryFraction is the fraction of the process's memory that is the soft limit of the Go
	// runtime.
	memoryFraction = 0.7
	megabyte       = 1 << 20
	// storeGCPercent is the GC percentage of stores. The live heap of a store is large and its
	// allocation rate low, so that a lower percentage than the runtime's 100 saves memory for little
	// processor time; see docs/design/memory.md.
	storeGCPercent = 50
	// routerGCPercent is the GC percentage of routers. Stacks of connections count in the runtime's goal as
	// live memory does, and a router allocates little; see docs/design/memory.md for the figures.
	routerGCPercent = 30
	// readHeaderTimeout bounds how long another process may take to send headers.
	readHeaderTimeout = 3 * time.Second
	// idleTimeout closes idle connections of other processes.
	idleTimeout = time.Minute
)

// SetMemoryLimit sets the memory limit of the Go runtime and how often garbage is collected from the
// settings. The environment variable GOGC takes precedence over the default of the role. The default of
// routers is set later, by SetDefaultGCPercent.
func SetMemoryLimit(settings *rockwindpb.SiteSettings) {
	if settings.GetGcPercent() > 0 || settings.GetRole() != rockwindpb.SiteRole_SITE_ROLE_ROUTER {
		SetDefaultGCPercent(settings)
	}
	if settings.GetMemoryMb() > 0 {
		debug.SetMemoryLimit(int64(float64(settings.GetMemoryMb()) * megabyte * memoryFraction))
	}
}

// SetDefaultGCPercent sets how often garbage is collected from the settings or the default of the role. A
// router calls it some time after its start: collections during the start would delay it.
func SetDefaultGCPercent(settings *rockwindpb.SiteSettings) {
	if percent := gcPercent(settings); percent > 0 {
		debug.SetGCPercent(percent)
	}
}

// gcPercent returns the GC percentage of a process, or zero for that of the Go runtime.
func gcPercent(settings *rockwindpb.SiteSettings) int {
	_, inEnvironment := os.LookupEnv("GOGC")
	switch {
	case settings.GetGcPercent() > 0:
		return int(settings.GetGcPercent())
	case inEnvironment:
		return 0
	case settings.GetRole() == rockwindpb.SiteRole_SITE_ROLE_STORE:
		return storeGCPercent
	case settings.GetRole() == rockwindpb.SiteRole_SITE_ROLE_ROUTER:
		return routerGCPercent
	}
	return 0
}

// Listen opens a listener. The setting is where the address comes from, for the error message.
func Listen(setting, address string) (net.Listener, error) {
	listener, err := dial.Listen(address)
	if err != nil {
		return nil, fault.Newf(fault.InvalidArgument, "stop the process that uses the address, or set "+setting+" to an address of this machine",
			"the daemon can't listen: %v", err)
	}
	return listener, nil
}

// NewServer returns a server for calls between the site's processes.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          logring.ServerLog(log.Log),
	}
}

// Serve serves on a listener until the context ends, and then waits up to the grace period for
// calls in progress.
func Serve(ctx context.Context, server *http.Server, listener net.Listener, grace time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return server.Close()
	}
	return nil
}
