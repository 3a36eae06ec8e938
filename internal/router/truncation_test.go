package router

import (
	"bufio"
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

	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/clientconn"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// framings are ways to send a body that the server ends regularly, whatever the body holds.
var framings = map[upstream.Framing]func(body string) string{
	upstream.FramingClose: func(body string) string { return "Connection: close\r\n\r\n" + body },
	upstream.FramingLength: func(body string) string {
		return fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	},
	upstream.FramingChunked: func(body string) string {
		return fmt.Sprintf("Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	},
}

// sendsStream responds with a stream in the given framing and closes the connection.
func sendsStream(framing upstream.Framing, body string) exchangeServer {
	return func(conn net.Conn, _ *bufio.Reader, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+framings[framing](body))
	}
}

func streamRoute(resumable bool) *rockwindpb.Route {
	return &rockwindpb.Route{Name: "stream", Kind: rockwindpb.RouteKind_ROUTE_KIND_STREAM, GoalMs: 300, PauseGoalMs: 300, Attempts: 2, Resumable: resumable}
}

// brokenEvent is an event of which the server sent a part.
const brokenEvent = "id: 2\ndata: ha"

// Guards against a stream that reaches its client framed as complete although the server broke off inside an
// event. The bytes before that event may be relayed.
func TestStreamEndingInsideEventIsNotComplete(t *testing.T) {
	for framing := range framings {
		for _, resumable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, resumable %v", framing, resumable), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newExchangeTest(t, nil)
					c.addServer("only", "zone", sendsStream(framing, event(1)+brokenEvent))
					got := c.send(t.Context(), streamRoute(resumable), 5*time.Second)
					if !got.aborted || !strings.HasPrefix(event(1)+brokenEvent, got.Body.String()) {
						t.Errorf("aborted %v, status %d, body %q", got.aborted, got.Code, got.Body)
					}
				})
			})
		}
	}
}

// Guards against an empty or partial answer with status 200 where the server broke off inside the first event.
func TestStreamEndingInsideFirstEventIsAnError(t *testing.T) {
	for framing := range framings {
		t.Run(string(framing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newExchangeTest(t, nil)
				c.addServer("only", "zone", sendsStream(framing, brokenEvent))
				if got := c.send(t.Context(), streamRoute(false), 5*time.Second); got.aborted || got.Code != http.StatusBadGateway {
					t.Errorf("aborted %v, status %d, body %q", got.aborted, got.Code, got.Body)
				}
			})
		})
	}
}

// Guards against a resumable stream that ends at an incomplete event instead of continuing at another server.
func TestStreamEndingInsideEventContinuesElsewhere(t *testing.T) {
	for framing := range framings {
		t.Run(string(framing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newExchangeTest(t, nil)
				serve := func(conn net.Conn, reader *bufio.Reader, request *http.Request) {
					if request.Header.Get(HeaderLastEvent) == "1" {
						sendsStream(framing, event(2)+event(3))(conn, reader, request)
						return
					}
					sendsStream(framing, event(1)+brokenEvent)(conn, reader, request)
				}
				c.addServer("one", "zone", serve)
				c.addServer("other", "zone", serve)
				got := c.send(t.Context(), streamRoute(true), 5*time.Second)
				if want := event(1) + event(2) + event(3); got.aborted || got.Body.String() != want {
					t.Errorf("aborted %v, status %d, body %q", got.aborted, got.Code, got.Body)
				}
			})
		})
	}
}

// TestEventsOfASafeRouteAreNotJoinedAcrossServers guards against an answer that looks complete, and holds a part of one server's
// answer and then that of another server.
func TestEventsOfASafeRouteAreNotJoinedAcrossServers(t *testing.T) {
	for framing := range framings {
		t.Run(string(framing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for name, test := range map[string]struct {
					first   string
					aborted bool
				}{
					"broken after an event":         {event(1) + brokenEvent, true},
					"broken inside the first event": {brokenEvent, false},
				} {
					c := newExchangeTest(t, nil)
					whole := event(1) + event(2) + event(3)
					c.addServer("one", "zone", sendsStream(framing, test.first))
					c.addServer("other", "zone", sendsStream(framing, test.first))
					c.addServer("third", "zone", sendsStream(framing, whole))
					route := streamRoute(false)
					route.Kind, route.Attempts = rockwindpb.RouteKind_ROUTE_KIND_SAFE, 3
					got := c.send(t.Context(), route, 5*time.Second)
					if got.aborted && test.aborted {
						continue
					}
					if got.aborted || got.Body.String() != whole {
						t.Errorf("%s: aborted %v, status %d, body %q", name, got.aborted, got.Code, got.Body)
					}
				}
			})
		})
	}
}

// Guards against a copied run that counts as complete although its last server broke off inside an event.
func TestContinuedRunEndingInsideEventIsNotComplete(t *testing.T) {
	for framing := range framings {
		t.Run(string(framing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRelayTest(t, httptest.NewRecorder(), func(conn net.Conn) { sendsStream(framing, brokenEvent)(conn, nil, nil) })
				r.relayedEvents = upstream.NewEventDeduplicator("1")
				r.runCopy, r.headSent, r.sent = &runCopy{continued: true}, true, 1
				r.send(t)
				if got := r.relayStream(t.Context(), r.lease, r.response, 0); got != verdictBroken {
					t.Errorf("the verdict is %v: %s", got, r.reason)
				}
			})
		})
	}
}

// Guards against a complete answer that is taken for broken, because it has no length or its events end with
// other line endings.
func TestWholeAnswerArrivesInEachFraming(t *testing.T) {
	for name, body := range map[string]string{
		"events":              event(1) + event(2),
		"carriage returns":    strings.ReplaceAll(event(1)+event(2), "\n", "\r\n"),
		"comment at the end":  event(1) + ": done\n",
		"blank lines":         event(1) + "\n\n",
		"no event":            "",
		"single line endings": strings.ReplaceAll(event(1), "\n", "\r"),
	} {
		for framing := range framings {
			t.Run(fmt.Sprintf("%s, %s", name, framing), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newExchangeTest(t, nil)
					c.addServer("only", "zone", sendsStream(framing, body))
					got := c.send(t.Context(), streamRoute(false), 5*time.Second)
					if got.aborted || got.Code != http.StatusOK || got.Body.String() != body {
						t.Errorf("aborted %v, status %d, body %q", got.aborted, got.Code, got.Body)
					}
				})
			})
		}
	}
	for framing := range framings {
		t.Run("not a stream, "+string(framing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newExchangeTest(t, nil)
				c.addServer("only", "zone", func(conn net.Conn, _ *bufio.Reader, _ *http.Request) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+framings[framing]("the answer"))
				})
				got := c.send(t.Context(), unsafeRoute(), 2*time.Second)
				if got.aborted || got.Code != http.StatusOK || got.Body.String() != "the answer" {
					t.Errorf("aborted %v, status %d, body %q", got.aborted, got.Code, got.Body)
				}
			})
		})
	}
}

// Guards against a broken answer that looks complete to a client of HTTP/1.0, for which only the end of the
// connection ends an answer without a length.
func TestBrokenAnswerIsNotCompleteForHTTP10(t *testing.T) {
	c := newExchangeTest(t, nil)
	c.addServer("only", "zone", func(conn net.Conn, _ *bufio.Reader, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(1)), event(1))
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnContext: clientconn.WithConn, Handler: clientconn.Handler(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		created := c.router.newExchange(writer, request, streamRoute(false), RequestInfo{ID: "request", Timeout: 5 * time.Second}, nil, time.Now())
		created.service = "app"
		created.run(request.Context())
	}))}
	go func() { _ = server.Serve(c.router.buffers.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST / HTTP/1.0\r\nHost: app\r\nContent-Length: 0\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	if received, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v after %q", err, received)
	}
}
