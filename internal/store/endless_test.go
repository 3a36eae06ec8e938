package store

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// Guards against items that run without end, or whose output takes memory without a bound, at a server that sends bytes
// until its caller closes the connection.
func TestItemWithEndlessOutputIsNotDone(t *testing.T) {
	for name, each := range map[string]struct{ head, repeated string }{
		"events":        {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "data: " + strings.Repeat("a", 1<<10) + "\n\n"},
		"one event":     {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "a"},
		"blank lines":   {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "\n"},
		"status line":   {"HTTP/1.1 200 ", "a"},
		"failure":       {"HTTP/1.1 500 Error\r\n\r\n", "a"},
		"can't be done": {"HTTP/1.1 422 Error\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			i := newItemTest(t, nil)
			i.store.upstream = upstream.NewClientWithDial(func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					defer far.Close()
					request, err := http.ReadRequest(bufio.NewReader(far))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(far, each.head)
					content := []byte(strings.Repeat(each.repeated, 1+(32<<10)/len(each.repeated)))
					for err == nil {
						_, err = far.Write(content)
					}
				}()
				return near, nil
			})
			began := time.Now()
			got := i.attempt(t)
			if got.outcome == rockwindpb.StoredOutcome_STORED_OUTCOME_DONE {
				t.Error("the item is done")
			}
			if took := time.Since(began); took > firstByteTimeout+eventTimeout {
				t.Errorf("the attempt took %v", took)
			}
			if events := got.history.eventCount(); events > 0 {
				t.Errorf("%d events are kept", events)
			}
		})
	}
}
