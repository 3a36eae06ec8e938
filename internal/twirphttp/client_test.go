package twirphttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"rockwind.example/rockwind/internal/twirphttp"
)

// answering returns the address of a peer that sends the given headers and body to one request.
func answering(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+answer)
		}
	}()
	return listener.Addr().String()
}

// Guards against a message that a peer broke off between two fields, which decodes without an error.
func TestAnswerOfPeerWithoutFramingIsIncomplete(t *testing.T) {
	const body = "message"
	for answer, complete := range map[string]bool{
		"\r\n" + body: false,
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body):                            true,
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body): true,
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body)+1, body):                          false,
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body):          false,
		"Content-Length: 0\r\n\r\n": true,
	} {
		t.Run(fmt.Sprintf("%q", answer), func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+answering(t, answer), nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := twirphttp.Client{HTTPClient: &http.Client{Transport: &http.Transport{}}}.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			received, err := io.ReadAll(response.Body)
			if (err == nil) != complete {
				t.Errorf("received %q with the error %v", received, err)
			}
		})
	}
}
