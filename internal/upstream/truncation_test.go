package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"rockwind.example/rockwind/internal/retry"
)

// Guards against a service's stream that is relayed, or kept under an idempotency key, as complete although the
// service broke off inside an event.
func TestServiceStreamEndingInsideEventIsIncomplete(t *testing.T) {
	for framing, frame := range map[Framing]func(body string) string{
		FramingClose:  func(body string) string { return "\r\n" + body },
		FramingLength: func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
		FramingChunked: func(body string) string {
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
	} {
		for body, complete := range map[string]bool{
			"data: a\n\n":              true,
			"data: a\r\n\r\n":          true,
			"data: a\n\ndata: b":       false,
			"data: a\n\ndata: b\n":     false,
			"data: a\r\n\r\ndata: b\r": false,
		} {
			t.Run(fmt.Sprintf("%s %q", framing, body), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					client := NewClientWithDial(func(context.Context, string) (net.Conn, error) {
						near, far := net.Pipe()
						go func() {
							defer far.Close()
							if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
								_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"+frame(body))
							}
						}()
						return near, nil
					})
					defer client.Close()
					request := &Request{ID: "request", Kind: Service, Method: http.MethodGet, Path: "/"}
					var sink recordingSink
					result := NewRelay(client, retry.NewBudget(10)).Run(t.Context(), request, &scriptedChooser{names: []string{"a"}}, &sink)
					if result.Complete != complete {
						t.Errorf("complete %v, fault %v, body %q", result.Complete, result.Fault, sink.body.String())
					}
					if complete && !bytes.Equal(sink.body.Bytes(), []byte(body)) {
						t.Errorf("the body is %q", sink.body.String())
					}
				})
			})
		}
	}
}

// TestRelayOfCutHeadIsIncomplete guards against an answer that a gateway relays, or keeps under an idempotency key, as
// complete although its server stopped in the head.
func TestRelayOfCutHeadIsIncomplete(t *testing.T) {
	for _, kind := range []Kind{Engine, Service} {
		for _, fields := range []string{"", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n"} {
			for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"} {
				head := interim + "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n" + fields + "\r\n"
				for cut := range len(head) {
					synctest.Test(t, func(t *testing.T) {
						client := NewClientWithDial(func(context.Context, string) (net.Conn, error) {
							near, far := net.Pipe()
							go func() {
								defer far.Close()
								if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
									_, _ = io.WriteString(far, head[:cut])
								}
							}()
							return near, nil
						})
						defer client.Close()
						request := &Request{ID: "request", Kind: kind, Method: http.MethodGet, Path: "/"}
						var sink recordingSink
						result := NewRelay(client, retry.NewBudget(10)).Run(t.Context(), request, &scriptedChooser{names: []string{"a", "b"}}, &sink)
						if result.Complete {
							t.Errorf("kind %v: complete after %q, body %q", kind, head[:cut], sink.body.String())
						}
					})
				}
			}
		}
	}
}
