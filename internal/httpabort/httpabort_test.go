package httpabort_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/httpabort"
)

// Guards against a broken answer that looks complete: to HTTP/1.1 without its last chunk, to HTTP/1.0 by a reset.
func TestAbortedResponseIsNotComplete(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(writer, "begin")
		_ = http.NewResponseController(writer).Flush()
		httpabort.Abort(writer, request)
	}))
	defer server.Close()
	for version, wanted := range map[string]error{"1.1": nil, "1.0": syscall.ECONNRESET} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
		_, _ = io.WriteString(conn, "GET / HTTP/"+version+"\r\nHost: app\r\n\r\n")
		received, err := io.ReadAll(conn)
		if !errors.Is(err, wanted) {
			t.Errorf("HTTP/%s: the connection ended with %v after %q", version, err, received)
		}
		if version == "1.1" && string(received[len(received)-len("5\r\nbegin\r\n"):]) != "5\r\nbegin\r\n" {
			t.Errorf("HTTP/1.1: received %q", received)
		}
	}
}
