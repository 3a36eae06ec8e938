package router

import (
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// currentFor is how long after the last word of a coordinator the configuration held here
// is taken for the one in force when something it lacks is to be denied: watches are
// answered once a second.
const currentFor = 2500 * time.Millisecond

// authenticate finds the tenant that an API key belongs to. It returns nil where the
// configuration has no tenants, and for requests without a known key where they are let in
// without one.
func (r *Router) authenticate(index *configuration.Index, key string, public bool) (*rockwindpb.Tenant, error) {
	if len(index.Tenants()) == 0 {
		return nil, nil
	}
	if tenant, known := index.TenantByAPIKey(key); known && key != "" {
		return tenant, r.keysHold()
	}
	if public {
		return nil, nil
	}
	if key == "" {
		return nil, fault.New(fault.Unauthenticated, "the request carries no API key", "send a key of a tenant").WithRan(fault.NotRun)
	}
	return nil, r.deny(fault.New(fault.Unauthenticated, "no tenant has this API key", "send a key that the configuration has"))
}

// keyLifePart is the part of the life of keys after which they are let in no more: a request
// may wait and run for a while after it was let in.
const keyLifePart = 0.5

// keysHold fails where keys may have been taken away for so long without a word to this
// router that they must not be let in any more.
func (r *Router) keysHold() error {
	if r.keyLife == 0 || time.Since(r.watcher.LastHeard()) <= time.Duration(keyLifePart*float64(r.keyLife)) {
		return nil
	}
	return fault.New(fault.Unavailable, "this router has not heard for a while which API keys hold", "ask another router").
		WithRan(fault.NotRun).WithRetryAfter(unknownReturn)
}

// deny is the refusal of what the configuration here does not have. A router that has not
// heard of a coordinator for a while does not know whether a newer one has it.
func (r *Router) deny(refusal *fault.Fault) *fault.Fault {
	if time.Since(r.watcher.LastHeard()) <= currentFor {
		return refusal.WithRan(fault.NotRun)
	}
	return fault.Newf(fault.Unavailable, "ask another router", "this router may lack the newest configuration, in the one it has: %s", refusal.Message).
		WithRan(fault.NotRun).WithRetryAfter(unknownReturn)
}

// WithTenant finds the tenant of a call about batch jobs by the key that its headers carry, and
// refuses the call where there is none. The tenant's name is empty for calls without a key,
// which reach only the jobs of no tenant.
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
	if !r.watcher.Known() {
		return "", knowsNothing(unknownReturn)
	}
	facts, err := r.protocol.ParseRequest(header)
	if err != nil {
		return "", err
	}
	tenant, err := r.authenticate(r.watcher.Configuration(), facts.APIKey, facts.APIKey == "")
	return tenant.GetName(), err
}
