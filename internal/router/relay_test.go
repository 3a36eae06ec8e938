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
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/sitemetrics"
	"rockwind.example/rockwind/internal/upstream"
)

// relayed is an exchange whose server answers by the given function, and the lease of it.
type relayed struct {
	*exchange
	lease    *Lease
	response *upstream.Response
}

// relaying has a server answer a request of a stream's route. Every connection after the first
// one gets no answer.
func relaying(t *testing.T, writer http.ResponseWriter, answer func(conn net.Conn)) *relayed {
	t.Helper()
	return relayingWith(t, writer, answer, func(ctx context.Context) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
}

// relayingWith is relaying where connections after the first one are made by the given function.
func relayingWith(t *testing.T, writer http.ResponseWriter, answer func(conn net.Conn), later func(ctx context.Context) (net.Conn, error)) *relayed {
	t.Helper()
	watcher, err := site.NewWatcher(&rockwindpb.SiteSettings{}, http.DefaultClient, "")
	if err != nil {
		t.Fatal(err)
	}
	register := directory.New()
	register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
		Id: "server", Service: "app", Address: "10.0.0.1:1", Slots: 1, State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: 1,
	}}})
	dispatcher := NewDispatcher("zone", gate.Set{})
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
			watcher: watcher, dispatcher: dispatcher, client: client, witness: NewCrashReporter(watcher, client, PlainProtocol{}), copies: newCopies(),
			buffers: clientconn.NewBuffers(8<<20, func(clientconn.Ended) {}),
		},
		writer: writer, service: "app", received: time.Now(), ends: time.Now().Add(time.Minute),
		route: &rockwindpb.Route{Kind: rockwindpb.RouteKind_ROUTE_KIND_STREAM, PauseGoalMs: 300},
		request: upstream.Request{
			Kind: upstream.Relayed, Host: "app", Method: http.MethodPost, Path: "/", Header: http.Header{},
			Timeouts: upstream.Timeouts{Connect: connectLimit},
		},
	}
	lease, err := dispatcher.Acquire(t.Context(), AcquireRequest{Service: "app", StartBy: time.Now().Add(time.Second), MaxWait: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return &relayed{exchange: created, lease: lease}
}

// send sends the request, and returns the context of the try.
func (r *relayed) send(t *testing.T) context.Context {
	t.Helper()
	ctx, end := r.watched(t.Context(), r.lease)
	t.Cleanup(end)
	response, err := r.router.client.Do(ctx, r.lease.Address, &r.request, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.response = response
	return ctx
}

// event is the event of a stream with a number.
func event(number int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", number) }

// streamHead is the head of a stream that ends with its connection.
const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"

// slowWriter holds up its second write.
type slowWriter struct {
	*httptest.ResponseRecorder
	held   time.Duration
	writes int
}

func (w *slowWriter) Write(p []byte) (int, error) {
	w.writes++
	if w.writes == 2 {
		time.Sleep(w.held)
	}
	return w.ResponseRecorder.Write(p)
}

// TestServerIsNotLookedAtWhileItsClientIsWrittenTo: a write waits for two seconds, in which
// the server is not read from, and then the stream goes on.
func TestServerIsNotLookedAtWhileItsClientIsWrittenTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := &slowWriter{ResponseRecorder: httptest.NewRecorder(), held: 2 * time.Second}
		r := relaying(t, writer, func(conn net.Conn) {
			_, _ = io.WriteString(conn, streamHead)
			for number := range 10 {
				time.Sleep(100 * time.Millisecond)
				_, _ = io.WriteString(conn, event(number+1))
			}
		})
		r.copy = &copied{}
		r.send(t)
		if got := r.relayEvents(t.Context(), r.lease, r.response, 0); got != verdictFinished {
			t.Errorf("the verdict is %v: %s", got, r.reason)
		}
		if r.lookout.Unreachable() {
			t.Error("the server is taken for one that is out of reach")
		}
	})
}

// goneWriter is that of a client whose connection has failed.
type goneWriter struct{ *httptest.ResponseRecorder }

func (goneWriter) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// TestAnswerWhoseClientsConnectionFailedIsRecordedAsGone, and not as one that its server broke
// off: neither a stream nor a whole answer.
func TestAnswerWhoseClientsConnectionFailedIsRecordedAsGone(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		relay  func(r *relayed, ctx context.Context) verdict
	}{
		"stream": {streamHead + event(1), func(r *relayed, ctx context.Context) verdict {
			return r.relayEvents(ctx, r.lease, r.response, 0)
		}},
		"long answer": {
			fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*bufferedAnswer, strings.Repeat("x", 2*bufferedAnswer)),
			func(r *relayed, ctx context.Context) verdict { return r.relayWhole(ctx, r.lease, r.response, 0) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := relaying(t, goneWriter{httptest.NewRecorder()}, func(conn net.Conn) { _, _ = io.WriteString(conn, test.answer) })
				r.router.metrics = sitemetrics.New("router", decision.NewRecorder(&log.Logger{Handler: discard.New(), Level: log.InfoLevel}, time.Now))
				r.send(t)
				got := test.relay(r, t.Context())
				if got != verdictGone {
					t.Fatalf("the verdict is %v: %s", got, r.reason)
				}
				r.recordGone(r.lease)
				shown := httptest.NewRecorder()
				r.router.metrics.Handler().ServeHTTP(shown, httptest.NewRequest(http.MethodGet, "/metrics", nil))
				if !strings.Contains(shown.Body.String(), string(decision.RequestAbandoned)) {
					t.Errorf("shown is %s", shown.Body)
				}
			})
		})
	}
}
