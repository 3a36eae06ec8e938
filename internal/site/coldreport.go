package site

import (
	"context"
	"math"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
)

// maxColdReportAge is how long a cold time is reported. This process applies it in any case.
const maxColdReportAge = 10 * time.Second

// ReportCold reports to the coordinators for how long a server stays cold, as read in a health answer
// just now. It tries one coordinator after the other until one accepts the report, for up to
// maxColdReportAge.
func (w *Watcher) ReportCold(ctx context.Context, id string, cold time.Duration) error {
	observedAt := time.Now()
	for {
		err := w.callCoordinators(ctx, func(callCtx context.Context, address string) error {
			service := rockwindpb.NewColdServerServiceProtobufClient("http://"+address, twirphttp.Client{HTTPClient: w.client})
			_, err := service.Report(callCtx, &rockwindpb.ColdServerCommand{Server: w.observedColdServer(id, cold-time.Since(observedAt))})
			return err
		})
		if err == nil {
			return nil
		}
		if time.Since(observedAt) > min(cold, maxColdReportAge) || !retry.Pause(ctx, reportRetryPause) {
			log.WithError(err).WithField("server", id).Debug("no coordinator accepted the cold time of a health answer")
			return err
		}
	}
}

// observedColdServer returns the report of a cold time that a server gave in a health answer. A health
// answer has no sequence, so it counts as recent as the newest report that is known here.
func (w *Watcher) observedColdServer(id string, cold time.Duration) *rockwindpb.ColdServer {
	observed := &rockwindpb.ColdServer{Id: id, ColdMs: uint32(max(0, min(cold.Milliseconds(), math.MaxUint32)))}
	if view := w.Directory(); view != nil {
		known, _ := view.Server(id)
		observed.BornUnixMs, observed.Sequence = known.GetBornUnixMs(), known.GetSequence()
	}
	if listed := w.ColdServers().Server(id); listed != nil && listed.GetBornUnixMs() == observed.GetBornUnixMs() {
		observed.Sequence = max(observed.GetSequence(), listed.GetSequence())
	}
	return observed
}
