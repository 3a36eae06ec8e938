package gateway

import (
	"context"
	"net"
	"net/http"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/secure"
)

// certificates holds the certificate sources for callers and for internal
// connections. TLS is off where a source is nil.
type certificates struct {
	callers  *secure.CertificateSource
	internal *secure.CertificateSource
}

func openCertificates(settings *rockwindpb.GatewaySettings, logger log.Interface) (certificates, error) {
	callers, err := secure.Open(secure.Callers, settings.GetCallerTls(), logger)
	if err != nil {
		return certificates{}, err
	}
	internal, err := secure.Open(secure.Internal, settings.GetInternalTls(), logger)
	if err != nil {
		return certificates{}, err
	}
	return certificates{callers: callers, internal: internal}, nil
}

// controlClient returns the HTTP client for calls to control machines.
func (c certificates) controlClient() *http.Client {
	transport := controlclient.NewTransport()
	if c.internal != nil {
		c.internal.Transport(transport)
	}
	return &http.Client{Transport: transport}
}

// sources returns the sources that are not nil.
func (c certificates) sources() []*secure.CertificateSource {
	var sources []*secure.CertificateSource
	for _, source := range []*secure.CertificateSource{c.callers, c.internal} {
		if source != nil {
			sources = append(sources, source)
		}
	}
	return sources
}

// watch starts goroutines that reload the certificate files until ctx is done.
func (c certificates) watch(ctx context.Context, group *errgroup.Group) {
	for _, source := range c.sources() {
		group.Go(func() error { source.Run(ctx); return nil })
	}
}

// useCertificates sets the certificates and registers their metrics. It must be
// called before run.
func (g *Gateway) useCertificates(opened certificates) {
	g.certificates = opened
	g.metrics.registry.MustRegister(secure.Metrics(opened.sources()))
}

// serveListener serves on a listener, over TLS if source is not nil.
func serveListener(server *http.Server, listener net.Listener, source *secure.CertificateSource) error {
	if source == nil {
		return server.Serve(listener)
	}
	server.TLSConfig = source.ServerConfig()
	return server.ServeTLS(listener, "", "")
}
