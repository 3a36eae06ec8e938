package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"rockwind.example/rockwind/internal/clientconn"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// beyondBody is how long a request of bodyServer continues after the deadline of its body.
const beyondBody = 250 * time.Millisecond

// bodyServer starts a server that reads bodies with a deadline.
func bodyServer(t *testing.T, buffers *clientconn.Buffers) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		memory := buffers.NewBody()
		defer memory.Release()
		route := &rockwindpb.Route{TimeoutMs: new(uint32(250))}
		deadline := requestDeadline(route, RequestInfo{}, time.Now())
		body, err := readBody(writer, request, nil, &memory, deadline)
		if err != nil {
			writeError(writer, err)
			return
		}
		// A request may take longer than its body.
		select {
		case <-time.After(time.Until(deadline) + beyondBody):
			_, _ = fmt.Fprint(writer, len(body))
		case <-request.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestStalledBodyTimesOut checks that a stalled body does not hold memory beyond its deadline.
func TestStalledBodyTimesOut(t *testing.T) {
	buffers := clientconn.NewBuffers(8<<20, func(clientconn.EndedResponse) {})
	conn, err := net.Dial("tcp", bodyServer(t, buffers))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 1000000\r\n\r\nfirst")
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusRequestTimeout {
		t.Errorf("the status is %d", response.StatusCode)
	}
	_ = response.Body.Close()
	if usage := buffers.Usage(); usage.Bodies != 0 {
		t.Errorf("memory in use: %+v", usage)
	}
}

// TestBodyDeadlineDoesNotLimitResponse checks that the deadline of a body limits neither its
// response nor the next request on the connection.
func TestBodyDeadlineDoesNotLimitResponse(t *testing.T) {
	address := bodyServer(t, clientconn.NewBuffers(8<<20, func(clientconn.EndedResponse) {}))
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 2 {
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n\r\nwhole")
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err != nil || string(body) != "5" {
			t.Fatalf("the answer is %q, %v", body, err)
		}
	}
}

// deadlineWriter records the last read deadline.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	last time.Time
}

// SetReadDeadline is called by http.ResponseController.
func (w *deadlineWriter) SetReadDeadline(deadline time.Time) error {
	w.last = deadline
	return nil
}

// TestBodyDeadlineIsClearedAfterCompleteBody checks that the deadline is cleared after a complete
// body and kept otherwise, because the server reads the rest before it responds. A whole exchange
// would not show this, since net/http clears deadlines too.
func TestBodyDeadlineIsClearedAfterCompleteBody(t *testing.T) {
	deadline := time.Now().Add(time.Minute)
	for name, test := range map[string]struct {
		body io.Reader
		want time.Time
	}{
		"whole": {strings.NewReader("whole"), time.Time{}},
		"cut":   {iotest.ErrReader(io.ErrUnexpectedEOF), deadline},
	} {
		t.Run(name, func(t *testing.T) {
			writer := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
			request := httptest.NewRequest(http.MethodPost, "/", test.body)
			request.ContentLength = 5
			memory := clientconn.NewBuffers(8<<20, func(clientconn.EndedResponse) {}).NewBody()
			defer memory.Release()
			if _, err := readBody(writer, request, nil, &memory, deadline); (err == nil) != test.want.IsZero() {
				t.Fatal(err)
			}
			if !writer.last.Equal(test.want) {
				t.Errorf("the deadline is %v, want %v", writer.last, test.want)
			}
		})
	}
}
