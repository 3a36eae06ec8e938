package upstream_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/upstream"
)

// Guards against connect times of connections that are reused or were refused.
func TestOnlyNewConnectionsAreObserved(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }))
	defer server.Close()
	address := server.Listener.Addr().String()
	client := upstream.NewClientWithDial(func(ctx context.Context, to string) (net.Conn, error) {
		if to != address {
			return nil, errors.New("refused")
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", to)
	})
	observed := make(map[string]int)
	client.ObserveConnects(func(to string, took time.Duration) {
		if took > 0 {
			observed[to]++
		}
	})
	request := &upstream.Request{Kind: upstream.Passthrough, Method: http.MethodGet, Path: "/", Header: make(http.Header), Repeatable: true}
	for range 3 {
		response, err := client.Do(t.Context(), address, request, 1)
		if err != nil {
			t.Fatal(err)
		}
		response.Discard()
	}
	if _, err := client.Do(t.Context(), "127.0.0.1:1", request, 1); err == nil {
		t.Fatal("the refused connection gave a response")
	}
	if len(observed) != 1 || observed[address] != 1 {
		t.Errorf("observed connections: %v", observed)
	}
}
