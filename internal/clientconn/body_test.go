package clientconn_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"rockwind.example/rockwind/internal/clientconn"
)

// unreadingServer accepts connections and never reads from them.
func unreadingServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return listener.Addr().String()
}

// forward writes a body to a server until the client disconnects.
func forward(request *http.Request, server string, body []byte) error {
	conn, err := (&net.Dialer{}).DialContext(request.Context(), "tcp", server)
	if err != nil {
		return err
	}
	defer conn.Close()
	for request.Context().Err() == nil && len(body) > 0 {
		_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
		n, _ := conn.Write(body)
		body = body[n:]
	}
	<-request.Context().Done()
	return nil
}

// TestBodiesForUnreadingServersAreBounded: bodies of 1 MB accumulate for ten servers that read
// nothing. Large bodies must be refused before memory is full, and small ones still accepted.
func TestBodiesForUnreadingServersAreBounded(t *testing.T) {
	const (
		limit = 36 << 20
		size  = 1 << 20
		sent  = 60
	)
	buffers := clientconn.NewBuffers(limit, func(clientconn.EndedResponse) {})
	var servers []string
	for range 10 {
		servers = append(servers, unreadingServer(t))
	}
	var next, refused atomic.Int64
	address, _ := serve(t, buffers, func(writer http.ResponseWriter, request *http.Request) {
		memory := buffers.NewBody()
		defer memory.Release()
		body, err := memory.Read(request.Body, request.ContentLength)
		if errors.Is(err, clientconn.ErrMemoryFull) {
			refused.Add(1)
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if err == nil && len(body) == size {
			err = forward(request, servers[next.Add(1)%10], body)
		}
		if err != nil {
			t.Error(err)
		}
	})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	waiting, leave := context.WithCancel(t.Context())
	defer leave()
	before := heap()
	large := strings.Repeat("x", size)
	ended := make(chan struct{}, sent)
	for i := range sent {
		// Send every other body in chunks.
		body := io.Reader(strings.NewReader(large))
		if i%2 == 0 {
			body = io.MultiReader(body)
		}
		request, err := http.NewRequestWithContext(waiting, http.MethodPost, "http://"+address, body)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			response, err := client.Do(request)
			if err == nil {
				_ = response.Body.Close()
			}
			ended <- struct{}{}
		}()
	}
	until(t, "some requests are refused and the others forwarded", func() bool {
		return refused.Load() > sent/4 && next.Load()+refused.Load() == sent
	})
	usage := buffers.Usage()
	if usage.Bodies > limit*3/4 || usage.Bodies < limit/2 {
		t.Errorf("memory use: %+v", usage)
	}
	// Reading a body in steps allocates up to twice its size.
	if grown := heap() - before; grown > 2*limit {
		t.Errorf("the heap grew by %d MB", grown>>20)
	}
	response, err := client.Post("http://"+address, "", bytes.NewReader(make([]byte, 4<<10)))
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("request with a small body: %v %v", response, err)
	}
	_ = response.Body.Close()
	leave()
	for range sent {
		<-ended
	}
	until(t, "nothing is buffered any more", func() bool { return buffers.Usage().Bodies == 0 })
}

// TestAnnouncedButUnsentBodiesReserveNoMemory: clients announce more than there is memory for and
// send little of it.
func TestAnnouncedButUnsentBodiesReserveNoMemory(t *testing.T) {
	const (
		limit   = 4 << 20
		size    = 1 << 20
		stalled = 20
	)
	buffers := clientconn.NewBuffers(limit, func(clientconn.EndedResponse) {})
	sources := make([]*io.PipeWriter, stalled)
	read := make(chan error, stalled)
	for i := range sources {
		reader, writer := io.Pipe()
		sources[i] = writer
		go func() {
			memory := buffers.NewBody()
			defer memory.Release()
			_, err := memory.Read(reader, size)
			// A refused body is not read further, so its sender's writes fail.
			_ = reader.CloseWithError(err)
			read <- err
		}()
		if _, err := writer.Write(make([]byte, 1000)); err != nil {
			t.Fatalf("body %d of %d is not read: %v", i+1, stalled, err)
		}
	}
	until(t, "memory is reserved for what arrived", func() bool { return buffers.Usage().Bodies > 0 })
	if usage := buffers.Usage(); usage.Bodies > stalled*8<<10 {
		t.Errorf("memory use: %+v", usage)
	}
	complete := buffers.NewBody()
	defer complete.Release()
	if body, err := complete.Read(bytes.NewReader(make([]byte, size)), size); err != nil || len(body) != size {
		t.Errorf("reading another body: %d bytes, %v", len(body), err)
	}
	tooLarge := buffers.NewBody()
	if _, err := tooLarge.Read(iotest.ErrReader(errors.New("the body was read")), limit); !errors.Is(err, clientconn.ErrMemoryFull) {
		t.Errorf("reading a body that does not fit: %v", err)
	}
	for _, source := range sources {
		_ = source.CloseWithError(io.ErrUnexpectedEOF)
		if err := <-read; !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Error(err)
		}
	}
	complete.Release()
	until(t, "all memory is released", func() bool { return buffers.Usage().Bodies == 0 })
}
