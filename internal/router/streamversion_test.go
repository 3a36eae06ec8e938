package router

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// versionStream serves streams of three events that hold the version. A stream that is not resumed breaks off after
// the first event.
func versionStream(version string) exchangeServer {
	return func(conn net.Conn, reader *bufio.Reader, request *http.Request) {
		body := fmt.Sprintf("id: 1\ndata: %s\n\nid: 2\nda", version)
		if request.Header.Get(HeaderLastEvent) == "1" {
			body = fmt.Sprintf("id: 2\ndata: %s\n\nid: 3\ndata: %s\n\n", version, version)
		}
		sendsStream(upstream.FramingClose, body)(conn, reader, request)
	}
}

// versionsIn returns the versions of the events in a body.
func versionsIn(body string) []string {
	var versions []string
	for line := range strings.Lines(body) {
		if version, found := strings.CutPrefix(strings.TrimSpace(line), "data: "); found {
			versions = append(versions, version)
		}
	}
	return versions
}

// newVersionTest returns a router with two servers each of the versions v1 and v2.
func newVersionTest(t *testing.T) *exchangeTest {
	t.Helper()
	c := newExchangeTest(t, nil)
	for number := range 4 {
		version := fmt.Sprint("v", 1+number%2)
		c.addVersionServer(fmt.Sprint("server-", number), "zone", version, 4, versionStream(version))
	}
	return c
}

// removeVersion reports the servers of a version as gone.
func (c *exchangeTest) removeVersion(version string) {
	for _, server := range c.register.View().Servers() {
		if server.GetVersion() == version {
			c.register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
				Id: server.GetId(), Service: server.GetService(), Address: server.GetAddress(), Zone: server.GetZone(), Version: version, Slots: server.GetSlots(),
				State: rockwindpb.ServerState_SERVER_STATE_GONE, Sequence: server.GetSequence() + 1,
			}}})
		}
	}
	c.router.dispatcher.Update(c.register.View())
}

// begin sends a request whose stream breaks off and returns the version of its event.
func (c *exchangeTest) begin(id string) string {
	c.t.Helper()
	route := streamRoute(true)
	route.Attempts = 1
	got := c.sendInfo(c.t.Context(), route, RequestInfo{ID: id, Timeout: 5 * time.Second})
	versions := versionsIn(got.Body.String())
	if !got.aborted || len(versions) != 1 {
		c.t.Fatalf("aborted %v, status %d, body %q", got.aborted, got.Code, got.Body)
	}
	return versions[0]
}

// resume resumes a stream after its first event.
func (c *exchangeTest) resume(id, resumes string) exchangeResult {
	return c.sendInfo(c.t.Context(), streamRoute(true), RequestInfo{ID: id, Timeout: 5 * time.Second, ResumeAfter: "1", Resumes: resumes})
}

const versionTries = 40

// Guards against a stream that goes on at a server of another software version within one answer.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVersionTest(t)
		for try := range versionTries {
			got := c.sendInfo(t.Context(), streamRoute(true), RequestInfo{ID: fmt.Sprint("request-", try), Timeout: 5 * time.Second})
			if versions := versionsIn(got.Body.String()); got.aborted || len(versions) != 3 || len(slices.Compact(versions)) != 1 {
				t.Fatalf("aborted %v, status %d, body %q", got.aborted, got.Code, got.Body)
			}
		}
	})
}

// Guards against a stream that goes on at another version, or waits, after the last other server of its version has left.
func TestBrokenStreamWithoutServerOfItsVersionIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newExchangeTest(t, nil)
		c.addVersionServer("one", "zone", "v1", 4, versionStream("v1"))
		c.addVersionServer("two", "zone", "v2", 4, versionStream("v2"))
		for try := range versionTries {
			got := c.sendInfo(t.Context(), streamRoute(true), RequestInfo{ID: fmt.Sprint("request-", try), Timeout: 5 * time.Second})
			if versions := versionsIn(got.Body.String()); !got.aborted || len(versions) != 1 || got.took > 500*time.Millisecond {
				t.Fatalf("aborted %v after %v, status %d, body %q", got.aborted, got.took, got.Code, got.Body)
			}
		}
	})
}

// Guards against a client's next try that goes on at another software version.
func TestResumedStreamGoesOnAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVersionTest(t)
		for try := range versionTries {
			first := fmt.Sprint("first-", try)
			version := c.begin(first)
			// A second try whose answer the client has not read changes nothing.
			c.resume(fmt.Sprint("unread-", try), first)
			got := c.resume(fmt.Sprint("next-", try), first)
			if versions := versionsIn(got.Body.String()); got.Code != http.StatusOK || !slices.Equal(versions, []string{version, version}) {
				t.Fatalf("the stream began at %s: aborted %v, status %d, body %q", version, got.aborted, got.Code, got.Body)
			}
		}
	})
}

// Guards against a resumed stream that goes on at another version, or waits, once no server of its own is left. The
// answer must say that it did not run and why, and must not ask the client to come back.
func TestResumedStreamWithoutServerOfItsVersionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVersionTest(t)
		version := c.begin("first")
		c.removeVersion(version)
		got := c.resume("next", "first")
		if got.Code != http.StatusServiceUnavailable || got.took > 0 || got.Header().Get("Retry-After") != "" || !strings.Contains(got.Body.String(), version) || !strings.Contains(got.Body.String(), string(fault.VersionGone)) {
			t.Errorf("status %d after %v, Retry-After %q, body %q", got.Code, got.took, got.Header().Get("Retry-After"), got.Body)
		}
	})
}

// Guards against a resumed stream that goes on anywhere although the version at which it began is not known.
func TestResumedStreamOfUnknownVersionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVersionTest(t)
		if got := c.resume("next", "never-seen"); got.Code != http.StatusServiceUnavailable || len(versionsIn(got.Body.String())) > 0 {
			t.Errorf("status %d, body %q", got.Code, got.Body)
		}
	})
}

// Guards against refusals of resumed streams on a site whose servers have one version, or do not say which.
func TestResumedStreamGoesOnWithOneVersion(t *testing.T) {
	for _, version := range []string{"", "v1"} {
		synctest.Test(t, func(t *testing.T) {
			c := newExchangeTest(t, nil)
			c.addVersionServer("one", "zone", version, 4, versionStream("v1"))
			c.addVersionServer("two", "zone", version, 4, versionStream("v1"))
			for _, resumes := range []string{"", "never-seen"} {
				if got := c.resume("next", resumes); got.aborted || got.Code != http.StatusOK || len(versionsIn(got.Body.String())) != 2 {
					t.Errorf("version %q, resumes %q: status %d, body %q", version, resumes, got.Code, got.Body)
				}
			}
		})
	}
}

// Guards against refusals of clients that do not say which request began their stream: these are served as before.
func TestResumedStreamWithoutNameGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newVersionTest(t)
		if got := c.resume("next", ""); got.aborted || got.Code != http.StatusOK || len(versionsIn(got.Body.String())) != 2 {
			t.Errorf("status %d, body %q", got.Code, got.Body)
		}
	})
}

// Guards against a resumed stream that goes on at another service of a split route, because the service is chosen by the
// identifier of the client's new try.
func TestResumedStreamGoesOnAtItsService(t *testing.T) {
	c := newExchangeTest(t, nil)
	route := streamRoute(true)
	route.Split = []*rockwindpb.ServiceShare{{Service: "app", Weight: 50}, {Service: "other", Weight: 50}}
	for try := range versionTries {
		first, next := fmt.Sprint("first-", try), fmt.Sprint("next-", try)
		request := httptest.NewRequest(http.MethodPost, "http://app/", nil)
		created := c.router.newExchange(httptest.NewRecorder(), request, route, RequestInfo{ID: next, ResumeAfter: "1", Resumes: first}, nil, time.Now())
		if want := ChooseService(route, first); created.service != want {
			t.Fatalf("the stream of %s goes on at %s instead of %s", first, created.service, want)
		}
	}
}
