package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"rockwind.example/rockwind/internal/linkfault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// role is the role reported by State.
const role = "gateway"

// internalRoutes returns the handler of the internal listener: health checks,
// metrics, profiles and the admin service.
func (g *Gateway) internalRoutes() http.Handler {
	router := chi.NewRouter()
	router.Get(pathAlive, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get(pathReady, g.serveReady)
	router.Handle("/metrics", promhttp.HandlerFor(g.metrics.registry, promhttp.HandlerOpts{}))
	router.Mount("/debug", middleware.Profiler())
	admin := rockwindpb.NewAdminServiceServer(adminService{gateway: g})
	router.Handle(admin.PathPrefix()+"*", admin)
	if g.links != nil {
		router.Mount(linkfault.Path, g.links.Handler())
	}
	return router
}

// serveReady handles readiness checks. The gateway is ready if it has a configuration
// and does not drain.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	draining, _ := g.drain.state()
	if draining || g.follower.Current().Number() == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// adminService implements rockwindpb.AdminService.
type adminService struct {
	gateway *Gateway
}

// Logs returns the latest log entries.
func (s adminService) Logs(_ context.Context, request *rockwindpb.LogsRequest) (*rockwindpb.LogsResponse, error) {
	return &rockwindpb.LogsResponse{Lines: s.gateway.ring.Lines(int(request.GetLimit()))}, nil
}

// Drain starts the drain and returns once no request is in progress or the deadline
// has passed. The daemon exits when the drain is over.
func (s adminService) Drain(ctx context.Context, request *rockwindpb.DrainRequest) (*rockwindpb.DrainResponse, error) {
	s.gateway.drain.begin()
	if milliseconds := request.GetDeadlineMs(); milliseconds > 0 {
		bounded, cancel := context.WithTimeout(ctx, time.Duration(milliseconds)*time.Millisecond)
		defer cancel()
		ctx = bounded
	}
	select {
	case <-s.gateway.drain.idle:
	case <-ctx.Done():
	}
	return &rockwindpb.DrainResponse{}, nil
}

// State returns the daemon's configuration number, drain state and requests in
// progress.
func (s adminService) State(context.Context, *rockwindpb.DaemonStateRequest) (*rockwindpb.DaemonStateResponse, error) {
	g := s.gateway
	draining, active := g.drain.state()
	index := g.follower.Current()
	return &rockwindpb.DaemonStateResponse{
		Name: g.settings.GetName(), Role: role, ConfigurationNumber: index.Number(),
		ConfigurationChecksum: index.Checksum(), Draining: draining, RequestsInProgress: uint32(active),
	}, nil
}
