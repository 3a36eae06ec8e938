package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rockwind.example/rockwind/internal/fault"
)

// Limits of the connection pools and of single attempts.
const (
	// idleConnections bounds the idle connections to an address.
	idleConnections = 256
	// maximumIdle is how long a connection may be idle before it is closed.
	maximumIdle = 30 * time.Second
	// maximumIdleUnrepeatable bounds the idle time of a connection that carries an
	// unrepeatable request: if a backend closes an idle connection while the request
	// is being written, its outcome is unknown.
	maximumIdleUnrepeatable = time.Second
	// maximumRequestsPerConnection bounds the requests that a connection carries, and so the
	// identifiers that it remembers.
	maximumRequestsPerConnection = 512
	// maximumStrayResponses bounds the responses read in search of the one that
	// belongs to the request.
	maximumStrayResponses = 4
	// maximumHead bounds the bytes that are read up to the end of the headers of a response, with
	// informational and stray ones before it.
	maximumHead = 32 << 10
	// maximumInformational bounds the informational responses before a response.
	maximumInformational = 16
	// maximumStrayBody bounds the body of a stray response.
	maximumStrayBody = 1 << 20
	// discardTimeout bounds the time in which the rest of a body that is not needed is read.
	discardTimeout = 250 * time.Millisecond
	// keepAliveMargin is subtracted from the idle timeout that a backend announces.
	keepAliveMargin = 500 * time.Millisecond
	// defaultConnectTimeout bounds a connection attempt if the request sets no bound.
	defaultConnectTimeout = time.Second
)

// errStrayResponses means that only responses to other requests arrived.
var errStrayResponses = errors.New("backend sent only responses to other requests")

// errHeadTooLong and errStrayTooLong mean that a backend sends bytes that form no response.
var (
	errHeadTooLong  = errors.New("the headers of the response are too long")
	errStrayTooLong = errors.New("a response to another request is too long")
)

// Target is the backend of one attempt.
type Target struct {
	// Name of the backend in the configuration.
	Name string
	// Address is "ip:port".
	Address string
	// Body replaces the request's body at this backend unless it is nil.
	Body []byte
	// HedgeAfter is how long to wait for the response headers before a repeatable
	// request is also sent to a second backend; zero disables hedging.
	HedgeAfter time.Duration
}

// Client sends single attempts over pooled connections. It is safe for
// concurrent use.
type Client struct {
	dial    DialFunc
	buffers sync.Pool
	mutex   sync.RWMutex
	pools   map[string]*pool
	// observeConnect is set by ObserveConnects.
	observeConnect atomic.Pointer[ConnectObserver]
}

// ConnectObserver receives the address of each new connection and the time that connecting took. Calls may be
// concurrent.
type ConnectObserver func(address string, took time.Duration)

// ObserveConnects sets the observer of new connections.
func (c *Client) ObserveConnects(observer ConnectObserver) { c.observeConnect.Store(&observer) }

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// NewClient returns a client without connections.
func NewClient() *Client {
	var dialer net.Dialer
	return NewClientWithDial(func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
}

// NewClientWithDial returns a client without connections that connects with the
// given function.
func NewClientWithDial(dial DialFunc) *Client {
	return &Client{
		dial:    dial,
		buffers: sync.Pool{New: func() any { return new(bytes.Buffer) }},
		pools:   make(map[string]*pool),
	}
}

// Response is a response whose headers have been read and whose body has not.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the response headers.
	Header http.Header
	// Length of the body in bytes, -1 if unknown.
	Length int64
	// Framing is how the response marks the end of its body.
	Framing Framing

	body       io.ReadCloser
	connection *connection
	client     *Client
	address    string
	keep       bool
	stop       func() bool
	ctx        context.Context
}

// Phase is how far a failed attempt got.
type Phase int

// The phases in which an attempt can fail.
const (
	// PhaseConnect: no byte of the request was written.
	PhaseConnect Phase = iota
	// PhaseSent: bytes were written and no response arrived.
	PhaseSent
	// PhaseResponse: the response had started.
	PhaseResponse
)

// AttemptError is the failure of one attempt.
type AttemptError struct {
	Phase Phase
	// Timeout is set if the backend sent nothing for too long.
	Timeout bool
	// Cause is the error of the connection.
	Cause error
}

// Error implements error.
func (e *AttemptError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Ran reports whether the attempt may have run.
func (e *AttemptError) Ran() fault.Ran {
	if e.Phase == PhaseConnect {
		return fault.NotRun
	}
	return fault.RanUnknown
}

// IsTimeout reports whether an attempt or the read of a response failed since the backend sent nothing for too long.
func IsTimeout(err error) bool {
	var failure *AttemptError
	return errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &failure) && failure.Timeout)
}

func attemptError(phase Phase, cause error) *AttemptError {
	return &AttemptError{Phase: phase, Timeout: errors.Is(cause, os.ErrDeadlineExceeded), Cause: cause}
}

func asAttemptError(err error) *AttemptError {
	var failure *AttemptError
	if errors.As(err, &failure) {
		return failure
	}
	return attemptError(PhaseSent, err)
}

// Do sends one attempt and returns once the response headers have arrived. The
// caller must end the response with Finish, Discard or Abandon. Errors are of type
// *AttemptError.
func (c *Client) Do(ctx context.Context, address string, request *Request, attempt int) (*Response, error) {
	identifier := identifierHash(request.attemptID(attempt))
	conn, err := c.connect(ctx, address, request, identifier)
	if err != nil {
		return nil, attemptError(PhaseConnect, err)
	}
	conn.addCarried(identifier)
	stop := context.AfterFunc(ctx, conn.interrupt)
	if err := c.send(conn, address, request, attempt); err != nil {
		written := conn.written
		stop()
		conn.close()
		if written == 0 {
			return nil, attemptError(PhaseConnect, err)
		}
		return nil, attemptError(PhaseSent, err)
	}
	conn.setReadTimeout(ctx, request.Timeouts.FirstByte)
	head, err := readMatchingHead(conn, request, attempt)
	if err != nil {
		stop()
		conn.close()
		return nil, attemptError(PhaseSent, err)
	}
	return &Response{
		Status: head.StatusCode, Header: head.Header, Length: head.ContentLength, Framing: framingOf(head), body: head.Body,
		connection: conn, client: c, address: address, keep: !head.Close, stop: stop, ctx: ctx,
	}, nil
}

// readMatchingHead reads the headers of the response that belongs to the request.
func readMatchingHead(conn *connection, request *Request, attempt int) (*http.Response, error) {
	conn.limited.limit = maximumHead
	defer conn.limited.clear()
	for range maximumStrayResponses {
		head, err := readHead(conn, request.Method)
		if err != nil || request.matches(head.Header, attempt) {
			return head, err
		}
		remaining := conn.limited.limit
		conn.limited.clear()
		switch _, err := io.CopyN(io.Discard, head.Body, maximumStrayBody+1); {
		case err == nil:
			return nil, errStrayTooLong
		case !errors.Is(err, io.EOF):
			return nil, err
		}
		conn.limited.limit = remaining
		if head.Close {
			return nil, errStrayResponses
		}
	}
	return nil, errStrayResponses
}

// readHead reads the headers of a response, skipping informational responses.
func readHead(conn *connection, method string) (*http.Response, error) {
	sentRequest := &http.Request{Method: method}
	for range maximumInformational {
		head, err := http.ReadResponse(conn.reader, sentRequest)
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= 200 {
			return head, nil
		}
	}
	return nil, errHeadTooLong
}

func (c *Client) connect(ctx context.Context, address string, request *Request, identifier uint32) (*connection, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	idle := maximumIdle
	if !request.Repeatable {
		idle = maximumIdleUnrepeatable
	}
	if conn := c.pool(address).take(time.Now(), idle, identifier); conn != nil {
		return conn, nil
	}
	limit := request.Timeouts.Connect
	if limit <= 0 {
		limit = defaultConnectTimeout
	}
	dialing, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	network, err := c.dial(dialing, address)
	if err != nil {
		return nil, err
	}
	if observer := c.observeConnect.Load(); observer != nil {
		(*observer)(address, time.Since(began))
	}
	return newConnection(network), nil
}

func (c *Client) send(conn *connection, address string, request *Request, attempt int) error {
	conn.written = 0
	buffer := c.buffers.Get().(*bytes.Buffer)
	defer c.buffers.Put(buffer)
	buffer.Reset()
	request.appendHead(buffer, address, attempt)
	if len(request.Body) <= maximumCombinedWrite {
		buffer.Write(request.Body)
		return conn.write(buffer.Bytes())
	}
	if err := conn.write(buffer.Bytes()); err != nil {
		return err
	}
	return conn.write(request.Body)
}

func (c *Client) pool(address string) *pool {
	c.mutex.RLock()
	found := c.pools[address]
	c.mutex.RUnlock()
	if found != nil {
		return found
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pools[address] == nil {
		c.pools[address] = &pool{}
	}
	return c.pools[address]
}

// Expire closes connections that have been idle for too long. It must be called
// every few seconds.
func (c *Client) Expire(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, idle := range c.pools {
		if idle.expire(now, maximumIdle) == 0 {
			delete(c.pools, address)
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.Expire(time.Now().Add(2 * maximumIdle))
}

// NotRun reports whether the backend refused the request before running it.
func (r *Response) NotRun() bool {
	if r.Status != http.StatusTooManyRequests && r.Status != http.StatusServiceUnavailable {
		return false
	}
	return r.Header.Get(HeaderNotRun) == "true"
}

// Read reads the body. It fails if no data arrives for the given time.
func (r *Response) Read(p []byte, silenceTimeout time.Duration) (int, error) {
	if r.connection.reader.Buffered() == 0 {
		r.connection.setReadTimeout(r.ctx, silenceTimeout)
	}
	return r.body.Read(p)
}

// Body returns the body as a reader with a silence timeout.
func (r *Response) Body(silenceTimeout time.Duration) io.Reader {
	return timedBody{response: r, silenceTimeout: silenceTimeout}
}

// timedBody reads a body with a silence timeout.
type timedBody struct {
	response       *Response
	silenceTimeout time.Duration
}

// Read implements io.Reader.
func (b timedBody) Read(p []byte) (int, error) {
	return b.response.Read(p, b.silenceTimeout)
}

// Finish ends a response whose body was read to its end and keeps the connection
// for reuse if possible.
func (r *Response) Finish() {
	if !r.stop() || !r.keep || len(r.connection.carried) >= maximumRequestsPerConnection {
		r.connection.close()
		return
	}
	r.connection.clearReadTimeout(context.Background())
	r.connection.idleLimit = keepAliveTimeout(r.Header)
	r.client.pool(r.address).put(r.connection, time.Now(), idleConnections)
}

// keepAliveTimeout returns how long the backend keeps an idle connection, minus a
// margin, or zero if it does not say.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		seconds, err := strconv.Atoi(value)
		if found && err == nil && seconds >= 0 {
			return max(time.Duration(seconds)*time.Second-keepAliveMargin, time.Nanosecond)
		}
	}
	return 0
}

// Discard ends a response whose body is not needed. It reads a short rest, so that the
// connection can be reused. Callers wait for it before they send the request elsewhere.
func (r *Response) Discard() { r.discard(discardTimeout) }

// discard is Discard with a time limit. The connection is closed if the rest is longer or takes longer.
func (r *Response) discard(limit time.Duration) {
	r.connection.setReadDeadline(r.ctx, time.Now().Add(limit))
	if _, err := io.CopyN(io.Discard, r.body, maximumDrain+1); !errors.Is(err, io.EOF) {
		r.Abandon()
		return
	}
	r.Finish()
}

// Abandon ends a response whose body was not read to its end, and closes its
// connection.
func (r *Response) Abandon() {
	r.stop()
	r.connection.close()
}
