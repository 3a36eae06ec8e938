package site

import (
	"context"
	"net/http/httptrace"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
)

// configurationSource is the configuration service of the preferred coordinator. Watch waits while
// no coordinator answers.
type configurationSource struct{ watcher *Watcher }

// Watch implements rockwindpb.ConfigurationService.
func (s configurationSource) Watch(ctx context.Context, request *rockwindpb.WatchConfigurationRequest) (*rockwindpb.WatchConfigurationResponse, error) {
	s.watcher.awaitAnswer(ctx)
	address := s.watcher.Coordinators()[0]
	call := s.watcher.beginConfigurationCall(address)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { s.watcher.recordFirstByte(call) }})
	response, err := s.serviceAt(address).Watch(ctx, request)
	s.watcher.endConfigurationCall(err == nil)
	return response, err
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
	return s.serviceAt(s.watcher.Coordinators()[0])
}

func (s configurationSource) serviceAt(address string) rockwindpb.ConfigurationService {
	return rockwindpb.NewConfigurationServiceProtobufClient("http://"+address, twirphttp.Client{HTTPClient: s.watcher.client})
}

// configurationCall is a call for a newer configuration.
type configurationCall struct {
	address string
	// startedAt is when the call started, and answering is set once its answer has begun. A transfer
	// may take long and is not aborted.
	startedAt time.Time
	answering bool
}

// beginConfigurationCall records the start of a configuration call. The follower makes one at a time.
func (w *Watcher) beginConfigurationCall(address string) *configurationCall {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.configurationCall = &configurationCall{address: address, startedAt: time.Now()}
	return w.configurationCall
}

// recordFirstByte records that the answer to a configuration call has begun.
func (w *Watcher) recordFirstByte(call *configurationCall) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	call.answering = true
}

// endConfigurationCall records the end of the configuration call in progress.
func (w *Watcher) endConfigurationCall(answered bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.configurationCall = nil
	if answered {
		w.lostCalls = 0
	}
}

// configurationCallAt reports whether a configuration call is in progress at a coordinator that
// announces a newer configuration, and whether the call is lost. The caller aborts a lost call.
func (w *Watcher) configurationCallAt(address string) (inProgress, lost bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	call := w.configurationCall
	if call == nil || call.address != address {
		return false, false
	}
	if call.answering || time.Since(call.startedAt) < lostCallTimeout<<min(w.lostCalls, maxLostCallDoublings) {
		return true, false
	}
	w.lostCalls++
	return true, true
}
