package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/upstream"
)

// coldRecorder is a coordinator's service that records cold reports.
type coldRecorder struct{ reports chan *rockwindpb.ColdServer }

// fixedDirectory is a coordinator's directory of one server.
type fixedDirectory struct{ rockwindpb.DirectoryService }

// Watch implements rockwindpb.DirectoryService. Its directory never changes.
func (fixedDirectory) Watch(ctx context.Context, request *rockwindpb.WatchDirectoryRequest) (*rockwindpb.WatchDirectoryResponse, error) {
	if request.GetHaveRevision() > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(request.GetWaitMs()) * time.Millisecond):
		}
		return &rockwindpb.WatchDirectoryResponse{Revision: 1}, nil
	}
	return &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true, Servers: []*rockwindpb.Server{
		{Id: "server", Service: "app", Sequence: 3, BornUnixMs: 7},
	}}, nil
}

// Report implements rockwindpb.ColdServerService.
func (r coldRecorder) Report(_ context.Context, command *rockwindpb.ColdServerCommand) (*rockwindpb.ReportColdServerResponse, error) {
	r.reports <- command.GetServer()
	return &rockwindpb.ReportColdServerResponse{}, nil
}

// Guards against the cold time of a health answer that is read after a broken connection and then dropped. It
// is applied here and reported once, unless it was known.
func TestCrashCheckReportsColdTime(t *testing.T) {
	t.Parallel()
	recorder := coldRecorder{make(chan *rockwindpb.ColdServer, 10)}
	mux := http.NewServeMux()
	mux.Handle(rockwindpb.ColdServerServicePathPrefix, rockwindpb.NewColdServerServiceServer(recorder))
	mux.Handle(rockwindpb.DirectoryServicePathPrefix, rockwindpb.NewDirectoryServiceServer(fixedDirectory{}))
	coordinator := httptest.NewServer(mux)
	defer coordinator.Close()
	settings := &rockwindpb.SiteSettings{Name: "router", Seeds: []string{strings.TrimPrefix(coordinator.URL, "http://")}}
	watcher, err := site.NewWatcher(settings, http.DefaultClient, "")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = watcher.Run(ctx) }()
	for deadline := time.Now().Add(10 * time.Second); watcher.Directory() == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the watcher has no directory")
		}
	}
	dispatcher := NewDispatcher("east", topology.Map{}, featuregate.Set{})
	reporter := NewCrashReporter(watcher, upstream.NewClientWithDial(nil), PlainProtocol{}, dispatcher)
	identity := directory.Identity{Found: "server", ColdMs: 9000}
	reporter.identifier = func(context.Context, *rockwindpb.Server, string) (directory.Identity, error) { return identity, nil }
	known, applied := false, time.Duration(0)
	reporter.observeCold = func(id string, cold time.Duration) bool {
		applied = max(applied, cold)
		return id == "server" && !known
	}
	if got := reporter.identify("server"); got != identity {
		t.Errorf("the answer is %+v", got)
	}
	select {
	case reported := <-recorder.reports:
		if cold := reported.GetColdMs(); reported.GetId() != "server" || reported.GetBornUnixMs() != 7 || reported.GetSequence() != 3 || cold > 9000 || cold < 5000 || applied != 9*time.Second {
			t.Errorf("reported %v, applied %v", reported, applied)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the cold time is not reported")
	}
	known = true
	reporter.identify("server")
	identity.ColdMs = 0
	reporter.identify("server")
	time.Sleep(50 * time.Millisecond)
	if len(recorder.reports) > 0 {
		t.Errorf("a known cold time or none is reported: %v", <-recorder.reports)
	}
}
