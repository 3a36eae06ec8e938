package gateway

import (
	"net/http"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/controlclient"
)

// Option changes how a gateway runs.
type Option func(*options)

type options struct {
	controlClient *http.Client
	observe       func(*configuration.Index)
}

// WithControlClient sets the HTTP client of all calls to control machines.
func WithControlClient(client *http.Client) Option {
	return func(o *options) { o.controlClient = client }
}

// WithConfigurationObserver calls observe whenever a configuration is put in
// force, from the goroutine that follows configurations.
func WithConfigurationObserver(observe func(*configuration.Index)) Option {
	return func(o *options) { o.observe = observe }
}

func collect(given []Option) options {
	collected := options{
		controlClient: &http.Client{Transport: controlclient.NewTransport()},
		observe:       func(*configuration.Index) {},
	}
	for _, option := range given {
		option(&collected)
	}
	return collected
}
