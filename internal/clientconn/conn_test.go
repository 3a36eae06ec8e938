package clientconn_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/clientconn"
	"rockwind.example/rockwind/internal/dial"
)

// endings records the responses that were cut off.
type endings struct {
	mutex sync.Mutex
	all   []clientconn.EndedResponse
}

func (e *endings) add(ended clientconn.EndedResponse) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.all = append(e.all, ended)
}

func (e *endings) list() []clientconn.EndedResponse {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.all)
}

// serve starts a server on loopback that buffers responses if buffers is not nil.
func serve(t testing.TB, buffers *clientconn.Buffers, handler http.HandlerFunc) (address string, server *http.Server) {
	t.Helper()
	listener, err := dial.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = listener.Addr().String()
	server = &http.Server{Handler: handler, ConnContext: clientconn.WithConn}
	if buffers != nil {
		listener = buffers.Listener(listener)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return address, server
}

// ask sends a request and does not read its response.
func ask(t testing.TB, address, path string) *net.TCPConn {
	t.Helper()
	dialed, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	conn := dialed.(*net.TCPConn)
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: test\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
	return conn
}

// until waits until a condition holds.
func until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(15 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("not within 15 s: %s", what)
		}
	}
}

// writeResponse writes a response of the given size in pieces.
func writeResponse(writer io.Writer, size int) error {
	piece := make([]byte, 4<<10)
	for sent := 0; sent < size; sent += len(piece) {
		for i := range piece {
			piece[i] = byte((sent + i) * 31 >> 3)
		}
		if _, err := writer.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

func expectedBody(size int) []byte {
	var all bytes.Buffer
	_ = writeResponse(&all, size)
	return all.Bytes()
}

// TestHandlerIsNotBlockedBySlowClient: the handler must finish although the client reads
// nothing, and the client must get every byte when it reads.
func TestHandlerIsNotBlockedBySlowClient(t *testing.T) {
	const size = 4 << 20
	ended := &endings{}
	buffers := clientconn.NewBuffers(16<<20, ended.add)
	done := make(chan error, 1)
	address, _ := serve(t, buffers, func(writer http.ResponseWriter, request *http.Request) {
		clientconn.FromContext(request.Context()).BeginRequest("slow", time.Now().Add(time.Minute))
		done <- writeResponse(writer, size)
	})
	conn := ask(t, address, "/")
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if usage := buffers.Usage(); usage.Readers != 1 || usage.Unread < size/2 {
		t.Errorf("memory use: %+v", usage)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil || !bytes.Equal(got, expectedBody(size)) {
		t.Fatalf("got %d bytes, %v", len(got), err)
	}
	until(t, "nothing is buffered any more", func() bool { return buffers.Usage().Unread == 0 })
	if list := ended.list(); len(list) > 0 {
		t.Errorf("response was cut off: %+v", list[0])
	}
}

// TestBufferedBytesAreSentAfterServerShutdown: Drain must wait for slow clients.
func TestBufferedBytesAreSentAfterServerShutdown(t *testing.T) {
	const size = 1 << 20
	buffers := clientconn.NewBuffers(16<<20, func(clientconn.EndedResponse) {})
	done := make(chan error, 1)
	address, server := serve(t, buffers, func(writer http.ResponseWriter, request *http.Request) { done <- writeResponse(writer, size) })
	conn := ask(t, address, "/")
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	stopping, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if err := server.Shutdown(stopping); err != nil {
		t.Fatal(err)
	}
	read := make(chan int, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			read <- 0
			return
		}
		got, _ := io.ReadAll(response.Body)
		read <- len(got)
	}()
	buffers.Drain(stopping)
	if got := <-read; got != size {
		t.Errorf("got %d bytes", got)
	}
}

// TestUnreadResponseIsResetAtDeadline: the unread bytes must be dropped, and the response must not
// look complete.
func TestUnreadResponseIsResetAtDeadline(t *testing.T) {
	const size = 1 << 20
	ended := &endings{}
	buffers := clientconn.NewBuffers(16<<20, ended.add)
	address, _ := serve(t, buffers, func(writer http.ResponseWriter, request *http.Request) {
		clientconn.FromContext(request.Context()).BeginRequest("dark", time.Now().Add(300*time.Millisecond))
		writer.Header().Set("Content-Length", fmt.Sprint(size))
		_ = writeResponse(writer, size)
	})
	began := time.Now()
	conn := ask(t, address, "/")
	until(t, "the response is cut off", func() bool { return len(ended.list()) == 1 })
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("it was buffered for %v", took)
	}
	if first := ended.list()[0]; first.RequestID != "dark" || first.Reason != clientconn.ReasonWriteFailed || first.Unread == 0 {
		t.Errorf("reported as cut off: %+v", first)
	}
	if usage := buffers.Usage(); usage.Unread != 0 || usage.Readers != 0 {
		t.Errorf("memory use: %+v", usage)
	}
	if got, err := io.ReadAll(conn); err == nil {
		t.Errorf("the response ended without an error after %d bytes", len(got))
	}
}

// TestResponsesWaitForMemory: two large responses share little memory. The second must wait while
// the first client reads nothing, and both must be complete in the end.
func TestResponsesWaitForMemory(t *testing.T) {
	const size = 4 << 20
	buffers := clientconn.NewBuffers(2<<20, func(clientconn.EndedResponse) {})
	address, _ := serve(t, buffers, func(writer http.ResponseWriter, _ *http.Request) { _ = writeResponse(writer, size) })
	first, second := ask(t, address, "/"), ask(t, address, "/")
	until(t, "responses wait for memory", func() bool { return buffers.Usage().Waiting == 2 })
	for _, conn := range []net.Conn{first, second} {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(response.Body); err != nil || !bytes.Equal(got, expectedBody(size)) {
			t.Fatalf("got %d bytes, %v", len(got), err)
		}
	}
}

// TestClientDisconnectCancelsRequest: the handler must notice it immediately, even while bytes
// are buffered.
func TestClientDisconnectCancelsRequest(t *testing.T) {
	buffers := clientconn.NewBuffers(16<<20, func(clientconn.EndedResponse) {})
	left := make(chan struct{})
	address, _ := serve(t, buffers, func(writer http.ResponseWriter, request *http.Request) {
		_ = writeResponse(writer, 1<<20)
		<-request.Context().Done()
		close(left)
	})
	conn := ask(t, address, "/")
	until(t, "bytes are buffered", func() bool { return buffers.Usage().Unread > 1<<19 })
	began := time.Now()
	_ = conn.Close()
	<-left
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("the request was canceled after %v", took)
	}
	until(t, "nothing is buffered any more", func() bool { return buffers.Usage().Unread == 0 })
}

// TestWaitingResponseOfStalledClientIsCutOff: a server must not wait long for a client that reads
// nothing while memory is short, and the truncated response must not look complete.
func TestWaitingResponseOfStalledClientIsCutOff(t *testing.T) {
	ended := &endings{}
	buffers := clientconn.NewBuffers(1<<20, ended.add)
	failed := make(chan error, 1)
	address, _ := serve(t, buffers, func(writer http.ResponseWriter, request *http.Request) {
		conn := clientconn.FromContext(request.Context())
		conn.BeginRequest("dark", time.Now().Add(time.Minute))
		err := writeResponse(writer, 4<<20)
		if conn.EndReason() != clientconn.ReasonStalled {
			t.Errorf("the response was cut off because of %q", conn.EndReason())
		}
		failed <- err
	})
	began := time.Now()
	conn := ask(t, address, "/")
	if err := <-failed; err == nil {
		t.Error("the handler got no error")
	}
	if took := time.Since(began); took < time.Second || took > 4*time.Second {
		t.Errorf("the response was cut off after %v", took)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	if err == nil {
		t.Error("the response looks complete")
	}
	if list := ended.list(); len(list) != 1 || list[0].Reason != clientconn.ReasonStalled {
		t.Errorf("reported as cut off: %+v", list)
	}
	if usage := buffers.Usage(); usage.Unread != 0 || usage.Waiting != 0 {
		t.Errorf("memory use: %+v", usage)
	}
}

// TestThousandSlowClientsStayWithinMemoryLimit: a thousand clients read little of responses of
// 1 MB, one of 64 MB. The process must stay within its budget, and other requests must be
// answered within the shortest latency objective.
func TestThousandSlowClientsStayWithinMemoryLimit(t *testing.T) {
	const (
		slow   = 1000
		limit  = 36 << 20
		others = 200
		// objective is the shortest latency objective for response headers.
		objective = 300 * time.Millisecond
	)
	buffers := clientconn.NewBuffers(limit, func(clientconn.EndedResponse) {})
	var most, begun atomic.Int64
	address, _ := serve(t, buffers, func(writer http.ResponseWriter, request *http.Request) {
		clientconn.FromContext(request.Context()).BeginRequest(request.URL.Path, time.Now().Add(time.Minute))
		begun.Add(1)
		if request.URL.Path == "/idle" {
			<-request.Context().Done()
			return
		}
		size := map[string]int{"/quick": 4 << 10, "/slow": 1 << 20, "/huge": 64 << 20}[request.URL.Path]
		_ = writeResponse(writer, size)
		usage := buffers.Usage()
		most.Store(max(most.Load(), usage.Unread+usage.Bodies))
	})
	idle := costOfIdle(t, address, slow, &begun)
	before := heap()
	for i := range slow {
		path := "/slow"
		if i == 0 {
			path = "/huge"
		}
		ask(t, address, path)
	}
	until(t, "all requests have started and fill the memory of large readers", func() bool {
		return begun.Load() == slow && buffers.Usage().Unread > limit*2/5
	})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var took []time.Duration
	for range others {
		began := time.Now()
		response, err := client.Get("http://" + address + "/quick")
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		if err != nil || len(got) != 4<<10 {
			t.Fatalf("got %d bytes, %v", len(got), err)
		}
		_ = response.Body.Close()
		took = append(took, time.Since(began))
	}
	grown := heap() - before
	slices.Sort(took)
	t.Logf("heap grew by %d MB, of which %d MB for idle connections; %d clients behind; other requests took %v in the median, %v at most", grown>>20, idle>>20, buffers.Usage().Readers, took[others/2], took[others-1])
	if tail := took[others*99/100]; tail > objective {
		t.Errorf("other requests take %v beside slow clients", tail)
	}
	if usage := buffers.Usage(); usage.Unread > limit || most.Load() > limit {
		t.Errorf("memory use %+v, at most %d", usage, most.Load())
	}
	// A client that is behind also costs the stack of a goroutine, two 4 KB write buffers, and the
	// unused end of a chunk.
	const each = 20 << 10
	if grown > limit+idle+slow*each {
		t.Errorf("the heap grew by %d MB, of which idle connections cost %d MB", grown>>20, idle>>20)
	}
}

// costOfIdle returns the memory used by the given number of unanswered requests.
func costOfIdle(t *testing.T, address string, count int, begun *atomic.Int64) int64 {
	t.Helper()
	before := heap()
	var opened []net.Conn
	for range count {
		opened = append(opened, ask(t, address, "/idle"))
	}
	until(t, "all idle requests have started", func() bool { return begun.Load() == int64(count) })
	cost := heap() - before
	for _, conn := range opened {
		_ = conn.Close()
	}
	begun.Store(0)
	return cost
}

// heap returns the memory use of the process in bytes.
func heap() int64 {
	// Objects in a pool survive one collection.
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return int64(statistics.HeapAlloc + statistics.StackInuse)
}

// BenchmarkEvents relays events of 200 bytes one at a time, over a plain and over a buffering
// connection.
func BenchmarkEvents(b *testing.B) {
	for _, kind := range []struct {
		name    string
		buffers *clientconn.Buffers
	}{{"plain", nil}, {"keeping", clientconn.NewBuffers(36<<20, func(clientconn.EndedResponse) {})}} {
		b.Run(kind.name, func(b *testing.B) {
			event := bytes.Repeat([]byte("x"), 200)
			next := make(chan struct{}, 1)
			address, _ := serve(b, kind.buffers, func(writer http.ResponseWriter, _ *http.Request) {
				controller := http.NewResponseController(writer)
				for range next {
					_, _ = writer.Write(event)
					_ = controller.Flush()
				}
			})
			next <- struct{}{}
			response, err := http.Get("http://" + address)
			if err != nil {
				b.Fatal(err)
			}
			defer response.Body.Close()
			defer close(next)
			read := make([]byte, len(event))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.ReadFull(response.Body, read); err != nil {
					b.Fatal(err)
				}
				next <- struct{}{}
			}
		})
	}
}

// BenchmarkAnswers requests small responses one after the other.
func BenchmarkAnswers(b *testing.B) {
	for _, kind := range []struct {
		name    string
		buffers *clientconn.Buffers
	}{{"plain", nil}, {"keeping", clientconn.NewBuffers(36<<20, func(clientconn.EndedResponse) {})}} {
		b.Run(kind.name, func(b *testing.B) {
			address, _ := serve(b, kind.buffers, func(writer http.ResponseWriter, request *http.Request) {
				clientconn.FromContext(request.Context()).BeginRequest("id", time.Now().Add(time.Minute))
				_, _ = writer.Write([]byte("whole"))
			})
			b.ReportAllocs()
			for b.Loop() {
				response, err := http.Get("http://" + address)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}

// TestDeadlineDoesNotApplyToNextRequest: a second request on the same connection, without a
// deadline, must not inherit the expired deadline of the first.
func TestDeadlineDoesNotApplyToNextRequest(t *testing.T) {
	const size = 4 << 20
	buffers := clientconn.NewBuffers(16<<20, func(clientconn.EndedResponse) {})
	handler := clientconn.Handler(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/first" {
			clientconn.FromContext(request.Context()).BeginRequest("first", time.Now().Add(time.Millisecond))
			return
		}
		_ = writeResponse(writer, size)
	}))
	address, _ := serve(t, buffers, handler.ServeHTTP)
	conn := ask(t, address, "/first")
	reader := bufio.NewReader(conn)
	if _, err := http.ReadResponse(reader, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "GET /second HTTP/1.1\r\nHost: test\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	until(t, "bytes are buffered", func() bool { return buffers.Usage().Unread > size/2 })
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(response.Body); err != nil || len(got) != size {
		t.Errorf("got %d bytes, %v", len(got), err)
	}
}

// TestClientThatPausesGetsItsResponse: a client that reads nothing for four seconds must not be cut
// off, by the kernel either.
func TestClientThatPausesGetsItsResponse(t *testing.T) {
	const size = 4 << 20
	buffers := clientconn.NewBuffers(16<<20, func(ended clientconn.EndedResponse) { t.Logf("response was cut off: %+v", ended) })
	listener, err := dial.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnContext: clientconn.WithConn, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		clientconn.FromContext(request.Context()).BeginRequest("pauses", time.Now().Add(time.Minute))
		_ = writeResponse(writer, size)
	})}
	t.Cleanup(func() { _ = server.Close() })
	keeping := buffers.Listener(listener)
	go func() { _ = server.Serve(keeping) }()
	conn := ask(t, listener.Addr().String(), "/")
	time.Sleep(4 * time.Second)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(response.Body); err != nil || len(got) != size {
		t.Errorf("got %d bytes, %v", len(got), err)
	}
}

// TestIdleTimeoutMayBeLongerThanTheServers guards against a timeout that only shortens that of the server, and
// against one that applies to more than the idle time.
func TestIdleTimeoutMayBeLongerThanTheServers(t *testing.T) {
	const ofServer, longer = 200 * time.Millisecond, time.Minute
	var timeout atomic.Int64
	timeout.Store(int64(longer))
	listener, err := dial.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler:     http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		IdleTimeout: ofServer, ReadHeaderTimeout: ofServer,
		ConnState: clientconn.IdleTimeout(func() time.Duration { return time.Duration(timeout.Load()) }),
	}
	buffers := clientconn.NewBuffers(1<<20, func(clientconn.EndedResponse) {})
	go func() { _ = server.Serve(buffers.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	conn := ask(t, listener.Addr().String(), "/")
	reader := bufio.NewReader(conn)
	closedWithin := func(limit time.Duration) bool {
		t.Helper()
		_ = conn.SetReadDeadline(time.Now().Add(limit))
		_, err := io.Copy(io.Discard, reader)
		return err == nil
	}
	if closedWithin(4 * ofServer) {
		t.Error("the connection was closed after the time of the server")
	}
	// A client that sends part of a header has the time for headers.
	if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	if !closedWithin(10 * time.Second) {
		t.Error("the timeout applies to headers")
	}
	timeout.Store(0)
	conn = ask(t, listener.Addr().String(), "/")
	reader.Reset(conn)
	if !closedWithin(10 * time.Second) {
		t.Error("the time of the server does not apply")
	}
}
