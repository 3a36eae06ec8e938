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

// beyondBody is for how long the request of a bodyServer goes on after the time for its body.
const beyondBody = 250 * time.Millisecond

// bodyServer reads bodies for as long as its route lets them take.
func bodyServer(t *testing.T, buffers *clientconn.Buffers) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		memory := buffers.NewBody()
		defer memory.GiveBack()
		route := &rockwindpb.Route{TimeoutMs: new(uint32(250))}
		ends := waitsUntil(route, RequestInfo{}, time.Now())
		body, err := readBody(writer, request, nil, &memory, ends)
		if err != nil {
			refuseFault(writer, err)
			return
		}
		// A request may go on for longer than its body may take.
		select {
		case <-time.After(time.Until(ends) + beyondBody):
			_, _ = fmt.Fprint(writer, len(body))
		case <-request.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestBodyThatStallsIsRefusedInTime: its client does not hold memory for longer than its
// request may take.
func TestBodyThatStallsIsRefusedInTime(t *testing.T) {
	buffers := clientconn.NewBuffers(8<<20, func(clientconn.Ended) {})
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
		t.Errorf("kept are %+v", usage)
	}
}

// TestTimeOfABodyDoesNotBindItsAnswer, nor the next request of the connection.
func TestTimeOfABodyDoesNotBindItsAnswer(t *testing.T) {
	address := bodyServer(t, clientconn.NewBuffers(8<<20, func(clientconn.Ended) {}))
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

// deadlineWriter notes the deadlines for what is read of a client.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	last time.Time
}

// SetReadDeadline is what http.ResponseController calls.
func (w *deadlineWriter) SetReadDeadline(deadline time.Time) error {
	w.last = deadline
	return nil
}

// TestDeadlineOfABodyIsClearedOnceItIsWhole, and kept where it is not: the server still reads
// the rest before it answers. The HTTP server clears deadlines too as it goes on to read, so
// that a whole exchange does not show this.
func TestDeadlineOfABodyIsClearedOnceItIsWhole(t *testing.T) {
	ends := time.Now().Add(time.Minute)
	for name, test := range map[string]struct {
		body io.Reader
		want time.Time
	}{
		"whole": {strings.NewReader("whole"), time.Time{}},
		"cut":   {iotest.ErrReader(io.ErrUnexpectedEOF), ends},
	} {
		t.Run(name, func(t *testing.T) {
			writer := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
			request := httptest.NewRequest(http.MethodPost, "/", test.body)
			request.ContentLength = 5
			memory := clientconn.NewBuffers(8<<20, func(clientconn.Ended) {}).NewBody()
			defer memory.GiveBack()
			if _, err := readBody(writer, request, nil, &memory, ends); (err == nil) != test.want.IsZero() {
				t.Fatal(err)
			}
			if !writer.last.Equal(test.want) {
				t.Errorf("the deadline is %v, want %v", writer.last, test.want)
			}
		})
	}
}
