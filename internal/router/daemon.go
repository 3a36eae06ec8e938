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
)

const (
	// clientIdleTimeout closes connections of clients on which nothing comes.
	clientIdleTimeout = 30 * time.Second
	// clientHeaderTimeout bounds how long a client may take to send its headers.
	clientHeaderTimeout = 5 * time.Second
	// leaveNotice is how long a router that leaves still takes new connections,
	// until nobody sends any.
	leaveNotice = 3 * time.Second
	// stopMargin is how long before the end of the grace the router stops.
	stopMargin = 700 * time.Millisecond
	// defaultGrace is the grace where the settings give none.
	defaultGrace = 8 * time.Second
)

// HandlerFactory makes the handler of the clients' address around a router.
type HandlerFactory func(*Router) http.Handler

// daemon is a router with what it runs beside it.
type daemon struct {
	settings *rockwindpb.SiteSettings
	router   *Router
	reliever *reliever
	// clients is the listener of the clients' address, and ready that of the address at which
	// the router says whether it wants connections.
	clients, ready net.Listener
	leaving        atomic.Bool
}

// Run serves until the context ends. Then it says that it is not ready, takes
// what still comes for a while, finishes the requests in progress and stops.
func Run(ctx context.Context, settings *rockwindpb.SiteSettings, protocol Protocol, handler HandlerFactory) error {
	site.BoundMemory(settings)
	client := dial.NewClient()
	watcher, err := site.NewWatcher(settings, client, "")
	if err != nil {
		return err
	}
	router := New(settings, watcher, protocol, jobclient.New(watcher, client))
	d := &daemon{settings: settings, router: router, reliever: newReliever(router, settings)}
	router.metrics = d.metrics()
	if err := d.listen(); err != nil {
		return err
	}
	return d.run(ctx, d.server(handler(router)))
}

// metrics are those that the router shows.
func (d *daemon) metrics() *sitemetrics.Set {
	router := d.router
	set := sitemetrics.New("router", decision.Default)
	set.LoadTraffic(router.dispatcher.LoadTraffic)
	set.Start(func() time.Duration { return time.Duration(router.startTook.Load()) })
	set.Paces(router.dispatcher.Paces)
	set.Held(router.witness.QuarantinedCount)
	set.DrainedZones(router.dispatcher.DrainedZones)
	set.ClientBuffers(router.buffers.Usage)
	set.Waiting(router.dispatcher.Waiting)
	set.LeftBehind(router.dispatcher.LeftBehind)
	set.Coordinators(router.watcher.Silence)
	set.Relief(d.reliever.state)
	return set
}

// listen opens the addresses of the settings.
func (d *daemon) listen() error {
	listener, err := site.Listen("listen", d.settings.GetListen())
	if err != nil {
		return err
	}
	d.clients = d.router.buffers.Listener(listener)
	d.ready, err = site.Listen("ready_listen", d.settings.GetReadyListen())
	return err
}

// server answers clients.
func (d *daemon) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           clientconn.Handler(closeWhile(&d.leaving, d.reliever.handler(handler))),
		ReadHeaderTimeout: clientHeaderTimeout,
		IdleTimeout:       clientIdleTimeout,
		ErrorLog:          logring.ServerLog(log.Log),
		ConnContext:       clientconn.WithConn,
	}
}

// run serves until the context ends. All else that the router runs goes on until the last
// request has ended.
func (d *daemon) run(ctx context.Context, server *http.Server) error {
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	group, parts := errgroup.WithContext(parts)
	d.start(group, parts)
	serving, stopServing := context.WithCancel(parts)
	defer stopServing()
	grace := graceOf(d.settings)
	group.Go(func() error {
		defer stopParts()
		return d.router.serveClients(serving, server, d.clients, grace-leaveNotice-stopMargin)
	})
	group.Go(func() error {
		d.leave(ctx, parts)
		stopServing()
		return nil
	})
	log.WithField("machine", d.settings.GetName()).WithField("address", d.settings.GetListen()).Info("router serves")
	return group.Wait()
}

// start runs what the router does beside serving clients.
func (d *daemon) start(group *errgroup.Group, parts context.Context) {
	router, settings := d.router, d.settings
	group.Go(func() error { return router.watcher.Run(parts) })
	group.Go(func() error { return router.metrics.Serve(parts, settings) })
	group.Go(func() error { router.FollowDirectory(parts); return nil })
	group.Go(func() error { router.noteStart(parts, settings.GetName()); return nil })
	group.Go(func() error { router.witness.Run(parts); return nil })
	group.Go(func() error { return router.dispatcher.ShareLoads(parts, settings) })
	group.Go(func() error {
		router.dispatcher.Survey(parts, settings, router.watcher, router.protocol, router.client)
		return nil
	})
	group.Go(func() error { router.announce(parts, settings); return nil })
	group.Go(func() error { d.reliever.run(parts); return nil })
	group.Go(func() error {
		ready := readiness(router.acts, &d.leaving, &d.reliever.unready)
		return site.Serve(parts, site.NewServer(ready), d.ready, 0)
	})
}

// leave waits until the context ends, and then until clients had time to hear that the router
// leaves. It returns early where a part has failed.
func (d *daemon) leave(ctx, parts context.Context) {
	select {
	case <-ctx.Done():
	case <-parts.Done():
		return
	}
	d.leaving.Store(true)
	log.WithField("machine", d.settings.GetName()).Info("router leaves")
	select {
	case <-time.After(leaveNotice):
	case <-parts.Done():
	}
	d.router.jobs.Leave()
}

// serveClients serves until the context ends. Then the requests in progress have the given
// time, and the clients to read what is kept for them a little more.
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

// announceInterval is the time between this router's announcements, and
// announceRetry the time until the next one where no coordinator took one: until
// then nobody tells this router of loads, nor hears its own.
const (
	announceInterval = 3 * time.Second
	announceRetry    = 250 * time.Millisecond
)

// announce makes this router known to the others.
func (r *Router) announce(ctx context.Context, settings *rockwindpb.SiteSettings) {
	if settings.GetInternalListen() == "" {
		return
	}
	self := &rockwindpb.Machine{
		Name:    settings.GetName(),
		Role:    rockwindpb.SiteRole_SITE_ROLE_ROUTER,
		Zone:    settings.GetZone(),
		Address: site.Advertised(settings),
	}
	for {
		pause := announceInterval
		if _, err := r.watcher.Announce(ctx, self, false); err != nil {
			log.WithError(err).Debug("no coordinator took the announcement")
			pause = announceRetry
		}
		if !retry.Pause(ctx, pause) {
			return
		}
	}
}

func graceOf(settings *rockwindpb.SiteSettings) time.Duration {
	grace := time.Duration(settings.GetGraceS() * float64(time.Second))
	if grace <= 0 {
		grace = defaultGrace
	}
	return max(grace, leaveNotice+2*stopMargin)
}

// closeWhile tells clients to close their connections while the router leaves.
func closeWhile(leaving *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if leaving.Load() {
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, request)
	})
}

// readiness answers 200 while the router wants connections: it can serve, does not leave, and
// is not so short that clients should go to others.
func readiness(acts func() bool, leaving, unready *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if leaving.Load() || unready.Load() || !acts() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writer.WriteHeader(http.StatusOK)
	})
}
