package site_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
)

// virtualNetwork carries the calls to coordinators in memory, so that time limits of tests do not depend on
// the load of the machine. Calls that are aborted on the way do not reach a coordinator.
type virtualNetwork struct {
	coordinators map[string]http.Handler
	// configurationDelay is the one-way delay of configuration calls, and transfer how long their
	// responses take after the first byte.
	configurationDelay, transfer time.Duration
}

// inVirtualTime runs a test in virtual time.
func inVirtualTime(t *testing.T, run func(t *testing.T, network *virtualNetwork)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { run(t, &virtualNetwork{coordinators: make(map[string]http.Handler)}) })
}

// RoundTrip implements http.RoundTripper.
func (n *virtualNetwork) RoundTrip(request *http.Request) (*http.Response, error) {
	coordinator, known := n.coordinators[request.URL.Host]
	if !known {
		return nil, fmt.Errorf("no coordinator at %s", request.URL.Host)
	}
	ctx := request.Context()
	trace := httptrace.ContextClientTrace(ctx)
	if trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	var delay, transfer time.Duration
	if strings.Contains(request.URL.Path, "ConfigurationService") {
		delay, transfer = n.configurationDelay, n.transfer
	}
	if err := sleep(ctx, delay); err != nil {
		return nil, err
	}
	recorder := httptest.NewRecorder()
	coordinator.ServeHTTP(recorder, request)
	if err := sleep(ctx, delay); err != nil {
		return nil, err
	}
	if trace != nil && trace.GotFirstResponseByte != nil {
		trace.GotFirstResponseByte()
	}
	if err := sleep(ctx, transfer); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// sleep returns the error of the context if it ends before the time is over.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
	return ctx.Err()
}

// add adds a coordinator, which must not happen after the start of a watcher, and returns its address.
func (n *virtualNetwork) add(coordinator *fakeCoordinator) string {
	address := fmt.Sprintf("10.0.0.%d:1", len(n.coordinators)+1)
	n.coordinators[address] = coordinator.handler()
	return address
}

// startWatcher runs a watcher with the given seeds until the end of the test.
func (n *virtualNetwork) startWatcher(t *testing.T, seeds ...string) *site.Watcher {
	t.Helper()
	return n.startWatcherInZone(t, "", seeds...)
}

// startWatcherInZone runs a watcher in a zone until the end of the test.
func (n *virtualNetwork) startWatcherInZone(t *testing.T, zone string, seeds ...string) *site.Watcher {
	t.Helper()
	watcher, err := site.NewWatcher(&rockwindpb.SiteSettings{Name: "front", Zone: zone, Seeds: seeds}, &http.Client{Transport: n}, "")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- watcher.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return watcher
}
