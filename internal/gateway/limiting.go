package gateway

import (
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/tenantlimits"
)

// admitTenant counts the request against its tenant's limits. If one is exceeded, it
// returns a fault. Otherwise the caller must call Done on the grant at the end of the
// request.
func (g *Gateway) admitTenant(tenant *rockwindpb.Tenant, tenantLimits *rockwindpb.Limits, now time.Time) (*tenantlimits.Grant, error) {
	grant, err := g.limiter.Admit(tenant.GetName(), tenantLimits, now)
	if err != nil {
		g.metrics.refused.WithLabelValues("limit").Inc()
	}
	return grant, err
}

// limitWrites applies the tenant's request rate and concurrency limits to requests
// that store data on control machines, before their body is read. The token limit
// applies to completions only.
func (g *Gateway) limitWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tenant := tenantOf(r)
		tenantLimits := &rockwindpb.Limits{
			RequestsPerSecond: tenant.GetLimits().GetRequestsPerSecond(),
			Concurrency:       tenant.GetLimits().GetConcurrency(),
		}
		grant, err := g.admitTenant(tenant, tenantLimits, time.Now())
		if err != nil {
			g.refuseUnread(w, r, err)
			return
		}
		defer grant.Done(0)
		next.ServeHTTP(w, r)
	})
}

// refuseUnread writes an error response to a request whose body was not read.
func (g *Gateway) refuseUnread(w http.ResponseWriter, r *http.Request, err error) {
	g.closeAfterResponse(w, r)
	writeFault(w, err)
}

// closeAfterResponse closes an HTTP/1 connection after the response and limits the
// wait for the unread body. Otherwise the HTTP server would first read a part of it,
// and a slow caller could delay the response. HTTP/2 resets only the stream.
func (g *Gateway) closeAfterResponse(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor != 1 {
		return
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.stalls.requestBody))
}
