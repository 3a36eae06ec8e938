package router

import (
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// authenticate returns the tenant of an API key. It returns nil if the configuration has no
// tenants, and for requests without a known key on public routes.
func (r *Router) authenticate(index *configuration.Index, key string, public bool) (*rockwindpb.Tenant, error) {
	if len(index.Tenants()) == 0 {
		return nil, nil
	}
	if tenant, known := index.TenantByAPIKey(key); known && key != "" {
		return tenant, r.checkKeysCurrent()
	}
	if public {
		return nil, nil
	}
	if key == "" {
		return nil, fault.New(fault.Unauthenticated, "the request carries no API key", "send a key of a tenant").WithRan(fault.NotRun)
	}
	return nil, r.denial(fault.New(fault.Unauthenticated, "no tenant has this API key", "send a key that the configuration has"))
}

// keyLifetimeFraction is the fraction of the key lifetime after which keys are no longer
// accepted, because accepted requests may still wait and run for a while.
const keyLifetimeFraction = 0.5

// checkKeysCurrent fails if this router has been without contact to a coordinator for too long to
// rule out that keys were revoked.
func (r *Router) checkKeysCurrent() error {
	if r.keyLifetime == 0 || time.Since(r.watcher.LastContact()) <= time.Duration(keyLifetimeFraction*float64(r.keyLifetime)) {
		return nil
	}
	return fault.New(fault.Unavailable, "this router has not heard for a while which API keys hold", "use another router").
		WithRan(fault.NotRun).WithRetryAfter(notReadyRetryAfter)
}

// denial returns the refusal of something that the local configuration lacks. Unless a coordinator has
// recently confirmed that this configuration is the newest, a newer one may have it, and the client should
// ask another router.
func (r *Router) denial(refusal *fault.Fault) *fault.Fault {
	if r.watcher.ConfigurationAge() <= site.MaxConfigurationAge {
		return refusal.WithRan(fault.NotRun)
	}
	return fault.Newf(fault.Unavailable, "use another router", "this router may not have the newest configuration; according to its own, %s", refusal.Message).
		WithRan(fault.NotRun).WithRetryAfter(notReadyRetryAfter)
}

// WithTenant authenticates a call of the batch job API and passes on the tenant's name. The name
// is empty for calls without a key, which reach only jobs without a tenant.
func (r *Router) WithTenant(handle func(writer http.ResponseWriter, request *http.Request, tenant string)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		tenant, err := r.tenantOf(request.Header)
		if err != nil {
			WriteJobError(writer, err)
			return
		}
		handle(writer, request, tenant)
	}
}

func (r *Router) tenantOf(header http.Header) (string, error) {
	if !r.watcher.Initialized() {
		return "", notReadyFault(notReadyRetryAfter)
	}
	info, err := r.protocol.ParseRequest(header)
	if err != nil {
		return "", err
	}
	tenant, err := r.authenticate(r.watcher.Configuration(), info.APIKey, info.APIKey == "")
	return tenant.GetName(), err
}
