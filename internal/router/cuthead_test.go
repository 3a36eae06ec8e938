package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// cutHeads returns answers by the framing and interim answers before them, up to the last byte of the head. An answer that
// is cut anywhere in there is no answer.
func cutHeads() map[string]string {
	heads := make(map[string]string)
	for interim, before := range map[string]string{
		"": "", ", interim": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", ", two interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
	} {
		for framing, fields := range map[upstream.Framing]string{
			upstream.FramingClose: "Connection: close\r\n\r\n", upstream.FramingLength: "Content-Length: 0\r\n\r\n", upstream.FramingChunked: "Transfer-Encoding: chunked\r\n\r\n",
		} {
			heads[string(framing)+interim] = before + "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Type: text/event-stream\r\n" + fields
		}
	}
	return heads
}

// forEachCut runs a test with a server that sends each proper prefix of a head and closes the connection.
func forEachCut(t *testing.T, run func(t *testing.T, sent string, serve exchangeServer)) {
	for name, head := range cutHeads() {
		t.Run(name, func(t *testing.T) {
			for cut := range len(head) {
				synctest.Test(t, func(t *testing.T) {
					run(t, head[:cut], func(conn net.Conn, _ *bufio.Reader, _ *http.Request) { _, _ = io.WriteString(conn, head[:cut]) })
				})
			}
		})
	}
}

// TestCutHeadIsNoAnswer guards against a success with an empty or short body where the only server stopped in its head.
func TestCutHeadIsNoAnswer(t *testing.T) {
	routes := map[string]*rockwindpb.Route{
		"safe":      {Name: "safe", Kind: rockwindpb.RouteKind_ROUTE_KIND_SAFE, GoalMs: 300, Attempts: 2},
		"once":      {Name: "once", Kind: rockwindpb.RouteKind_ROUTE_KIND_AT_MOST_ONCE, GoalMs: 300, Attempts: 2},
		"stream":    streamRoute(false),
		"resumable": streamRoute(true),
	}
	for name, route := range routes {
		t.Run(name, func(t *testing.T) {
			forEachCut(t, func(t *testing.T, sent string, serve exchangeServer) {
				c := newExchangeTest(t, nil)
				c.addServer("only", "zone", serve)
				if got := c.send(t.Context(), route, 5*time.Second); !got.aborted && got.Code < http.StatusInternalServerError {
					t.Errorf("after %q: status %d, body %q", sent, got.Code, got.Body)
				}
			})
		})
	}
}

// TestCutHeadDoesNotEndAStream guards against a stream that is framed as complete after the server at which it goes on
// stopped in its head.
func TestCutHeadDoesNotEndAStream(t *testing.T) {
	forEachCut(t, func(t *testing.T, sent string, serve exchangeServer) {
		c := newExchangeTest(t, nil)
		begun := false
		begin := func(conn net.Conn, reader *bufio.Reader, request *http.Request) {
			if begun {
				serve(conn, reader, request)
				return
			}
			begun = true
			sendsStream(upstream.FramingChunked, event(1)+brokenEvent)(conn, reader, request)
		}
		for number := range 3 {
			c.addServer(fmt.Sprint("server-", number), "zone", begin)
		}
		if got := c.send(t.Context(), streamRoute(true), 5*time.Second); !got.aborted {
			t.Errorf("after %q: status %d, body %q", sent, got.Code, got.Body)
		}
	})
}
