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
	"time"

	"rockwind.example/rockwind/internal/fault"
)

// Bounds of the connection pools.
const (
	// idleConnections is how many idle connections are kept for an address.
	idleConnections = 256
	// maximumIdle is how long a connection may be idle before it is closed.
	maximumIdle = 30 * time.Second
	// maximumIdleOnce is how long a connection may have been idle to carry a
	// request that may not be repeated: a back end that closes an idle
	// connection just as the request is written would leave its outcome unknown.
	maximumIdleOnce = time.Second
	// maximumSurplus bounds the answers that are passed over before the one that
	// belongs to the request.
	maximumSurplus = 4
	// discardSilence bounds the silence inside a body that is discarded.
	discardSilence = time.Second
	// keepAliveMargin is how much earlier than a back end says it will close an idle
	// connection the connection is no longer used.
	keepAliveMargin = 500 * time.Millisecond
	// defaultConnectTimeout bounds a connection attempt when none is given.
	defaultConnectTimeout = time.Second
)

// errSurplusOnly means that only answers to other requests came.
var errSurplusOnly = errors.New("the back end answered other requests only")

// Target is the back end of one attempt.
type Target struct {
	// Name of the back end in the configuration.
	Name string
	// Address is "ip:port".
	Address string
	// Body replaces the request's body at this back end, where it is not nil.
	Body []byte
	// HedgeAfter is the time without the head of an answer after which a request
	// that may be repeated is sent to a second back end too; zero means never.
	HedgeAfter time.Duration
}

// Client sends single attempts over pooled connections. It is safe for
// concurrent use.
type Client struct {
	dial    DialFunc
	buffers sync.Pool
	mutex   sync.RWMutex
	pools   map[string]*pool
}

// DialFunc opens a connection to an address within the context.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// NewClient returns a client without connections.
func NewClient() *Client {
	var dialer net.Dialer
	return NewClientWithDial(func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
}

// NewClientWithDial is NewClient with another way to open connections.
func NewClientWithDial(dial DialFunc) *Client {
	return &Client{
		dial:    dial,
		buffers: sync.Pool{New: func() any { return new(bytes.Buffer) }},
		pools:   make(map[string]*pool),
	}
}

// Response is the head of an answer, with its body still to be read.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the answer's headers.
	Header http.Header
	// Length of the body in bytes, -1 when it is not known beforehand.
	Length int64

	body       io.ReadCloser
	connection *connection
	client     *Client
	address    string
	keep       bool
	stop       func() bool
	ctx        context.Context
}

// Phase tells how far a failed attempt came.
type Phase int

// The phases in which an attempt can fail.
const (
	// PhaseConnect: no byte was written.
	PhaseConnect Phase = iota
	// PhaseSent: bytes were written, and no answer was seen.
	PhaseSent
	// PhaseResponse: the answer had begun.
	PhaseResponse
)

// AttemptError is the failure of one attempt.
type AttemptError struct {
	// Phase tells how far the attempt came.
	Phase Phase
	// Timeout tells that the back end was silent for too long.
	Timeout bool
	// Cause is the error of the connection.
	Cause error
}

// Error implements error.
func (e *AttemptError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Ran says whether the attempt may have run.
func (e *AttemptError) Ran() fault.Ran {
	if e.Phase == PhaseConnect {
		return fault.NotRun
	}
	return fault.RanUnknown
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

// Do sends one attempt and returns once the answer's head has arrived. The
// caller must end the response with Finish or Abandon. Errors are of type
// *AttemptError.
func (c *Client) Do(ctx context.Context, address string, request *Request, attempt int) (*Response, error) {
	conn, err := c.connect(ctx, address, request)
	if err != nil {
		return nil, attemptError(PhaseConnect, err)
	}
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
	conn.arm(ctx, request.Timeouts.FirstByte)
	head, err := readOwnHead(conn, request)
	if err != nil {
		stop()
		conn.close()
		return nil, attemptError(PhaseSent, err)
	}
	return &Response{
		Status: head.StatusCode, Header: head.Header, Length: head.ContentLength, body: head.Body,
		connection: conn, client: c, address: address, keep: !head.Close, stop: stop, ctx: ctx,
	}, nil
}

// readOwnHead reads the head of the answer that belongs to the request.
func readOwnHead(conn *connection, request *Request) (*http.Response, error) {
	for range maximumSurplus {
		head, err := readHead(conn, request.Method)
		if err != nil || request.MatchesResponse == nil || request.MatchesResponse(head.Header) {
			return head, err
		}
		if _, err := io.Copy(io.Discard, head.Body); err != nil {
			return nil, err
		}
		if head.Close {
			return nil, errSurplusOnly
		}
	}
	return nil, errSurplusOnly
}

// readHead reads an answer's head, skipping informational ones.
func readHead(conn *connection, method string) (*http.Response, error) {
	asked := &http.Request{Method: method}
	for {
		head, err := http.ReadResponse(conn.reader, asked)
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= 200 {
			return head, nil
		}
	}
}

func (c *Client) connect(ctx context.Context, address string, request *Request) (*connection, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	idle := maximumIdle
	if !request.Repeatable {
		idle = maximumIdleOnce
	}
	if conn := c.pool(address).take(time.Now(), idle); conn != nil {
		return conn, nil
	}
	limit := request.Timeouts.Connect
	if limit <= 0 {
		limit = defaultConnectTimeout
	}
	dialing, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	network, err := c.dial(dialing, address)
	if err != nil {
		return nil, err
	}
	return newConnection(network), nil
}

func (c *Client) send(conn *connection, address string, request *Request, attempt int) error {
	conn.written = 0
	buffer := c.buffers.Get().(*bytes.Buffer)
	defer c.buffers.Put(buffer)
	buffer.Reset()
	request.appendHead(buffer, address, attempt)
	if len(request.Body) <= maximumSharedWrite {
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

// Expire closes connections that have been idle for too long. The owner calls
// it every few seconds.
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

// NotRun tells whether the answer is a refusal before anything ran.
func (r *Response) NotRun() bool {
	if r.Status != http.StatusTooManyRequests && r.Status != http.StatusServiceUnavailable {
		return false
	}
	return r.Header.Get(HeaderNotRun) == "true"
}

// Read reads the body; silence longer than the limit is an error.
func (r *Response) Read(p []byte, silence time.Duration) (int, error) {
	if r.connection.reader.Buffered() == 0 {
		r.connection.arm(r.ctx, silence)
	}
	return r.body.Read(p)
}

// Body returns the body as a reader whose silence is bounded.
func (r *Response) Body(silence time.Duration) io.Reader {
	return boundedBody{response: r, silence: silence}
}

// boundedBody reads a body with a limit of silence.
type boundedBody struct {
	response *Response
	silence  time.Duration
}

// Read implements io.Reader.
func (b boundedBody) Read(p []byte) (int, error) {
	return b.response.Read(p, b.silence)
}

// Finish ends an exchange whose body was read to its end and keeps the
// connection when it can carry another.
func (r *Response) Finish() {
	if !r.stop() || !r.keep {
		r.connection.close()
		return
	}
	r.connection.disarm(context.Background())
	r.connection.idleLimit = keepAliveTimeout(r.Header)
	r.client.pool(r.address).put(r.connection, time.Now(), idleConnections)
}

// keepAliveTimeout returns how long the back end keeps an idle connection, less a
// margin; zero where it does not say.
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

// Discard ends an exchange whose body nobody wants: it reads the rest, so that the
// connection can be kept, unless the back end falls silent.
func (r *Response) Discard() {
	if _, err := io.Copy(io.Discard, r.Body(discardSilence)); err != nil {
		r.Abandon()
		return
	}
	r.Finish()
}

// Abandon ends an exchange whose body was not read to its end.
func (r *Response) Abandon() {
	r.stop()
	r.connection.close()
}
