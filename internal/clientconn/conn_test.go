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

// endings collects what buffers tell of ended answers.
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

// serve starts a server on loopback whose connections keep what their clients do not read.
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

// ask sends a request and leaves its answer unread.
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

// until waits until something holds.
func until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(15 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("not within 15 s: %s", what)
		}
	}
}

// answer writes so many bytes in pieces, each number once, and tells when all is written.
func answer(writer io.Writer, size int) error {
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

func whole(size int) []byte {
	var all bytes.Buffer
	_ = answer(&all, size)
	return all.Bytes()
}

// TestAnswerEndsAtItsServerBeforeTheClientHasReadIt: the handler is not held up by a client
// that reads nothing, and the client gets every byte when it reads.
func TestAnswerEndsAtItsServerBeforeTheClientHasReadIt(t *testing.T) {
	const size = 4 << 20
	ended := &endings{}
	buffers := clientconn.NewBuffers(16<<20, ended.add)
	done := make(chan error, 1)
	address, _ := serve(t, buffers, func(writer http.ResponseWriter, request *http.Request) {
		clientconn.FromContext(request.Context()).BeginRequest("slow", time.Now().Add(time.Minute))
		done <- answer(writer, size)
	})
	conn := ask(t, address, "/")
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if usage := buffers.Usage(); usage.Readers != 1 || usage.Unread < size/2 {
		t.Errorf("kept are %+v", usage)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil || !bytes.Equal(got, whole(size)) {
		t.Fatalf("%d bytes came, %v", len(got), err)
	}
	until(t, "nothing is kept any more", func() bool { return buffers.Usage().Unread == 0 })
	if list := ended.list(); len(list) > 0 {
		t.Errorf("ended was %+v", list[0])
	}
}

// TestClosingServerStillHandsOutWhatIsKept: a stop waits for clients that read slowly.
func TestClosingServerStillHandsOutWhatIsKept(t *testing.T) {
	const size = 1 << 20
	buffers := clientconn.NewBuffers(16<<20, func(clientconn.EndedResponse) {})
	done := make(chan error, 1)
	address, server := serve(t, buffers, func(writer http.ResponseWriter, request *http.Request) { done <- answer(writer, size) })
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
		t.Errorf("%d bytes came", got)
	}
}

// TestDarkReaderWhoseTimeIsOverIsReset: what it has not read is dropped, and the answer does
// not look whole.
func TestDarkReaderWhoseTimeIsOverIsReset(t *testing.T) {
	const size = 1 << 20
	ended := &endings{}
	buffers := clientconn.NewBuffers(16<<20, ended.add)
	address, _ := serve(t, buffers, func(writer http.ResponseWriter, request *http.Request) {
		clientconn.FromContext(request.Context()).BeginRequest("dark", time.Now().Add(300*time.Millisecond))
		writer.Header().Set("Content-Length", fmt.Sprint(size))
		_ = answer(writer, size)
	})
	began := time.Now()
	conn := ask(t, address, "/")
	until(t, "the answer is ended", func() bool { return len(ended.list()) == 1 })
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("it was kept for %v", took)
	}
	if first := ended.list()[0]; first.RequestID != "dark" || first.Reason != clientconn.ReasonWriteFailed || first.Unread == 0 {
		t.Errorf("told was %+v", first)
	}
	if usage := buffers.Usage(); usage.Unread != 0 || usage.Readers != 0 {
		t.Errorf("kept are %+v", usage)
	}
	if got, err := io.ReadAll(conn); err == nil {
		t.Errorf("the answer ends well after %d bytes", len(got))
	}
}

// TestAnswersWithoutRoomWaitAndGoOn: two large answers share little memory. The second waits
// while the first client reads nothing, and each is whole in the end.
func TestAnswersWithoutRoomWaitAndGoOn(t *testing.T) {
	const size = 4 << 20
	buffers := clientconn.NewBuffers(2<<20, func(clientconn.EndedResponse) {})
	address, _ := serve(t, buffers, func(writer http.ResponseWriter, _ *http.Request) { _ = answer(writer, size) })
	first, second := ask(t, address, "/"), ask(t, address, "/")
	until(t, "answers wait for room", func() bool { return buffers.Usage().Waiting == 2 })
	for _, conn := range []net.Conn{first, second} {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(response.Body); err != nil || !bytes.Equal(got, whole(size)) {
			t.Fatalf("%d bytes came, %v", len(got), err)
		}
	}
}

// TestClientThatLeavesEndsItsRequest: the handler hears of it at once, also while bytes are
// kept for the client.
func TestClientThatLeavesEndsItsRequest(t *testing.T) {
	buffers := clientconn.NewBuffers(16<<20, func(clientconn.EndedResponse) {})
	left := make(chan struct{})
	address, _ := serve(t, buffers, func(writer http.ResponseWriter, request *http.Request) {
		_ = answer(writer, 1<<20)
		<-request.Context().Done()
		close(left)
	})
	conn := ask(t, address, "/")
	until(t, "bytes are kept", func() bool { return buffers.Usage().Unread > 1<<19 })
	began := time.Now()
	_ = conn.Close()
	<-left
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("the request hears of it after %v", took)
	}
	until(t, "nothing is kept any more", func() bool { return buffers.Usage().Unread == 0 })
}

// TestAnswerThatWaitsForADarkReaderIsEnded: a server does not wait for long for a client that
// reads nothing while memory is short, and what came of the answer does not look whole.
func TestAnswerThatWaitsForADarkReaderIsEnded(t *testing.T) {
	ended := &endings{}
	buffers := clientconn.NewBuffers(1<<20, ended.add)
	failed := make(chan error, 1)
	address, _ := serve(t, buffers, func(writer http.ResponseWriter, request *http.Request) {
		conn := clientconn.FromContext(request.Context())
		conn.BeginRequest("dark", time.Now().Add(time.Minute))
		err := answer(writer, 4<<20)
		if conn.EndReason() != clientconn.ReasonStalled {
			t.Errorf("the connection was ended for %q", conn.EndReason())
		}
		failed <- err
	})
	began := time.Now()
	conn := ask(t, address, "/")
	if err := <-failed; err == nil {
		t.Error("the handler hears nothing of it")
	}
	if took := time.Since(began); took < time.Second || took > 4*time.Second {
		t.Errorf("it was ended after %v", took)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	if err == nil {
		t.Error("the answer looks whole")
	}
	if list := ended.list(); len(list) != 1 || list[0].Reason != clientconn.ReasonStalled {
		t.Errorf("told was %+v", list)
	}
	if usage := buffers.Usage(); usage.Unread != 0 || usage.Waiting != 0 {
		t.Errorf("kept are %+v", usage)
	}
}

// TestThousandSlowClientsStayWithinTheMemory: a thousand clients read little of answers of
// 1 MB each, one of them of 64 MB. The process keeps within its budget, and others that ask
// beside them get their answers within the shortest objective.
func TestThousandSlowClientsStayWithinTheMemory(t *testing.T) {
	const (
		slow   = 1000
		limit  = 36 << 20
		others = 200
		// objective is the shortest within which callers want the head of an answer.
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
		_ = answer(writer, size)
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
	until(t, "all have begun, and the memory that any reader may use is used", func() bool {
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
			t.Fatalf("%d bytes came, %v", len(got), err)
		}
		_ = response.Body.Close()
		took = append(took, time.Since(began))
	}
	grown := heap() - before
	slices.Sort(took)
	t.Logf("heap grew by %d MB, of which idle ones %d MB, with %d readers behind, others took %v in the median, %v at most", grown>>20, idle>>20, buffers.Usage().Readers, took[others/2], took[others-1])
	if tail := took[others*99/100]; tail > objective {
		t.Errorf("others take %v beside slow clients", tail)
	}
	if usage := buffers.Usage(); usage.Unread > limit || most.Load() > limit {
		t.Errorf("kept are %+v, at most %d", usage, most.Load())
	}
	// Beside the budget a client that is behind costs the stack of one more goroutine, and what
	// writing needs: two buffers of 4 KB and the end of a chunk.
	const each = 20 << 10
	if grown > limit+idle+slow*each {
		t.Errorf("the heap grew by %d MB, of which idle connections cost %d MB", grown>>20, idle>>20)
	}
}

// costOfIdle is how much memory so many requests cost of which nothing is answered yet.
func costOfIdle(t *testing.T, address string, count int, begun *atomic.Int64) int64 {
	t.Helper()
	before := heap()
	var opened []net.Conn
	for range count {
		opened = append(opened, ask(t, address, "/idle"))
	}
	until(t, "all idle ones have begun", func() bool { return begun.Load() == int64(count) })
	cost := heap() - before
	for _, conn := range opened {
		_ = conn.Close()
	}
	begun.Store(0)
	return cost
}

// heap is how much memory the process uses, in bytes.
func heap() int64 {
	// What a pool holds lives through one collection.
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return int64(statistics.HeapAlloc + statistics.StackInuse)
}

// BenchmarkEvents passes events of 200 bytes on, one after the other has come, to a client on
// a plain connection and on one that keeps what its client does not read.
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

// BenchmarkAnswers asks for small answers one after the other.
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

// TestTimeOfOneRequestDoesNotBindTheNextOne: a connection is kept, and the answer to its
// second request, of which the handler tells nothing, is read when the first one's time is
// over.
func TestTimeOfOneRequestDoesNotBindTheNextOne(t *testing.T) {
	const size = 4 << 20
	buffers := clientconn.NewBuffers(16<<20, func(clientconn.EndedResponse) {})
	handler := clientconn.Handler(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/first" {
			clientconn.FromContext(request.Context()).BeginRequest("first", time.Now().Add(time.Millisecond))
			return
		}
		_ = answer(writer, size)
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
	until(t, "bytes are kept", func() bool { return buffers.Usage().Unread > size/2 })
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(response.Body); err != nil || len(got) != size {
		t.Errorf("%d bytes came, %v", len(got), err)
	}
}

// TestClientThatPausesGetsItsAnswer: a client that reads nothing for four seconds is no dark
// one, also for the kernel.
func TestClientThatPausesGetsItsAnswer(t *testing.T) {
	const size = 4 << 20
	buffers := clientconn.NewBuffers(16<<20, func(ended clientconn.EndedResponse) { t.Logf("ended was %+v", ended) })
	listener, err := dial.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnContext: clientconn.WithConn, Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		clientconn.FromContext(request.Context()).BeginRequest("pauses", time.Now().Add(time.Minute))
		_ = answer(writer, size)
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
		t.Errorf("%d bytes came, %v", len(got), err)
	}
}
