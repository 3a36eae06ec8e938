// Package clientconn holds the connections of clients of which some read slowly. What such a
// client does not take at once is kept in memory and written to it by and by, so that an
// answer is read from its server as fast as that gives it. What is kept for all connections
// of the process is bounded: see package relaybudget, which decides who waits and whose
// answer is ended. An answer that is ended never looks whole: its connection is reset.
//
// A client that keeps up costs nothing beyond the write itself: no copy, no goroutine and no
// allocation. Each write is tried once without waiting, and only its rest is kept.
package clientconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"rockwind.example/rockwind/internal/relaybudget"
	"rockwind.example/rockwind/internal/retry"
)

const (
	// chunkSize is the unit in which unread bytes are kept and counted.
	chunkSize = 8 << 10
	// kernelBuffer is what the kernel is asked to keep unread for a connection at most, in
	// bytes. It doubles that for its own needs: a client 10 ms away still gets 25 Mbit/s, and a
	// thousand slow ones cost 64 MB at most where the kernel would take some MB for each.
	kernelBuffer = 32 << 10
	// drainInterval is the time between two looks at whether all clients have read what is
	// kept for them.
	drainInterval = 10 * time.Millisecond
)

// Buffers is what a process keeps for the clients of its connections, and the bodies of
// requests. It is safe for concurrent use.
type Buffers struct {
	ended func(EndedResponse)

	mutex   sync.Mutex
	budget  *relaybudget.Budget[*Conn]
	waiting map[*Conn]struct{}
	chunks  sync.Pool
	taken   int64

	open atomic.Int64
}

// Usage is what is kept at a moment.
type Usage struct {
	// Limit, Unread and Bodies are bytes: of the budget, of answers and of requests.
	Limit, Unread, Bodies int64
	// Readers is how many clients are behind, and Waiting how many answers wait for room.
	Readers, Waiting int
	// Open is how many connections of clients there are.
	Open int
	// Taken is how many bytes clients took that had to be kept for them, since the start.
	Taken int64
}

// Fraction is the part of the limit that is in use.
func (u Usage) Fraction() float64 { return float64(u.Unread+u.Bodies) / float64(u.Limit) }

// Reason is why the answer of a reader was ended.
type Reason string

// The reasons.
const (
	// ReasonMemoryNeeded: other requests needed the memory.
	ReasonMemoryNeeded Reason = "others needed the memory"
	// ReasonStalled: it waited for memory, and the client read nothing.
	ReasonStalled Reason = "the client read nothing while memory was short"
	// ReasonWriteFailed: nothing could be written to the client any more, or its time was over.
	ReasonWriteFailed Reason = "the client read nothing until its time was over, or left"
)

// EndedResponse is a reader whose answer was ended.
type EndedResponse struct {
	// RequestID is the identifier that Conn.Begin was told.
	RequestID string
	Reason    Reason
	// Unread is how many bytes were kept for it, Taken how many it took since it fell behind,
	// and Behind how long ago that was.
	Unread, Taken int64
	Behind        time.Duration
	// Cause is the error of the connection, nil where there was none.
	Cause error
}

// NewBuffers returns buffers of so many bytes in all. The function is told of readers whose
// answer was ended; it must not block.
func NewBuffers(limit int64, ended func(EndedResponse)) *Buffers {
	return &Buffers{
		ended:   ended,
		budget:  relaybudget.New[*Conn](limit),
		waiting: make(map[*Conn]struct{}),
		chunks:  sync.Pool{New: func() any { return new(chunk) }},
	}
}

// Usage returns what is kept now.
func (b *Buffers) Usage() Usage {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Usage{
		Limit: b.budget.Limit(), Unread: b.budget.Unread(), Bodies: b.budget.Bodies(),
		Readers: b.budget.Readers(), Waiting: len(b.waiting), Open: int(b.open.Load()), Taken: b.taken,
	}
}

// Drain waits until the clients have read all that is kept for them, or the context ends.
func (b *Buffers) Drain(ctx context.Context) {
	for b.Usage().Readers > 0 && retry.Pause(ctx, drainInterval) {
	}
}

// hasRoomForBody tells whether a body of the given size may be read.
func (b *Buffers) hasRoomForBody(size int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.budget.HasRoomForBody(size)
}

// ReserveBody asks to keep so many bytes more of a body of the given size, and tells whether there
// is room.
func (b *Buffers) ReserveBody(bytes, size int64) bool {
	b.mutex.Lock()
	verdict, ended := b.budget.ReserveBody(bytes, size, time.Now())
	b.mutex.Unlock()
	endAll(ended)
	return verdict == relaybudget.Granted
}

// ReleaseBody gives back bytes that TakeBody gave.
func (b *Buffers) ReleaseBody(bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.budget.ReleaseBody(bytes)
	b.wake()
}

// reserve asks for one more chunk for a connection. One that is told to wait is woken when
// there may be room.
func (b *Buffers) reserve(conn *Conn) relaybudget.Verdict {
	b.mutex.Lock()
	verdict, ended := b.budget.Reserve(conn.reader, chunkSize, time.Now())
	if verdict == relaybudget.Wait {
		b.waiting[conn] = struct{}{}
	} else {
		delete(b.waiting, conn)
		b.wake()
	}
	b.mutex.Unlock()
	endAll(ended)
	return verdict
}

// took gives back a chunk that the client has taken.
func (b *Buffers) took(conn *Conn) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.budget.Release(conn.reader, chunkSize)
	b.taken += chunkSize
	b.wake()
}

// leave forgets a connection and returns since when it was behind, and what it has taken
// after that.
func (b *Buffers) leave(conn *Conn) (since time.Time, taken int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	since, taken = conn.reader.Behind()
	b.budget.Remove(conn.reader)
	delete(b.waiting, conn)
	b.wake()
	return since, taken
}

// wake lets one connection that waits ask again where there is room; it wakes the next. The
// mutex is held.
func (b *Buffers) wake() {
	if len(b.waiting) == 0 || !b.budget.HasRoom(chunkSize) {
		return
	}
	for conn := range b.waiting {
		conn.signal()
		return
	}
}

// endAll ends the answers of readers that had to make room.
func endAll(readers []*relaybudget.Reader[*Conn]) {
	for _, reader := range readers {
		reader.Owner().end(ReasonMemoryNeeded, nil)
	}
}

// Listener wraps a listener so that its connections keep what their clients do not take.
// The kernel keeps little of it, since its memory counts as well and is not in the budget, and
// has as much patience as this package.
func (b *Buffers) Listener(listener net.Listener) net.Listener {
	if err := boundKernel(listener); err != nil {
		log.WithError(err).Warn("the kernel's memory and patience for clients that read slowly are its own")
	}
	return keepingListener{Listener: listener, buffers: b}
}

// boundKernel bounds what the kernel keeps unread for each connection that the listener
// accepts, and for how long.
func boundKernel(listener net.Listener) error {
	raw, found := listener.(syscall.Conn)
	if !found {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = control.Control(func(descriptor uintptr) {
		failure = errors.CombineErrors(
			unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, kernelBuffer),
			unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(stallLimit.Milliseconds())))
	})
	return errors.CombineErrors(err, failure)
}

// keepingListener accepts connections of the buffers.
type keepingListener struct {
	net.Listener
	buffers *Buffers
}

// Accept implements net.Listener.
func (l keepingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	raw, found := accepted.(syscall.Conn)
	if !found {
		return accepted, nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return accepted, nil
	}
	l.buffers.open.Add(1)
	return newConn(accepted, control, l.buffers), nil
}

// connKey is the key of the connection in contexts.
type connKey struct{}

// WithConn is the ConnContext of servers: FromContext finds the connection again.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if own, found := conn.(*Conn); found {
		return context.WithValue(ctx, connKey{}, own)
	}
	return ctx
}

// FromContext returns the connection of a request, nil where it is none of this package.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// Handler wraps the handler of a server of such connections: each request starts anew,
// whatever Begin told of the one before.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		FromContext(request.Context()).BeginRequest("", time.Time{})
		next.ServeHTTP(writer, request)
	})
}
