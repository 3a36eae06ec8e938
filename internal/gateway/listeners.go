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
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/settings"
	"rockwind.example/rockwind/internal/upstream"
)

// Timing of the listeners.
const (
	// headerTimeout bounds the time that a caller takes to send a head.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a kept connection may be idle.
	idleTimeout = 2 * time.Minute
	// refusalPeriod is how long a draining gateway goes on to answer new
	// requests with a typed refusal before it stops listening.
	refusalPeriod = time.Second
	// shutdownTimeout bounds the end of connections that carry no request.
	shutdownTimeout = 5 * time.Second
)

// listeners are the callers' and the internal listener.
type listeners struct {
	callers        net.Listener
	internal       net.Listener
	callerServer   *http.Server
	internalServer *http.Server
}

// openDataFolder locks the gateway's folder until release is called.
func openDataFolder(folder string) (release func(), err error) {
	return settings.OpenDataFolder(folder)
}

// listen opens both listeners and writes their addresses to the data folder.
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

// serve runs both servers in the group.
func (l *listeners) serve(group *errgroup.Group, g *Gateway) {
	group.Go(func() error { return served(accept(l.callerServer, l.callers, g.certificates.callers)) })
	group.Go(func() error { return served(accept(l.internalServer, l.internal, g.certificates.internal)) })
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

func (l *listeners) close() {
	l.callers.Close()
	l.internal.Close()
}

// stop drains the gateway: callers get refusals until the last request in
// progress has ended, and then the listeners close.
func (g *Gateway) stop(l *listeners) {
	g.drain.begin()
	g.log.Info("draining")
	refusing := time.NewTimer(refusalPeriod)
	defer refusing.Stop()
	<-g.drain.idle
	<-refusing.C
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = l.callerServer.Shutdown(ctx)
	_ = l.internalServer.Shutdown(ctx)
	l.close()
}

// Paths of probes.
const (
	pathAlive = "/healthz"
	pathReady = "/readyz"
)

// callerRoutes are the paths that callers use, and probes without an API key for
// what balances load over gateways.
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

// Paths of requests that make the control machines store something.
const (
	pathFiles   = "/v1/files"
	pathBatches = "/v1/batches"
)

// apiRoutes are the paths that need an API key.
func (g *Gateway) apiRoutes() http.Handler {
	router := chi.NewRouter()
	router.Use(identify, g.track, g.recoverDefects, g.boundBody, g.authenticate)
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

// maximumRequestID bounds a caller's own request identity in bytes.
const maximumRequestID = 128

// identify gives back the caller's request identity, or a new one.
func identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(upstream.HeaderRequestID)
		if id == "" || len(id) > maximumRequestID {
			id = uuid.NewString()
		}
		w.Header().Set(upstream.HeaderRequestID, id)
		next.ServeHTTP(w, r)
	})
}

// recoverDefects turns a panic into a typed error. An aborted answer stays
// aborted, so that a part is not taken for the whole.
func (g *Gateway) recoverDefects(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			found := recover()
			if found == nil {
				return
			}
			if found == http.ErrAbortHandler {
				panic(found)
			}
			g.log.WithField("panic", found).WithField("path", r.URL.Path).Error("a request met a defect")
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}
