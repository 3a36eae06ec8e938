package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/upstream"
)

// endless are responses whose last part is repeated until the connection is closed.
var endless = map[string]struct{ head, repeated string }{
	"status line":          {"HTTP/1.1 200 ", "a"},
	"header line":          {"HTTP/1.1 200 OK\r\nX-A: ", "a"},
	"headers":              {"HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
	"informational":        {"", "HTTP/1.1 103 Early\r\n\r\n"},
	"no protocol":          {"", "garbage"},
	"chunk length":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "a"},
	"trailer":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: a\r\n"},
	"body of an error":     {"HTTP/1.1 500 Error\r\n\r\n", "a"},
	"chunks of an error":   {"HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
	"body after a mistake": {"HTTP/1.1 500 Error\r\nX-Request-Id: other\r\n\r\n", "a"},
}

// dialEndless connects to a server that sends such a response to each request, as fast as it is read or slowly.
func dialEndless(head, repeated string, pause time.Duration) upstream.DialFunc {
	return func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			request, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if _, err := io.WriteString(far, head); err != nil {
				return
			}
			if pause == 0 {
				repeated = strings.Repeat(repeated, 1+(32<<10)/len(repeated))
			}
			content := []byte(repeated)
			for {
				if _, err := far.Write(content); err != nil {
					return
				}
				time.Sleep(pause)
			}
		}()
		return near, nil
	}
}

// exchangeEndless sends a request and discards the response, if its headers end. The timeout of the request is a second.
func exchangeEndless(ctx context.Context, dial upstream.DialFunc) {
	client := upstream.NewClientWithDial(dial)
	response, err := client.Do(ctx, "10.0.0.1:1", &upstream.Request{
		ID: "id", Kind: upstream.Service, Method: http.MethodGet, Path: "/", Repeatable: true, Timeouts: upstream.Timeouts{FirstByte: time.Second},
	}, 0)
	if err == nil {
		response.Discard()
	}
}

// Guards against responses without end that take memory without a bound, or that hold up the next attempt.
func TestEndlessResponsesTakeLittleTimeAndMemory(t *testing.T) {
	const servers, limitBytes = 100, 64 << 20
	for name, each := range endless {
		for speed, pause := range map[string]time.Duration{"fast": 0, "slow": 20 * time.Millisecond} {
			t.Run(name+" "+speed, func(t *testing.T) {
				var before, during runtime.MemStats
				runtime.ReadMemStats(&before)
				began := time.Now()
				var exchanges sync.WaitGroup
				for range servers {
					exchanges.Go(func() { exchangeEndless(t.Context(), dialEndless(each.head, each.repeated, pause)) })
				}
				exchanges.Wait()
				runtime.ReadMemStats(&during)
				if took := time.Since(began); took > 3*time.Second {
					t.Errorf("%d exchanges took %v", servers, took)
				}
				// The servers allocate as well: 64 KB each.
				if taken := during.TotalAlloc - before.TotalAlloc; taken > limitBytes {
					t.Errorf("%d exchanges allocated %d MB", servers, taken>>20)
				}
			})
		}
	}
}

// Guards against an event without end that a stream is held in memory for.
func TestEndlessEventIsTooLong(t *testing.T) {
	var splitter upstream.EventSplitter
	splitter.Add([]byte("id: 1\ndata: a\n\n"))
	sent := 0
	for !splitter.TooLong() && sent < 10<<20 {
		splitter.Add([]byte(strings.Repeat("a", 8<<10)))
		sent += 8 << 10
	}
	if sent > 2*upstream.MaximumEvent {
		t.Errorf("%d bytes of one event are held", sent)
	}
	if errors.Is(upstream.ErrEventTooLong, io.EOF) {
		t.Error("the end of a long event counts as the end of its stream")
	}
}
