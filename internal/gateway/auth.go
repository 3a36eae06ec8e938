package gateway

import (
	"context"
	"net/http"
	"strings"

	"rockwind.example/rockwind/internal/fault"
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
			g.refuseUnread(w, r, fault.New(fault.Unauthenticated, "the API key is not known",
				"check the key, or ask the operator to add it to the tenant").WithRan(fault.NotRun))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), tenantContextKey{}, tenant)))
	})
}

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
