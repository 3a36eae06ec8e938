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
	// readHeaderTimeout bounds how long a caller may take to send its headers.
	readHeaderTimeout = 5 * time.Second
	// stopTimeout bounds a planned stop.
	stopTimeout = 15 * time.Second
	// handOverTimeout bounds the part of it in which leadership is handed over.
	handOverTimeout = 5 * time.Second
	// contentProtobuf is the type of the answers that may be compressed.
	contentProtobuf  = "application/protobuf"
	compressionLevel = 5
	folderMode       = 0o750
	fileMode         = 0o640
)

// handler mounts the services. Profiles of the process are under /debug/pprof.
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

// mountCompressed mounts a service whose answers are compressed for callers which
// ask for it.
func mountCompressed(router chi.Router, server rockwindpb.TwirpServer) {
	router.With(middleware.Compress(compressionLevel, contentProtobuf)).Mount(server.PathPrefix(), server)
}

// ready answers 200 once the machine replicates its groups and is not leaving.
func (d *daemon) ready(writer http.ResponseWriter, _ *http.Request) {
	if d.draining.Load() || !d.founded() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// founded tells whether this machine belongs to a cluster.
func (d *daemon) founded() bool {
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

// openDataFolder locks the machine's folder until release is called.
func openDataFolder(folder string) (release func(), err error) {
	return settings.OpenDataFolder(folder)
}

// listen binds the address of the settings, unless a listener was given, and
// writes down which address it got.
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

// accept serves on the listener, by TLS where it is turned on.
func (d *daemon) accept(server *http.Server) error {
	if d.certificates == nil {
		return server.Serve(d.listener)
	}
	server.TLSConfig = d.certificates.ServerConfig()
	return server.ServeTLS(d.listener, "", "")
}

// serve answers calls until the context ends. Then it hands over leadership,
// ends the calls that wait for news or work, and finishes the others.
func (d *daemon) serve(ctx context.Context) error {
	server := &http.Server{
		Handler:           d.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          logring.ServerLog(log.Log),
	}
	failed := make(chan error, 1)
	go func() { failed <- d.accept(server) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	d.draining.Store(true)
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	d.handOver(stopping)
	d.stopWaiting()
	return errors.Wrap(server.Shutdown(stopping), "stop the server")
}
