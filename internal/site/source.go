package site

import (
	"context"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
)

// configurationSource is the configuration service of the preferred coordinator. Watch waits while
// no coordinator answers.
type configurationSource struct{ watcher *Watcher }

// Watch implements rockwindpb.ConfigurationService.
func (s configurationSource) Watch(ctx context.Context, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	s.watcher.awaitAnswer(ctx)
	return s.service().Watch(ctx, request)
}

// Get implements rockwindpb.ConfigurationService.
func (s configurationSource) Get(ctx context.Context, request *rockwindpb.GetConfigurationRequest) (*rockwindpb.GetConfigurationResponse, error) {
	return s.service().Get(ctx, request)
}

// Apply implements rockwindpb.ConfigurationService.
func (s configurationSource) Apply(ctx context.Context, request *rockwindpb.ApplyConfigurationRequest) (*rockwindpb.ApplyConfigurationResponse, error) {
	return s.service().Apply(ctx, request)
}

func (s configurationSource) service() rockwindpb.ConfigurationService {
	address := s.watcher.Coordinators()[0]
	s.watcher.setConfigurationAddress(address)
	return rockwindpb.NewConfigurationServiceProtobufClient("http://"+address, twirphttp.Client{HTTPClient: s.watcher.client})
}
