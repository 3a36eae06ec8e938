package control

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/twitchtv/twirp"

	"rockwind.example/rockwind/internal/linkfault"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/settings"
)

const (
	// readHeaderTimeout bounds reading the request headers.
	readHeaderTimeout = 5 * time.Second
	// stopTimeout bounds a graceful stop.
	stopTimeout = 15 * time.Second
	// transferTimeout is the part of it for the transfer of leadership.
	transferTimeout = 5 * time.Second
	// contentProtobuf is the content type of responses that are compressed.
	contentProtobuf  = "application/protobuf"
	compressionLevel = 5
	folderMode       = 0o750
	fileMode         = 0o640
)

// handler returns the handler of all services. Profiles are under /debug/pprof.
func (d *daemon) handler() http.Handler {
	router := chi.NewRouter()
	router.Use(d.countInProgress)
	hooks := twirp.WithServerHooks(d.metrics.hooks())
	for _, server := range []rockwindpb.TwirpServer{
		rockwindpb.NewReplicaServiceServer(d.host.Service(), hooks),
		rockwindpb.NewConfigurationServiceServer(configurationService{daemon: d}, hooks),
		rockwindpb.NewJobServiceServer(jobService{daemon: d}, hooks),
		rockwindpb.NewRecordServiceServer(recordService{daemon: d}, hooks),
		rockwindpb.NewFileServiceServer(fileService{daemon: d}, hooks),
		rockwindpb.NewBodyServiceServer(d.bodies.BodyService(), hooks),
		rockwindpb.NewSegmentServiceServer(d.bodies.SegmentService(), hooks),
		rockwindpb.NewAdminServiceServer(adminService{daemon: d, ring: d.ring}, hooks),
	} {
		router.Mount(server.PathPrefix(), server)
	}
	mountCompressed(router, rockwindpb.NewFleetServiceServer(d.exchange, hooks))
	router.Get("/healthz", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	router.Get("/readyz", d.ready)
	router.Method(http.MethodGet, "/metrics", promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{}))
	router.Mount("/debug", middleware.Profiler())
	if d.links != nil {
		router.Mount(linkfault.Path, d.links.Handler())
	}
	return router
}

// mountCompressed mounts a service and compresses its responses if the caller
// accepts it.
func mountCompressed(router chi.Router, server rockwindpb.TwirpServer) {
	router.With(middleware.Compress(compressionLevel, contentProtobuf)).Mount(server.PathPrefix(), server)
}

// ready responds with 200 if the machine belongs to a cluster and is not draining.
func (d *daemon) ready(writer http.ResponseWriter, _ *http.Request) {
	if d.draining.Load() || !d.inCluster() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// inCluster reports whether this machine belongs to a cluster.
func (d *daemon) inCluster() bool {
	select {
	case <-d.host.InCluster():
		return true
	default:
		return false
	}
}

func (d *daemon) countInProgress(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		d.inProgress.Add(1)
		defer d.inProgress.Add(-1)
		next.ServeHTTP(writer, request)
	})
}

// openDataFolder locks the data folder until release is called.
func openDataFolder(folder string) (release func(), err error) {
	return settings.OpenDataFolder(folder)
}

// listen opens the listener, unless WithListener set one, and writes its address to
// the data folder.
func (d *daemon) listen() error {
	if d.listener == nil {
		listener, err := settings.Listen("listen", d.settings.GetListen())
		if err != nil {
			return err
		}
		d.listener = listener
	}
	d.address = d.listener.Addr().String()
	if err := settings.WriteAddress(d.settings.GetDataFolder(), settings.AddressFile, d.address); err != nil {
		return errors.CombineErrors(err, d.listener.Close())
	}
	return nil
}

// serveListener serves on the listener, over TLS if there are certificates.
func (d *daemon) serveListener(server *http.Server) error {
	if d.certificates == nil {
		return server.Serve(d.listener)
	}
	server.TLSConfig = d.certificates.ServerConfig()
	return server.ServeTLS(d.listener, "", "")
}

// serve handles calls until ctx is done. It then transfers leadership, ends long
// polls and waits for the other calls.
func (d *daemon) serve(ctx context.Context) error {
	server := &http.Server{
		Handler:           d.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          logring.ServerLog(log.Log),
	}
	failed := make(chan error, 1)
	go func() { failed <- d.serveListener(server) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	d.draining.Store(true)
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	d.transferLeadership(stopping)
	d.cancelLongPolls()
	return errors.Wrap(server.Shutdown(stopping), "stop the server")
}
