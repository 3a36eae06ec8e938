package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/serverview"
	"rockwind.example/rockwind/internal/upstream"
)

// servicesPrefix is where services are found.
const servicesPrefix = "/services/"

// defaultServiceTimeout bounds a service's silence when none is configured.
const defaultServiceTimeout = 30 * time.Second

// serveService passes a request on to a plain HTTP service.
func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "service")
	service, found := g.follower.Current().Service(name)
	if !found {
		writeFault(w, fault.Newf(fault.NotFound, "check the name of the service", "there is no service %q", name).WithRan(fault.NotRun))
		return
	}
	body, err := readBody(w, r)
	if err != nil {
		writeFault(w, err)
		return
	}
	timeout := service.GetTimeout().AsDuration()
	if timeout <= 0 {
		timeout = defaultServiceTimeout
	}
	call := &call{gateway: g, writer: w, request: r, body: body}
	call.chooser = &chooser{view: g.view, wanted: serverview.Requirements{Service: name}}
	call.upstream = &upstream.Request{
		ID: w.Header().Get(upstream.HeaderRequestID), Kind: upstream.Service, Method: r.Method, Path: servicePath(r, name), Body: body,
		Header: serviceHeader(r.Header), Repeatable: serviceRepeatable(r),
		Timeouts: upstream.Timeouts{Connect: connectTimeout, FirstByte: timeout, BetweenBytes: timeout},
	}
	call.serve()
}

// servicePath is the path at the service, with the query.
func servicePath(r *http.Request, name string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix+name)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// serviceHeader is what a service gets of the caller's headers. API keys are
// for the gateway only.
func serviceHeader(header http.Header) http.Header {
	passed := make(http.Header, len(header))
	for name, values := range header {
		if hopHeaders[name] || name == headerAuthorization || name == headerAPIKey {
			continue
		}
		passed[name] = values
	}
	return passed
}

// serviceRepeatable tells whether a request to a service may run more than
// once: where the caller says so, and else where its method is safe.
func serviceRepeatable(r *http.Request) bool {
	if value := r.Header.Get(headerRepeatable); value != "" {
		return value == "true"
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
}
