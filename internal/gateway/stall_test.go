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

// shortStall is a limit that a caller in a test is meant to reach.
const shortStall = 50 * time.Millisecond

// open sends the head of a request, and so much of its body, by a connection of
// its own.
func (f *fleet) open(path string, length int, part string) net.Conn {
	f.t.Helper()
	return f.openAs(testKey, path, length, part)
}

// openAs is open with another API key.
func (f *fleet) openAs(key, path string, length int, part string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	must(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, key, length, part)
	must(f.t, err)
	return conn
}

func (f *fleet) awaitIdle() {
	f.t.Helper()
	f.await("the end of all requests", func() bool { _, active := f.gateway.drain.state(); return active == 0 })
}

// TestCallerThatStopsSendingIsRefused begins requests and never ends them: each is
// refused as not run, and none holds up a stop.
func TestCallerThatStopsSendingIsRefused(t *testing.T) {
	f := newFleet(t)
	f.stalls = stallLimits{body: shortStall, answer: testWait}
	f.start(1, engine.FastConfig())
	for _, path := range []string{pathChatCompletions, "/v1/batches", servicesPrefix + testService + "/book"} {
		conn := f.open(path, 1000, "{")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must(t, err)
		if refusal := errorOf(t, response); response.StatusCode != http.StatusBadRequest || refusal.Ran != "not_run" {
			t.Errorf("%s answered with %d %+v", path, response.StatusCode, refusal)
		}
	}
	f.awaitIdle()
}

// TestLongAnswerOutlastsTheLimitOfTheBody reads a stream that lasts longer than a
// caller may stand still while it sends.
func TestLongAnswerOutlastsTheLimitOfTheBody(t *testing.T) {
	f := newFleet(t)
	f.stalls = stallLimits{body: shortStall, answer: testWait}
	f.start(1, slowConfig())
	body := strings.Replace(shortRequest, `"max_tokens":1`, `"max_tokens":30,"stream":true`, 1)
	response, err := f.post(pathChatCompletions, body)
	must(t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	must(t, err)
	if !strings.Contains(string(answer), "data: [DONE]") {
		t.Errorf("the stream ended with %q", answer[max(0, len(answer)-200):])
	}
}

// TestCallerThatStopsReadingIsLeft asks for an answer without end and reads
// nothing of it.
func TestCallerThatStopsReadingIsLeft(t *testing.T) {
	part := strings.Repeat("x", 64<<10)
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := io.WriteString(w, part); err != nil {
				return
			}
		}
	}))
	t.Cleanup(endless.Close)
	f := newFleet(t)
	f.stalls = stallLimits{body: testWait, answer: shortStall}
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
		conn := f.open(servicesPrefix+testService+"/book", 0, "")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil && response.StatusCode == http.StatusOK && response.ContentLength < 0
	})
	f.awaitIdle()
}

// TestRefusalsDoNotWaitForTheBody sends heads whose short bodies never come, with a
// key that is not known and to a gateway that drains.
func TestRefusalsDoNotWaitForTheBody(t *testing.T) {
	f := startFleet(t, 1, slowConfig())
	expect := func(conn net.Conn, status int) {
		t.Helper()
		must(t, conn.SetReadDeadline(time.Now().Add(testWait)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must(t, err)
		if refusal := errorOf(t, response); response.StatusCode != status || refusal.Ran != "not_run" {
			t.Errorf("answered with %d %+v", response.StatusCode, refusal)
		}
	}
	expect(f.openAs("unknown", pathFiles, 1000, ""), http.StatusUnauthorized)
	client := f.client()
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParameters(testModel, "a long saga", 1000))
	defer stream.Close()
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	f.stop()
	<-f.gateway.drain.started
	expect(f.open(pathFiles, 1000, ""), http.StatusServiceUnavailable)
}
