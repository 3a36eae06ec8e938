package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/follower"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Request headers that carry an API key.
const (
	headerAuthorization = "Authorization"
	headerAPIKey        = "X-Api-Key"
	bearerPrefix        = "Bearer "
)

// tenantKey is the context key of the authenticated tenant.
type tenantContextKey struct{}

// authenticate rejects requests without a known API key and puts the tenant of
// the key into the request's context.
func (g *Gateway) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := apiKey(r)
		if key == "" {
			g.refuseUnread(w, r, fault.New(fault.Unauthenticated, "the request carries no API key",
				"send it in the Authorization header as 'Bearer KEY'").WithRan(fault.NotRun))
			return
		}
		tenant, found := g.follower.Current().TenantByAPIKey(key)
		if !found {
			g.refuseUnread(w, r, g.denial(fault.New(fault.Unauthenticated, "the API key is not known",
				"check the key, or ask the operator to add it to the tenant").WithRan(fault.NotRun)))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), tenantContextKey{}, tenant)))
	})
}

// maxConfigurationAge is how long after the last answer of a control replica the configuration may be used
// to deny a request. A replica without a change holds each call for follower.DefaultWait.
const maxConfigurationAge = 2 * (follower.DefaultWait + follower.DefaultGrace)

// denial returns the refusal of something that the current configuration lacks. Without recent contact to
// control, as after a start with a configuration from disk, a newer one may have it.
func (g *Gateway) denial(refusal *fault.Fault) *fault.Fault {
	if time.Since(g.follower.LastHeard()) <= maxConfigurationAge {
		return refusal
	}
	return fault.Newf(fault.Unavailable, "use another gateway", "this gateway may not have the newest configuration; according to its own, %s", refusal.Message).
		WithRan(fault.NotRun).WithRetryAfter(unconfirmedRetryAfter)
}

// unconfirmedRetryAfter is the retry delay of callers that are refused by an old configuration.
const unconfirmedRetryAfter = time.Second

func apiKey(r *http.Request) string {
	if value := r.Header.Get(headerAuthorization); strings.HasPrefix(value, bearerPrefix) {
		return strings.TrimSpace(value[len(bearerPrefix):])
	}
	return r.Header.Get(headerAPIKey)
}

// tenantOf returns the tenant that authenticate put into the context.
func tenantOf(r *http.Request) *rockwindpb.Tenant {
	tenant, _ := r.Context().Value(tenantContextKey{}).(*rockwindpb.Tenant)
	return tenant
}
