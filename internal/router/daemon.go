package router

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/clientconn"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/dial"
	"rockwind.example/rockwind/internal/jobclient"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/sitemetrics"
	"rockwind.example/rockwind/internal/traffic"
)

const (
	// clientIdleTimeout is how long idle client connections are kept if the configuration does not set it.
	clientIdleTimeout = 30 * time.Second
	// clientHeaderTimeout is how long a client may take to send its headers.
	clientHeaderTimeout = 5 * time.Second
	// shutdownDelay is how long a router that shuts down still accepts connections, until clients
	// have noticed.
	shutdownDelay = 3 * time.Second
	// stopMargin is how long before the end of the grace period the router stops.
	stopMargin = 700 * time.Millisecond
	// gcDelay is how long after its start a router collects garbage as rarely as the runtime's default is.
	// After a power loss, requests of several seconds arrive with the first ones, and a router has a fifth
	// of a processor.
	gcDelay = 5 * time.Second
	// defaultGrace is the grace period if the settings give none.
	defaultGrace = 8 * time.Second
)

// HandlerFactory returns the HTTP handler for clients of a router.
type HandlerFactory func(*Router) http.Handler

// daemon runs a router and its background tasks.
type daemon struct {
	settings *rockwindpb.SiteSettings
	router   *Router
	overload *overloadController
	// clients is the listener for clients, and ready that of the readiness check.
	clients, ready net.Listener
	shuttingDown   atomic.Bool
}

// Run runs a router until the context ends. It then reports that it is not ready, accepts
// connections for a while, finishes running requests and returns.
func Run(ctx context.Context, settings *rockwindpb.SiteSettings, protocol Protocol, handler HandlerFactory) error {
	site.SetMemoryLimit(settings)
	counter := traffic.NewCounter(settings.GetZone(), site.Topology(settings))
	client := dial.NewClient(counter.Dial)
	watcher, err := site.NewWatcher(settings, client, "")
	if err != nil {
		return err
	}
	router := New(settings, watcher, protocol, jobclient.New(watcher, client), WithTraffic(counter))
	d := &daemon{settings: settings, router: router, overload: newOverloadController(router, settings)}
	router.jobs.PreferNear(settings.GetZone(), site.Topology(settings))
	router.metrics = d.metrics()
	router.useRegions()
	if err := d.listen(); err != nil {
		return err
	}
	return d.run(ctx, d.server(handler(router)))
}

// metrics returns the metrics of the router.
func (d *daemon) metrics() *sitemetrics.Set {
	router := d.router
	set := sitemetrics.New("router", decision.Default)
	set.LoadTraffic(router.dispatcher.LoadTraffic)
	set.Traffic(router.traffic)
	set.StartupTime(func() time.Duration { return time.Duration(router.startupTime.Load()) })
	set.Paces(router.dispatcher.Paces)
	set.Quarantined(router.crashes.QuarantinedCount)
	set.StreamOrigins(router.dispatcher.StreamOrigins)
	set.DrainedZones(router.dispatcher.DrainedZones)
	set.ZoneDrainRevision(func() uint64 { return router.watcher.ZoneDrains().Revision() })
	set.ZoneDrainAge(router.watcher.SinceLastAnswer)
	set.ColdServers(router.dispatcher.ColdServers)
	set.ClientBuffers(router.buffers.Usage)
	set.Waiting(router.dispatcher.Waiting)
	set.Orphaned(router.dispatcher.Orphaned)
	set.StartLimits(router.dispatcher.StartLimits)
	set.Coordinators(router.watcher.WatchFailures)
	set.RequestDistances(router.dispatcher.StartsByDistance, router.dispatcher.RoundTrips)
	set.OverloadRelief(d.overload.state)
	return set
}

// listen opens the listeners of the settings.
func (d *daemon) listen() error {
	listener, err := site.Listen("listen", d.settings.GetListen())
	if err != nil {
		return err
	}
	d.clients = d.router.buffers.Listener(listener)
	d.ready, err = site.Listen("ready_listen", d.settings.GetReadyListen())
	return err
}

// server returns the HTTP server for clients.
func (d *daemon) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           clientconn.Handler(closeConnectionsWhile(&d.shuttingDown, d.overload.handler(handler))),
		ReadHeaderTimeout: clientHeaderTimeout,
		IdleTimeout:       clientIdleTimeout,
		ErrorLog:          logring.ServerLog(log.Log),
		ConnContext:       clientconn.WithConn,
		ConnState:         clientconn.IdleTimeout(d.router.idleTimeout),
	}
}

// idleTimeout returns how long client connections that become idle are kept according to the configuration in
// force, or zero if it does not set that.
func (r *Router) idleTimeout() time.Duration {
	return time.Duration(r.watcher.Configuration().ClientLimits().GetIdleTimeoutMs()) * time.Millisecond
}

// run serves until the context ends. The background tasks continue until the last request has
// ended.
func (d *daemon) run(ctx context.Context, server *http.Server) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	d.start(group, background)
	serving, stopServing := context.WithCancel(background)
	defer stopServing()
	grace := shutdownGrace(d.settings)
	group.Go(func() error {
		defer stopBackground()
		return d.router.serveClients(serving, server, d.clients, grace-shutdownDelay-stopMargin)
	})
	group.Go(func() error {
		d.awaitShutdown(ctx, background)
		stopServing()
		return nil
	})
	log.WithField("machine", d.settings.GetName()).WithField("address", d.settings.GetListen()).Info("router serves")
	return group.Wait()
}

// start starts the background tasks.
func (d *daemon) start(group *errgroup.Group, background context.Context) {
	router, settings := d.router, d.settings
	group.Go(func() error { return router.watcher.Run(background) })
	group.Go(func() error { return router.metrics.Serve(background, settings) })
	group.Go(func() error { router.FollowDirectory(background); return nil })
	group.Go(func() error { router.stallGuard.Run(background); return nil })
	if site.Topology(d.settings).MultiRegion() {
		group.Go(func() error { router.regionHistory.follow(background, router.watcher); return nil })
	}
	group.Go(func() error { router.traffic.Follow(background, router.watcher.Directory); return nil })
	group.Go(func() error {
		router.recordStart(background, settings.GetName())
		if retry.Pause(background, gcDelay) {
			site.SetDefaultGCPercent(settings)
		}
		return nil
	})
	group.Go(func() error { router.crashes.Run(background); return nil })
	group.Go(func() error { router.refuseHeldWaiting(background); return nil })
	group.Go(func() error { return router.dispatcher.ShareLoads(background, settings) })
	group.Go(func() error {
		router.dispatcher.Survey(background, settings, router.watcher, router.protocol, router.client)
		return nil
	})
	group.Go(func() error { router.announce(background, settings); return nil })
	group.Go(func() error { d.overload.run(background); return nil })
	group.Go(func() error {
		ready := readinessHandler(router.ready, &d.shuttingDown, &d.overload.unready)
		return site.Serve(background, site.NewServer(ready), d.ready, 0)
	})
}

// awaitShutdown waits until the context ends and clients have had time to notice the shutdown. It
// returns early if a background task fails.
func (d *daemon) awaitShutdown(ctx, background context.Context) {
	select {
	case <-ctx.Done():
	case <-background.Done():
		return
	}
	d.shuttingDown.Store(true)
	log.WithField("machine", d.settings.GetName()).Info("router leaves")
	select {
	case <-time.After(shutdownDelay):
	case <-background.Done():
	}
	d.router.jobs.BeginShutdown()
}

// serveClients serves until the context ends. Running requests then get the given grace period,
// and clients a little more to read their buffered responses.
func (r *Router) serveClients(ctx context.Context, server *http.Server, listener net.Listener, grace time.Duration) error {
	stopped := make(chan time.Time, 1)
	context.AfterFunc(ctx, func() { stopped <- time.Now() })
	err := site.Serve(ctx, server, listener, grace)
	if ctx.Err() == nil {
		return err
	}
	stopping, cancel := context.WithDeadline(context.WithoutCancel(ctx), (<-stopped).Add(grace+stopMargin/2))
	defer cancel()
	r.buffers.Drain(stopping)
	return err
}

// announceInterval is the time between announcements, and announceRetry the time after a failed
// one: until it is announced, a router shares no loads.
const (
	announceInterval = 3 * time.Second
	announceRetry    = 250 * time.Millisecond
)

// announce registers this router with the coordinators periodically.
func (r *Router) announce(ctx context.Context, settings *rockwindpb.SiteSettings) {
	if settings.GetInternalListen() == "" {
		return
	}
	self := &rockwindpb.Machine{
		Name:    settings.GetName(),
		Role:    rockwindpb.SiteRole_SITE_ROLE_ROUTER,
		Zone:    settings.GetZone(),
		Address: site.AdvertisedAddress(settings),
	}
	for {
		pause := announceInterval
		if _, err := r.watcher.Announce(ctx, self, false); err != nil {
			log.WithError(err).Debug("no coordinator accepted the announcement")
			pause = announceRetry
		}
		if !retry.Pause(ctx, pause) {
			return
		}
	}
}

func shutdownGrace(settings *rockwindpb.SiteSettings) time.Duration {
	grace := time.Duration(settings.GetGraceS() * float64(time.Second))
	if grace <= 0 {
		grace = defaultGrace
	}
	return max(grace, shutdownDelay+2*stopMargin)
}

// closeConnectionsWhile tells clients to close their connections while the router shuts down.
func closeConnectionsWhile(shuttingDown *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if shuttingDown.Load() {
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, request)
	})
}

// readinessHandler responds with 200 while the router accepts clients: it is ready, not shutting
// down, and not so overloaded that clients should use other routers.
func readinessHandler(canServe func() bool, shuttingDown, unready *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if shuttingDown.Load() || unready.Load() || !canServe() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writer.WriteHeader(http.StatusOK)
	})
}
