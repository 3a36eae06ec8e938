package gateway

import (
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/limits"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// admitTenant takes the request out of its tenant's limits, or counts the refusal
// and returns it. Done must be called on the grant at the end of the request.
func (g *Gateway) admitTenant(tenant *rockwindpb.Tenant, bounds *rockwindpb.Limits, now time.Time) (*limits.Grant, error) {
	grant, err := g.limiter.Admit(tenant.GetName(), bounds, now)
	if err != nil {
		g.metrics.refused.WithLabelValues("limit").Inc()
	}
	return grant, err
}

// limitWrites holds requests that write to the disks of the control machines to
// their tenant's limits, from before the first read of the body to the end of the
// handler. Tokens count for completions only.
func (g *Gateway) limitWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tenant := tenantOf(r)
		bounds := &rockwindpb.Limits{
			RequestsPerSecond: tenant.GetLimits().GetRequestsPerSecond(),
			Concurrency:       tenant.GetLimits().GetConcurrency(),
		}
		grant, err := g.admitTenant(tenant, bounds, time.Now())
		if err != nil {
			g.refuseUnread(w, r, err)
			return
		}
		defer grant.Done(0)
		next.ServeHTTP(w, r)
	})
}

// refuseUnread refuses a request whose body was not read, at once.
func (g *Gateway) refuseUnread(w http.ResponseWriter, r *http.Request, err error) {
	g.abandonBody(w, r)
	writeFault(w, err)
}

// abandonBody lets the answer go out at once. Without it the server waits for a
// part of the unread body first, for as long as the caller likes. HTTP/2 ends the
// stream alone and needs none of it.
func (g *Gateway) abandonBody(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor != 1 {
		return
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.stalls.body))
}
