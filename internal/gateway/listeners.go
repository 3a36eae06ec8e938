package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/httpabort"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/settings"
	"rockwind.example/rockwind/internal/upstream"
)

// Timeouts of the listeners.
const (
	// headerTimeout bounds the time to receive the request header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes keep-alive connections without requests.
	idleTimeout = 2 * time.Minute
	// refusalPeriod is the minimum time for which a draining gateway refuses new
	// requests before it stops listening.
	refusalPeriod = time.Second
	// shutdownTimeout bounds the closing of idle connections.
	shutdownTimeout = 5 * time.Second
)

// listeners holds the listeners and servers for callers and for internal requests.
type listeners struct {
	callers        net.Listener
	internal       net.Listener
	callerServer   *http.Server
	internalServer *http.Server
}

// openDataFolder opens and locks the data folder until release is called.
func openDataFolder(folder string) (release func(), err error) {
	return settings.OpenDataFolder(folder)
}

// listen opens both listeners and writes their addresses to files in the data
// folder.
func (g *Gateway) listen() (*listeners, error) {
	callers, err := settings.Listen("listen", g.settings.GetListen())
	if err != nil {
		return nil, err
	}
	internal, err := settings.Listen("internal_listen", g.settings.GetInternalListen())
	if err != nil {
		callers.Close()
		return nil, err
	}
	opened := &listeners{
		callers: callers, internal: internal,
		callerServer:   g.newServer(g.callerRoutes()),
		internalServer: g.newServer(g.internalRoutes()),
	}
	for name, listener := range map[string]net.Listener{settings.AddressFile: callers, settings.InternalAddressFile: internal} {
		if err := settings.WriteAddress(g.settings.GetDataFolder(), name, listener.Addr().String()); err != nil {
			opened.close()
			return nil, err
		}
	}
	return opened, nil
}

func (g *Gateway) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: logring.ServerLog(g.log),
	}
}

// serve starts both servers in the group.
func (l *listeners) serve(group *errgroup.Group, g *Gateway) {
	group.Go(func() error { return serveError(serveListener(l.callerServer, l.callers, g.certificates.callers)) })
	group.Go(func() error { return serveError(serveListener(l.internalServer, l.internal, g.certificates.internal)) })
}

func serveError(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

func (l *listeners) close() {
	l.callers.Close()
	l.internal.Close()
}

// drainAndClose refuses new requests until those in progress have ended, and for
// refusalPeriod at least. Then it closes the listeners.
func (g *Gateway) drainAndClose(l *listeners) {
	g.drain.begin()
	g.log.Info("draining")
	refusalTimer := time.NewTimer(refusalPeriod)
	defer refusalTimer.Stop()
	<-g.drain.idle
	<-refusalTimer.C
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = l.callerServer.Shutdown(ctx)
	_ = l.internalServer.Shutdown(ctx)
	l.close()
}

// Paths of health checks.
const (
	pathAlive = "/healthz"
	pathReady = "/readyz"
)

// callerRoutes returns the handler of the callers' listener: the API, and health
// checks without an API key for load balancers.
func (g *Gateway) callerRoutes() http.Handler {
	callers := g.apiRoutes()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if draining, _ := g.drain.state(); draining {
			w.Header().Set("Connection", "close")
		}
		switch r.URL.Path {
		case pathAlive:
			w.WriteHeader(http.StatusOK)
		case pathReady:
			g.serveReady(w, r)
		default:
			callers.ServeHTTP(w, r)
		}
	})
}

// Paths of requests that store data on control machines.
const (
	pathFiles   = "/v1/files"
	pathBatches = "/v1/batches"
)

// apiRoutes returns the handler of the paths that require an API key.
func (g *Gateway) apiRoutes() http.Handler {
	router := chi.NewRouter()
	router.Use(assignRequestID, g.track, g.recoverPanics, g.limitBodyStalls, g.authenticate)
	router.Get("/v1/models", g.serveModels)
	router.Get("/v1/models/{id}", g.serveModel)
	router.Post(pathChatCompletions, g.serveCompletion)
	router.Post(pathCompletions, g.serveCompletion)
	router.With(g.limitWrites).Post(pathFiles, g.serveUpload)
	router.Get("/v1/files/{id}", g.serveFile)
	router.Get("/v1/files/{id}/content", g.serveContent)
	router.With(g.limitWrites).Post(pathBatches, g.serveCreateBatch)
	router.Get(pathBatches, g.serveBatches)
	router.Get("/v1/batches/{id}", g.serveBatch)
	router.Post("/v1/batches/{id}/cancel", g.serveCancelBatch)
	router.HandleFunc(servicesPrefix+"{service}", g.serveService)
	router.HandleFunc(servicesPrefix+"{service}/*", g.serveService)
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeFault(w, fault.Newf(fault.NotFound, "see docs/API.md for the paths", "there is nothing at %s", r.URL.Path).WithRan(fault.NotRun))
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeFaultStatus(w, invalid("see docs/API.md for the methods", "%s is not allowed at %s", r.Method, r.URL.Path), http.StatusMethodNotAllowed)
	})
	return router
}

// maximumRequestID is the longest request ID accepted from a caller, in bytes.
const maximumRequestID = 128

// assignRequestID sets the request ID of the response: the caller's own or a new one.
func assignRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(upstream.HeaderRequestID)
		if id == "" || len(id) > maximumRequestID {
			id = uuid.NewString()
		}
		w.Header().Set(upstream.HeaderRequestID, id)
		next.ServeHTTP(w, r)
	})
}

// recoverPanics logs panics and aborts the connection. Panics with
// http.ErrAbortHandler, which abort it on purpose, are not logged.
func (g *Gateway) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			recovered := recover()
			if recovered == nil {
				return
			}
			if recovered == http.ErrAbortHandler {
				panic(recovered)
			}
			g.log.WithField("panic", recovered).WithField("path", r.URL.Path).Error("panic in a request handler")
			httpabort.Abort(w, r)
		}()
		next.ServeHTTP(w, r)
	})
}
