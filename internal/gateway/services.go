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

// servicesPrefix is the path prefix of services.
const servicesPrefix = "/services/"

// defaultServiceTimeout bounds the time to the first byte and between bytes of a
// response if the service has no timeout configured.
const defaultServiceTimeout = 30 * time.Second

// serveService relays a request to a plain HTTP service.
func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "service")
	service, found := g.follower.Current().Service(name)
	if !found {
		writeFault(w, g.denial(fault.Newf(fault.NotFound, "check the name of the service", "there is no service %q", name).WithRan(fault.NotRun)))
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
		Header: forwardedHeader(r.Header), Repeatable: serviceRepeatable(r),
		Timeouts: upstream.Timeouts{Connect: connectTimeout, FirstByte: timeout, BetweenBytes: timeout},
	}
	call.serve()
}

// servicePath returns the path and query of the request at the service.
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

// forwardedHeader returns the headers that are forwarded to a service. API keys are
// removed.
func forwardedHeader(header http.Header) http.Header {
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if hopByHopHeaders[name] || name == headerAuthorization || name == headerAPIKey {
			continue
		}
		forwarded[name] = values
	}
	return forwarded
}

// serviceRepeatable reports whether a request to a service may run more than once: as
// the caller specifies, otherwise if its method is safe.
func serviceRepeatable(r *http.Request) bool {
	if value := r.Header.Get(headerRepeatable); value != "" {
		return value == "true"
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
}
