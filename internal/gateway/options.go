package gateway

import (
	"net/http"
	"os"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/linkfault"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/upstream"
)

// Option configures a gateway.
type Option func(*options)

type options struct {
	controlClient   *http.Client
	backEndClient   *upstream.Client
	onConfiguration func(*configuration.Index)
	ring            *logring.Ring
	links           *linkfault.Links
}

// WithControlClient sets the HTTP client for calls to control machines. The default
// client is created from the settings.
func WithControlClient(client *http.Client) Option {
	return func(o *options) { o.controlClient = client }
}

// WithBackEndDial sets the function that connects to back ends.
func WithBackEndDial(dial upstream.DialFunc) Option {
	return func(o *options) { o.backEndClient = upstream.NewClientWithDial(dial) }
}

// WithConfigurationObserver sets a function that is called with each configuration
// that the gateway has applied. The calls are not concurrent.
func WithConfigurationObserver(observe func(*configuration.Index)) Option {
	return func(o *options) { o.onConfiguration = observe }
}

// WithLinkFaults allows experiments to cut the connections to control machines by
// HTTP requests to the internal address.
func WithLinkFaults(links *linkfault.Links) Option {
	return func(o *options) { o.links = links }
}

// WithLogs sets the ring buffer that the gateway logs to.
func WithLogs(ring *logring.Ring) Option {
	return func(o *options) { o.ring = ring }
}

func collect(opts []Option) options {
	result := options{
		backEndClient:   upstream.NewClient(),
		onConfiguration: func(*configuration.Index) {},
		ring:            logring.New(logring.DefaultCapacity, os.Stderr),
	}
	for _, option := range opts {
		option(&result)
	}
	return result
}
