package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/engine"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// shortStall is a stall limit for tests in which the caller exceeds it.
const shortStall = 50 * time.Millisecond

// sendPartial sends the header of a request and a part of its body over a new
// connection.
func (f *fixture) sendPartial(path string, length int, part string) net.Conn {
	f.t.Helper()
	return f.sendPartialAs(testKey, path, length, part)
}

// sendPartialAs is sendPartial with the given API key.
func (f *fixture) sendPartialAs(key, path string, length int, part string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	must(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, key, length, part)
	must(f.t, err)
	return conn
}

func (f *fixture) awaitIdle() {
	f.t.Helper()
	f.await("the end of all requests", func() bool { _, active := f.gateway.drain.state(); return active == 0 })
}

// TestCallerThatStopsSendingIsRefused verifies that requests whose body is never
// completed are refused as not run and no longer count as in progress.
func TestCallerThatStopsSendingIsRefused(t *testing.T) {
	f := newFixture(t)
	f.stalls = stallLimits{requestBody: shortStall, response: testWait}
	f.start(1, engine.FastConfig())
	for _, path := range []string{pathChatCompletions, "/v1/batches", servicesPrefix + testService + "/book"} {
		conn := f.sendPartial(path, 1000, "{")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must(t, err)
		if refusal := errorOf(t, response); response.StatusCode != http.StatusBadRequest || refusal.Ran != "not_run" {
			t.Errorf("%s answered with %d %+v", path, response.StatusCode, refusal)
		}
	}
	f.awaitIdle()
}

// TestResponseMayOutlastBodyLimit verifies that the stall limit of the request body
// does not end a longer response.
func TestResponseMayOutlastBodyLimit(t *testing.T) {
	f := newFixture(t)
	f.stalls = stallLimits{requestBody: shortStall, response: testWait}
	f.start(1, slowConfig())
	body := strings.Replace(shortRequest, `"max_tokens":1`, `"max_tokens":30,"stream":true`, 1)
	response, err := f.post(pathChatCompletions, body)
	must(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	must(t, err)
	if !strings.Contains(string(content), "data: [DONE]") {
		t.Errorf("the stream ended with %q", content[max(0, len(content)-200):])
	}
}

// TestCallerThatStopsReadingIsDisconnected verifies that a request ends if its caller
// does not read the response.
func TestCallerThatStopsReadingIsDisconnected(t *testing.T) {
	part := strings.Repeat("x", 64<<10)
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := io.WriteString(w, part); err != nil {
				return
			}
		}
	}))
	t.Cleanup(endless.Close)
	f := newFixture(t)
	f.stalls = stallLimits{requestBody: testWait, response: shortStall}
	f.start(1, engine.FastConfig())
	next := proto.CloneOf(f.configuration())
	next.Number = 2
	for _, backEnd := range next.BackEnds {
		if backEnd.GetKind() == rockwindpb.BackEndKind_BACK_END_KIND_SERVICE {
			backEnd.Address = endless.Listener.Addr().String()
		}
	}
	f.configure(next)
	f.await("the endless service to be in use", func() bool {
		conn := f.sendPartial(servicesPrefix+testService+"/book", 0, "")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil && response.StatusCode == http.StatusOK && response.ContentLength < 0
	})
	f.awaitIdle()
}

// TestRefusalsDoNotWaitForTheBody verifies that requests with an unknown API key, or to
// a draining gateway, are refused before their body is received.
func TestRefusalsDoNotWaitForTheBody(t *testing.T) {
	f := startFixture(t, 1, slowConfig())
	expect := func(conn net.Conn, status int) {
		t.Helper()
		must(t, conn.SetReadDeadline(time.Now().Add(testWait)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must(t, err)
		if refusal := errorOf(t, response); response.StatusCode != status || refusal.Ran != "not_run" {
			t.Errorf("answered with %d %+v", response.StatusCode, refusal)
		}
	}
	expect(f.sendPartialAs("unknown", pathFiles, 1000, ""), http.StatusUnauthorized)
	client := f.client()
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParameters(testModel, "a long saga", 1000))
	defer stream.Close()
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	f.stop()
	<-f.gateway.drain.started
	expect(f.sendPartial(pathFiles, 1000, ""), http.StatusServiceUnavailable)
}
