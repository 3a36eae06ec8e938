package gateway

import (
	"net/http"
	"os"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/linkfault"
	"rockwind.example/rockwind/internal/logring"
	"rockwind.example/rockwind/internal/upstream"
)

// Option changes how a gateway runs.
type Option func(*options)

type options struct {
	controlClient *http.Client
	backEndClient *upstream.Client
	observe       func(*configuration.Index)
	ring          *logring.Ring
	links         *linkfault.Links
}

// WithControlClient sets the HTTP client of all calls to control machines, in
// place of one that the settings describe.
func WithControlClient(client *http.Client) Option {
	return func(o *options) { o.controlClient = client }
}

// WithBackEndDial sets how connections to back ends are opened.
func WithBackEndDial(dial upstream.DialFunc) Option {
	return func(o *options) { o.backEndClient = upstream.NewClientWithDial(dial) }
}

// WithConfigurationObserver calls observe whenever a configuration is put in
// force, from the goroutine that follows configurations.
func WithConfigurationObserver(observe func(*configuration.Index)) Option {
	return func(o *options) { o.observe = observe }
}

// WithLinkFaults cuts the links to control machines over HTTP at the internal
// address, for experiments.
func WithLinkFaults(links *linkfault.Links) Option {
	return func(o *options) { o.links = links }
}

// WithLogs makes the gateway log to the given ring, which its owner can write
// out.
func WithLogs(ring *logring.Ring) Option {
	return func(o *options) { o.ring = ring }
}

func collect(given []Option) options {
	collected := options{
		backEndClient: upstream.NewClient(),
		observe:       func(*configuration.Index) {},
		ring:          logring.New(logring.DefaultCapacity, os.Stderr),
	}
	for _, option := range given {
		option(&collected)
	}
	return collected
}
