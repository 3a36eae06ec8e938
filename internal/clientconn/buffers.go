// Package clientconn buffers responses to clients that read slowly. What a client does not
// accept immediately is buffered and written later, so that a response is read from its server
// at full speed. The memory for all connections of the process is limited: package
// relaybudget decides which responses wait and which are cut off. A response that is cut off
// never looks complete: its connection is reset.
//
// A client that keeps up costs no copy, goroutine or allocation. Each write is tried once
// without blocking, and only the rest is buffered.
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
	// chunkSize is the unit in which unread bytes are buffered and counted.
	chunkSize = 8 << 10
	// kernelBuffer is the requested size of the kernel's send buffer per connection in bytes. The
	// kernel doubles it: a client 10 ms away still gets 25 Mbit/s, and a thousand slow clients
	// take at most 64 MB.
	kernelBuffer = 32 << 10
	// drainInterval is how often Drain checks whether all clients have read their buffered bytes.
	drainInterval = 10 * time.Millisecond
)

// Buffers holds the buffered responses of a process's client connections, and accounts for the
// bodies of requests. It is safe for concurrent use.
type Buffers struct {
	ended func(EndedResponse)

	mutex   sync.Mutex
	budget  *relaybudget.Budget[*Conn]
	waiting map[*Conn]struct{}
	chunks  sync.Pool
	taken   int64

	open atomic.Int64
	// admit decides on new connections, by the number of open ones; nil takes all.
	admit func(open int) bool
	// turnedAway counts the connections that were closed unread.
	turnedAway atomic.Int64
}

// Usage is the memory use at one moment.
type Usage struct {
	// Limit, Unread and Bodies are in bytes: the budget, unread responses, and bodies.
	Limit, Unread, Bodies int64
	// Readers is the number of clients with unread bytes, and Waiting the number of responses that
	// wait for memory.
	Readers, Waiting int
	// Open is the number of client connections.
	Open int
	// Taken is how many buffered bytes clients have read since the start.
	Taken int64
}

// Fraction returns the used fraction of the limit.
func (u Usage) Fraction() float64 { return float64(u.Unread+u.Bodies) / float64(u.Limit) }

// Reason is why a response was cut off.
type Reason string

// The reasons.
const (
	// ReasonMemoryNeeded: other requests needed the memory.
	ReasonMemoryNeeded Reason = "others needed the memory"
	// ReasonStalled: the response waited for memory, and the client read nothing.
	ReasonStalled Reason = "the client read nothing while memory was short"
	// ReasonWriteFailed: writing to the client failed, or the deadline passed.
	ReasonWriteFailed Reason = "the client read nothing until its time was over, or left"
	// ReasonIncomplete: the response could not be completed.
	ReasonIncomplete Reason = "the response could not be completed"
)

// EndedResponse describes a response that was cut off.
type EndedResponse struct {
	// RequestID is the ID passed to Conn.BeginRequest.
	RequestID string
	Reason    Reason
	// Unread is how many bytes were buffered for the client, Taken how many it had read since it fell
	// behind, and Behind how long ago that was.
	Unread, Taken int64
	Behind        time.Duration
	// Cause is the error of the connection, if any.
	Cause error
}

// NewBuffers returns buffers with the given limit in bytes. The function is called for each
// response that was cut off; it must not block.
func NewBuffers(limit int64, ended func(EndedResponse)) *Buffers {
	return &Buffers{
		ended:   ended,
		budget:  relaybudget.New[*Conn](limit),
		waiting: make(map[*Conn]struct{}),
		chunks:  sync.Pool{New: func() any { return new(chunk) }},
	}
}

// Usage returns the current memory use.
func (b *Buffers) Usage() Usage {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Usage{
		Limit: b.budget.Limit(), Unread: b.budget.Unread(), Bodies: b.budget.Bodies(),
		Readers: b.budget.Readers(), Waiting: len(b.waiting), Open: int(b.open.Load()), Taken: b.taken,
	}
}

// Drain waits until the clients have read all buffered bytes or the context ends.
func (b *Buffers) Drain(ctx context.Context) {
	for b.Usage().Readers > 0 && retry.Pause(ctx, drainInterval) {
	}
}

// hasRoomForBody reports whether there is memory for a body of the given size.
func (b *Buffers) hasRoomForBody(size int64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.budget.HasRoomForBody(size)
}

// ReserveBody reserves additional bytes for a body of the given size, and reports whether there was
// enough memory.
func (b *Buffers) ReserveBody(bytes, size int64) bool {
	b.mutex.Lock()
	verdict, ended := b.budget.ReserveBody(bytes, size, time.Now())
	b.mutex.Unlock()
	endAll(ended)
	return verdict == relaybudget.Granted
}

// ReleaseBody releases bytes reserved by ReserveBody.
func (b *Buffers) ReleaseBody(bytes int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.budget.ReleaseBody(bytes)
	b.wake()
}

// reserve requests memory for one more chunk. A connection that is told to wait is signaled when
// there may be memory.
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

// releaseChunk releases a chunk that the client has read.
func (b *Buffers) releaseChunk(conn *Conn) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.budget.Release(conn.reader, chunkSize)
	b.taken += chunkSize
	b.wake()
}

// remove removes a connection. It returns since when it was behind, and how many bytes it had read
// since then.
func (b *Buffers) remove(conn *Conn) (since time.Time, taken int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	since, taken = conn.reader.Behind()
	b.budget.Remove(conn.reader)
	delete(b.waiting, conn)
	b.wake()
	return since, taken
}

// wake signals one waiting connection if there is memory; that one wakes the next. The mutex
// must be held.
func (b *Buffers) wake() {
	if len(b.waiting) == 0 || !b.budget.HasRoom(chunkSize) {
		return
	}
	for conn := range b.waiting {
		conn.signal()
		return
	}
}

// endAll cuts off the responses of readers that were removed to free memory.
func endAll(readers []*relaybudget.Reader[*Conn]) {
	for _, reader := range readers {
		reader.Owner().end(ReasonMemoryNeeded, nil)
	}
}

// Listener wraps a listener so that its connections buffer what their clients do not read. It also
// limits the kernel's send buffers, which are not part of the budget, and its timeout.
func (b *Buffers) Listener(listener net.Listener) net.Listener {
	if err := limitKernel(listener); err != nil {
		log.WithError(err).Warn("could not limit the kernel's send buffers and timeout for slow clients")
	}
	return bufferingListener{Listener: listener, buffers: b}
}

// limitKernel sets the send buffer size and timeout of the connections that the listener accepts.
func limitKernel(listener net.Listener) error {
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
			unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(stallTimeout.Milliseconds())))
	})
	return errors.CombineErrors(err, failure)
}

// bufferingListener accepts connections that use the buffers.
type bufferingListener struct {
	net.Listener
	buffers *Buffers
}

// SetAdmission sets the function that decides on new connections, by the number of open ones. It must be
// set before the listener is used, and may be called by several goroutines.
func (b *Buffers) SetAdmission(admit func(open int) bool) { b.admit = admit }

// TurnedAway returns how many connections were closed before anything was read from them.
func (b *Buffers) TurnedAway() int64 { return b.turnedAway.Load() }

// Accept implements net.Listener. Connections that are not admitted are reset, so that their clients
// know at once that nothing was read.
func (l bufferingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	for err == nil && l.buffers.admit != nil && !l.buffers.admit(int(l.buffers.open.Load())) {
		l.buffers.turnedAway.Add(1)
		reset(accepted)
		accepted, err = l.Listener.Accept()
	}
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

// reset closes a connection without sending what may be unsent, which also leaves no state in the kernel.
func reset(conn net.Conn) {
	if lingering, found := conn.(interface{ SetLinger(seconds int) error }); found {
		_ = lingering.SetLinger(0)
	}
	_ = conn.Close()
}

// IdleTimeout returns a function for http.Server.ConnState that makes connections use the current timeout each time
// they become idle. The server's IdleTimeout applies if the timeout is zero. The server calls the function right
// before it sets the read deadline of the idle connection.
func IdleTimeout(current func() time.Duration) func(net.Conn, http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		if own, found := conn.(*Conn); found && state == http.StateIdle {
			own.idleTimeout.Store(int64(current()))
		}
	}
}

// connKey is the context key of the connection.
type connKey struct{}

// WithConn is for http.Server.ConnContext. FromContext returns the connection.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if own, found := conn.(*Conn); found {
		return context.WithValue(ctx, connKey{}, own)
	}
	return ctx
}

// FromContext returns the connection of a request, nil if it is not a Conn.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// Handler wraps the handler of a server that uses such connections: it clears what BeginRequest
// set for the previous request.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		FromContext(request.Context()).BeginRequest("", time.Time{})
		next.ServeHTTP(writer, request)
	})
}
