package site_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// quarantineCoordinator records when it received reports.
type quarantineCoordinator struct {
	rockwindpb.QuarantineService
	received []time.Time
}

// Report implements rockwindpb.QuarantineService.
func (c *quarantineCoordinator) Report(context.Context, *rockwindpb.ReportQuarantineRequest) (*rockwindpb.ReportQuarantineResponse, error) {
	c.received = append(c.received, time.Now())
	return &rockwindpb.ReportQuarantineResponse{}, nil
}

// Guards against crashes that are reported late: a client that retries each 100 ms crashes further servers meanwhile.
func TestCrashIsReportedSoon(t *testing.T) {
	const maxDelay = 100 * time.Millisecond
	inVirtualTime(t, func(t *testing.T, network *virtualNetwork) {
		coordinator := &quarantineCoordinator{}
		network.coordinators["core:1"] = rockwindpb.NewQuarantineServiceServer(coordinator)
		watcher, err := site.NewWatcher(&rockwindpb.SiteSettings{Seeds: []string{"core:1"}}, &http.Client{Transport: network}, "")
		if err != nil {
			t.Fatal(err)
		}
		reporter := site.NewQuarantineReporter(watcher)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			reporter.Run(ctx)
		}()
		began := time.Now()
		reporter.ReportCrash(&rockwindpb.ServerEnd{Content: make([]byte, 16), Server: "crashed", Route: "once"}, began)
		time.Sleep(time.Second)
		synctest.Wait()
		if len(coordinator.received) != 1 || coordinator.received[0].Sub(began) > maxDelay {
			t.Errorf("reported at %v after the crash at %v", coordinator.received, began)
		}
		stop()
		<-ended
	})
}
