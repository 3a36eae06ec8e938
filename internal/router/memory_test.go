package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/clientconn"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// bodyServer reads bodies for as long as its route lets them take.
func bodyServer(t *testing.T, buffers *clientconn.Buffers) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		memory := buffers.NewBody()
		defer memory.GiveBack()
		route := &rockwindpb.Route{TimeoutMs: new(uint32(250))}
		body, err := readBody(writer, request, nil, &memory, waitsUntil(route, Facts{}, time.Now()))
		if err != nil {
			refuseFault(writer, err)
			return
		}
		// A request may go on for longer than its body may take.
		select {
		case <-time.After(500 * time.Millisecond):
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
