package site_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/fingerprint"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// quarantineCoordinator records when it received reports. It accepts none while it is in an election.
type quarantineCoordinator struct {
	rockwindpb.QuarantineService
	electing atomic.Bool
	received []time.Time
}

// Report implements rockwindpb.QuarantineService.
func (c *quarantineCoordinator) Report(context.Context, *rockwindpb.ReportQuarantineRequest) (*rockwindpb.ReportQuarantineResponse, error) {
	if c.electing.Load() {
		return nil, fault.ToTwirp(fault.New(fault.Unavailable, "no coordinator leads", "repeat the call"))
	}
	c.received = append(c.received, time.Now())
	return &rockwindpb.ReportQuarantineResponse{}, nil
}

// startReporter starts a reporter on a site with one coordinator. The returned function stops it.
func startReporter(t *testing.T, network *virtualNetwork, coordinator *quarantineCoordinator) (reporter *site.QuarantineReporter, stop func()) {
	t.Helper()
	network.coordinators["core:1"] = rockwindpb.NewQuarantineServiceServer(coordinator)
	watcher, err := site.NewWatcher(&rockwindpb.SiteSettings{Seeds: []string{"core:1"}}, &http.Client{Transport: network}, "")
	if err != nil {
		t.Fatal(err)
	}
	reporter = site.NewQuarantineReporter(watcher)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reporter.Run(ctx)
	}()
	return reporter, func() {
		cancel()
		<-ended
	}
}

// Guards against crashes that are reported late: a client that retries each 100 ms crashes further servers meanwhile.
func TestCrashIsReportedSoon(t *testing.T) {
	const maxDelay = 100 * time.Millisecond
	inVirtualTime(t, func(t *testing.T, network *virtualNetwork) {
		coordinator := &quarantineCoordinator{}
		reporter, stop := startReporter(t, network, coordinator)
		began := time.Now()
		reporter.ReportCrash(&rockwindpb.ServerEnd{Content: make([]byte, 16), Server: "crashed", Route: "once"}, began, nil)
		time.Sleep(time.Second)
		synctest.Wait()
		if len(coordinator.received) != 1 || coordinator.received[0].Sub(began) > maxDelay {
			t.Errorf("reported at %v after the crash at %v", coordinator.received, began)
		}
		stop()
	})
}

// TestUnreportedCrashesHoldWhileCoordinatorsAreUnreachable guards against a request that crashes further servers because the
// router gave up its report of the first ones, and with it the quarantine, after ten seconds without a coordinator.
func TestUnreportedCrashesHoldWhileCoordinatorsAreUnreachable(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, network *virtualNetwork) {
		coordinator := &quarantineCoordinator{}
		coordinator.electing.Store(true)
		reporter, stop := startReporter(t, network, coordinator)
		content, _ := fingerprint.FromBytes(make([]byte, 16))
		held := func() time.Duration {
			return reporter.QuarantinedFor(func() fingerprint.Fingerprint { return content }, time.Now())
		}
		for _, server := range []string{"a", "b", "c"} {
			reporter.ReportCrash(&rockwindpb.ServerEnd{Content: content.Bytes(), Server: server, Route: "once"}, time.Now(), nil)
			time.Sleep(100 * time.Millisecond)
		}
		crashed := time.Now()
		for time.Since(crashed) < 9*time.Minute {
			if held() == 0 {
				t.Fatalf("%v after the last crash the content is no longer held", time.Since(crashed))
			}
			time.Sleep(time.Second)
		}
		coordinator.electing.Store(false)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if len(coordinator.received) == 0 {
			t.Error("the crashes are not reported once a coordinator answers")
		}
		if left := held(); left > 0 {
			t.Errorf("reported crashes are still held here for %v", left)
		}
		stop()
	})
}
