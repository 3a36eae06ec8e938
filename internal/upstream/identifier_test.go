package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"rockwind.example/rockwind/internal/upstream"
)

// surplusServer answers each connection over net.Pipe. It answers the first request with 500 and all others with
// 200. Once the next request on a connection has arrived, it sends the answer to the previous one once more.
type surplusServer struct {
	requests, connections atomic.Int64
}

func (s *surplusServer) dial(context.Context, string) (net.Conn, error) {
	s.connections.Add(1)
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		reader, previous := bufio.NewReader(far), ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			status := http.StatusOK
			if s.requests.Add(1) == 1 {
				status = http.StatusInternalServerError
			}
			answer := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", status, request.Header.Get(upstream.HeaderRequestID))
			if _, err := io.WriteString(far, previous+answer); err != nil {
				return
			}
			previous = answer
		}
	}()
	return near, nil
}

// send sends an attempt of a request and returns the status of its answer.
func (s *surplusServer) send(t *testing.T, client *upstream.Client, id string) int {
	t.Helper()
	response, err := client.Do(t.Context(), "10.0.0.1:1", &upstream.Request{
		ID: id, Kind: upstream.Passthrough, Method: http.MethodPost, Path: "/", Header: http.Header{upstream.HeaderRequestID: {id}}, Repeatable: true,
		MatchesResponse: func(answer http.Header) bool { return answer.Get(upstream.HeaderRequestID) == id },
	}, 0)
	if err != nil {
		t.Fatal(err)
	}
	response.Discard()
	return response.Status
}

// Guards against a surplus answer to an earlier attempt that is taken for the answer to a later attempt with the
// same identifier, on the same connection.
func TestSurplusAnswerIsNotThatOfTheNextAttempt(t *testing.T) {
	server := &surplusServer{}
	client := upstream.NewClientWithDial(server.dial)
	if status := server.send(t, client, "a"); status != http.StatusInternalServerError {
		t.Fatalf("status %d of the first attempt", status)
	}
	for attempt := range 3 {
		if status := server.send(t, client, "a"); status != http.StatusOK {
			t.Errorf("status %d of attempt %d, which the server answered with 200", status, attempt+2)
		}
	}
}

// Guards against a new connection for each request, and against connections that remember identifiers without end.
func TestRequestsWithDifferentIdentifiersShareAConnection(t *testing.T) {
	server := &surplusServer{}
	client := upstream.NewClientWithDial(server.dial)
	for number := range 500 {
		server.send(t, client, fmt.Sprint("request-", number))
	}
	if opened := server.connections.Load(); opened > 2 {
		t.Errorf("%d connections for 500 requests", opened)
	}
	for number := range 1500 {
		server.send(t, client, strings.Repeat("b", 10)+fmt.Sprint(number))
	}
	if opened := server.connections.Load(); opened < 3 {
		t.Errorf("%d connections for 2,000 requests", opened)
	}
}

// Guards against a surplus answer to one request that a gateway takes for the answer to the next request on the
// same connection.
func TestSurplusAnswerIsNotThatOfAnotherRequest(t *testing.T) {
	for name, kind := range map[string]upstream.Kind{"engine": upstream.Engine, "service": upstream.Service} {
		t.Run(name, func(t *testing.T) {
			server := &surplusServer{}
			client := upstream.NewClientWithDial(server.dial)
			var statuses []int
			for _, id := range []string{"a", "b"} {
				response, err := client.Do(t.Context(), "10.0.0.1:1", &upstream.Request{ID: id, Kind: kind, Method: http.MethodPost, Path: "/", Repeatable: true}, 0)
				if err != nil {
					t.Fatal(err)
				}
				response.Discard()
				statuses = append(statuses, response.Status)
			}
			if statuses[0] != http.StatusInternalServerError || statuses[1] != http.StatusOK {
				t.Errorf("statuses %v, but the server answered 500 and 200", statuses)
			}
		})
	}
}
