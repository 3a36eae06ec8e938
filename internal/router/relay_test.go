package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"rockwind.example/rockwind/internal/clientconn"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/sitemetrics"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/upstream"
)

// relayTest is an exchange with a fake server, and its lease.
type relayTest struct {
	*exchange
	lease    *Lease
	response *upstream.Response
}

// newRelayTest returns an exchange of a stream whose server runs the given function on its first
// connection. Further connections hang.
func newRelayTest(t *testing.T, writer http.ResponseWriter, answer func(conn net.Conn)) *relayTest {
	t.Helper()
	return newRelayTestWithDial(t, writer, answer, func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
}

// newRelayTestWithDial is newRelayTest with a dial function for further connections.
func newRelayTestWithDial(t *testing.T, writer http.ResponseWriter, answer func(conn net.Conn), later func(ctx context.Context) (net.Conn, error)) *relayTest {
	t.Helper()
	watcher, err := site.NewWatcher(&rockwindpb.SiteSettings{}, http.DefaultClient, "")
	if err != nil {
		t.Fatal(err)
	}
	register := directory.New()
	register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
		Id: "server", Service: "app", Address: "10.0.0.1:1", Slots: 1, State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: 1,
	}}})
	dispatcher := NewDispatcher("zone", topology.Map{}, featuregate.Set{})
	dispatcher.Update(register.View())
	dialed := false
	client := upstream.NewClientWithDial(func(ctx context.Context, _ string) (net.Conn, error) {
		if dialed {
			return later(ctx)
		}
		dialed = true
		near, far := net.Pipe()
		go func() {
			request, err := http.ReadRequest(bufio.NewReader(far))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				answer(far)
			}
			_ = far.Close()
		}()
		return near, nil
	})
	created := &exchange{
		router: &Router{
			watcher: watcher, dispatcher: dispatcher, client: client, crashes: NewCrashReporter(watcher, client, PlainProtocol{}, dispatcher), copyPlanner: newCopyPlanner(),
			buffers: clientconn.NewBuffers(8<<20, func(clientconn.EndedResponse) {}),
		},
		writer: writer, service: "app", received: time.Now(), deadline: time.Now().Add(time.Minute),
		route: &rockwindpb.Route{Kind: rockwindpb.RouteKind_ROUTE_KIND_STREAM, PauseGoalMs: 300},
		request: upstream.Request{
			Kind: upstream.Passthrough, Host: "app", Method: http.MethodPost, Path: "/", Header: http.Header{},
			Timeouts: upstream.Timeouts{Connect: connectTimeout},
		},
	}
	lease, err := dispatcher.Acquire(t.Context(), AcquireRequest{Service: "app", StartBy: time.Now().Add(time.Second), MaxWait: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return &relayTest{exchange: created, lease: lease}
}

// send sends the request and returns the context of the attempt.
func (r *relayTest) send(t *testing.T) context.Context {
	t.Helper()
	ctx, end := r.watchAttempt(t.Context(), r.lease)
	t.Cleanup(end)
	response, err := r.router.client.Do(ctx, r.lease.Address, &r.request, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.response = response
	return ctx
}

// event returns an event with the given number.
func event(number int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", number) }

// streamHead is the head of a stream that ends with its connection.
const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"

// slowWriter delays its second write.
type slowWriter struct {
	*httptest.ResponseRecorder
	delay  time.Duration
	writes int
}

func (w *slowWriter) Write(p []byte) (int, error) {
	w.writes++
	if w.writes == 2 {
		time.Sleep(w.delay)
	}
	return w.ResponseRecorder.Write(p)
}

// TestWatchdogIsSuspendedDuringClientWrites checks that a slow write to the client does not count
// as silence of the server.
func TestWatchdogIsSuspendedDuringClientWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := &slowWriter{ResponseRecorder: httptest.NewRecorder(), delay: 2 * time.Second}
		r := newRelayTest(t, writer, func(conn net.Conn) {
			_, _ = io.WriteString(conn, streamHead)
			for number := range 10 {
				time.Sleep(100 * time.Millisecond)
				_, _ = io.WriteString(conn, event(number+1))
			}
		})
		r.runCopy = &runCopy{}
		r.send(t)
		if got := r.relayStream(t.Context(), r.lease, r.response, 0); got != verdictFinished {
			t.Errorf("the verdict is %v: %s", got, r.reason)
		}
		if r.watchdog.Unreachable() {
			t.Error("the server counts as unreachable")
		}
	})
}

// failedWriter is the writer of a failed client connection.
type failedWriter struct{ *httptest.ResponseRecorder }

func (failedWriter) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// TestFailedClientConnectionIsRecordedAsGone checks that a failed write to the client is not
// recorded as a response that broke at the server.
func TestFailedClientConnectionIsRecordedAsGone(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		relay  func(r *relayTest, ctx context.Context) verdict
	}{
		"stream": {streamHead + event(1), func(r *relayTest, ctx context.Context) verdict {
			return r.relayStream(ctx, r.lease, r.response, 0)
		}},
		"long answer": {
			fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*maxBufferedResponse, strings.Repeat("x", 2*maxBufferedResponse)),
			func(r *relayTest, ctx context.Context) verdict { return r.relayResponse(ctx, r.lease, r.response, 0) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRelayTest(t, failedWriter{httptest.NewRecorder()}, func(conn net.Conn) { _, _ = io.WriteString(conn, test.answer) })
				r.router.metrics = sitemetrics.New("router", decision.NewRecorder(&log.Logger{Handler: discard.New(), Level: log.InfoLevel}, time.Now))
				r.send(t)
				got := test.relay(r, t.Context())
				if got != verdictClientGone {
					t.Fatalf("the verdict is %v: %s", got, r.reason)
				}
				r.recordClientGone(r.lease)
				shown := httptest.NewRecorder()
				r.router.metrics.Handler().ServeHTTP(shown, httptest.NewRequest(http.MethodGet, "/metrics", nil))
				if !strings.Contains(shown.Body.String(), string(decision.RequestAbandoned)) {
					t.Errorf("shown is %s", shown.Body)
				}
			})
		})
	}
}

// TestRequestOfAGoneClientIsNotSentAgain guards against a router that tries the remaining servers for a
// request whose client left during an attempt.
func TestRequestOfAGoneClientIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayTest(t, httptest.NewRecorder(), func(net.Conn) {})
		ctx, leave := context.WithCancel(t.Context())
		leave()
		if got := r.handleSendError(ctx, r.lease, ctx.Err()); got != verdictClientGone {
			t.Errorf("the verdict is %v after the client left", got)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 0)
		defer cancel()
		if got := r.handleSendError(ctx, r.lease, ctx.Err()); got == verdictClientGone {
			t.Error("a request whose time is up counts as one whose client left")
		}
	})
}
