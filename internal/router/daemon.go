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

// Handler makes the handler of the clients' address around a router.
type Handler func(*Router) http.Handler

// Run serves until the context ends. Then it says that it is not ready, takes
// what still comes for a while, finishes the requests in progress and stops.
func Run(ctx context.Context, settings *rockwindpb.SiteSettings, protocol Protocol, handler Handler) error {
	site.BoundMemory(settings)
	client := dial.NewClient()
	watcher, err := site.NewWatcher(settings, client, "")
	if err != nil {
		return err
	}
	router := New(settings, watcher, protocol, jobclient.New(watcher, client))
	router.metrics = sitemetrics.New("router", decision.Default)
	router.metrics.LoadTraffic(router.dispatcher.LoadTraffic)
	router.metrics.Start(func() time.Duration { return time.Duration(router.startTook.Load()) })
	router.metrics.Paces(router.dispatcher.Paces)
	router.metrics.Held(router.witness.Held)
	router.metrics.ClientBuffers(router.buffers.Usage)
	router.metrics.Waiting(router.dispatcher.Waiting)
	router.metrics.LeftBehind(router.dispatcher.LeftBehind)
	listener, err := site.Listen("listen", settings.GetListen())
	if err != nil {
		return err
	}
	readyListener, err := site.Listen("ready_listen", settings.GetReadyListen())
	if err != nil {
		return err
	}
	leaving := &atomic.Bool{}
	reliever := newReliever(router, settings)
	router.metrics.Relief(reliever.state)
	server := &http.Server{
		Handler:           clientconn.Handler(closeWhile(leaving, reliever.handler(handler(router)))),
		ReadHeaderTimeout: clientHeaderTimeout,
		IdleTimeout:       clientIdleTimeout,
		ErrorLog:          logring.ServerLog(log.Log),
		ConnContext:       clientconn.WithConn,
	}
	listener = router.buffers.Listener(listener)
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	group, parts := errgroup.WithContext(parts)
	group.Go(func() error { return watcher.Run(parts) })
	group.Go(func() error { return router.metrics.Serve(parts, settings) })
	group.Go(func() error { router.Keep(parts); return nil })
	group.Go(func() error { router.noteStart(parts, settings.GetName()); return nil })
	group.Go(func() error { router.witness.Run(parts); return nil })
	group.Go(func() error { return router.dispatcher.Share(parts, settings, router.witness) })
	group.Go(func() error {
		router.dispatcher.Survey(parts, settings, watcher, protocol, router.client)
		return nil
	})
	group.Go(func() error { router.announce(parts, settings); return nil })
	group.Go(func() error { reliever.run(parts); return nil })
	group.Go(func() error {
		return site.Serve(parts, site.NewServer(readiness(router.acts, leaving, &reliever.unready)), readyListener, 0)
	})
	serving, stopServing := context.WithCancel(parts)
	defer stopServing()
	grace := graceOf(settings)
	group.Go(func() error {
		defer stopParts()
		return router.serveClients(serving, server, listener, grace-leaveNotice-stopMargin)
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-parts.Done():
			return nil
		}
		leaving.Store(true)
		log.WithField("machine", settings.GetName()).Info("router leaves")
		select {
		case <-time.After(leaveNotice):
		case <-parts.Done():
		}
		router.jobs.Leave()
		stopServing()
		return nil
	})
	log.WithField("machine", settings.GetName()).WithField("address", settings.GetListen()).Info("router serves")
	return group.Wait()
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
