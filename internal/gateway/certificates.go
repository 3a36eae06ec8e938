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

// certificates are those of the gateway; either may be nil, which turns TLS off.
type certificates struct {
	callers  *secure.Source
	internal *secure.Source
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

// controlClient returns the client for calls to control machines.
func (c certificates) controlClient() *http.Client {
	transport := controlclient.NewTransport()
	if c.internal != nil {
		c.internal.Transport(transport)
	}
	return &http.Client{Transport: transport}
}

// sources lists the sources that are turned on.
func (c certificates) sources() []*secure.Source {
	var sources []*secure.Source
	for _, source := range []*secure.Source{c.callers, c.internal} {
		if source != nil {
			sources = append(sources, source)
		}
	}
	return sources
}

// watch reloads the files in the group until the context ends.
func (c certificates) watch(ctx context.Context, group *errgroup.Group) {
	for _, source := range c.sources() {
		group.Go(func() error { source.Run(ctx); return nil })
	}
}

// secure puts the certificates in place before the gateway runs.
func (g *Gateway) secure(opened certificates) {
	g.certificates = opened
	g.metrics.registry.MustRegister(secure.Metrics(opened.sources()))
}

// accept serves on a listener, by TLS where there are certificates.
func accept(server *http.Server, listener net.Listener, source *secure.Source) error {
	if source == nil {
		return server.Serve(listener)
	}
	server.TLSConfig = source.ServerConfig()
	return server.ServeTLS(listener, "", "")
}
