package router

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"

	"rockwind.example/rockwind/internal/clientconn"
	"rockwind.example/rockwind/internal/decision"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// defaultBodyBytes bounds a request body if the configuration does not.
	defaultBodyBytes = 4 << 20
	// defaultBodyTimeout is how long a body may take to arrive if its route has no timeout, like
	// those of batch jobs. A body of defaultBodyBytes arrives in time at 1.1 Mbit/s.
	defaultBodyTimeout = 30 * time.Second
	// relayMemoryFraction is the fraction of the process memory that buffers for clients may use.
	// Of 144 MB that is 36 MB, next to some 30 MB for the program and 20 KB for each of three
	// thousand connections.
	relayMemoryFraction = 0.25
	// defaultMemory is the process memory if the settings give none.
	defaultMemory = 256 << 20
	megabyte      = 1 << 20
	// memoryRetryAfter is the Retry-After of a request refused because request bodies fill the
	// memory: the time in which a link of 22 Mbit/s forwards 1 MB of them.
	memoryRetryAfter = 400 * time.Millisecond
)

// relayMemoryBytes returns how many bytes a router may buffer for clients.
func relayMemoryBytes(settings *rockwindpb.SiteSettings) int64 {
	memory := int64(settings.GetMemoryMb()) * megabyte
	if memory == 0 {
		memory = defaultMemory
	}
	return int64(relayMemoryFraction * float64(memory))
}

// recordResponseEnded records that the response to a client was cut off.
func recordResponseEnded(ended clientconn.EndedResponse) {
	fields := log.Fields{
		"reason": string(ended.Reason), "unread_bytes": ended.Unread, "taken_bytes": ended.Taken,
		"behind_ms": ended.Behind.Milliseconds(),
	}
	if ended.Cause != nil {
		fields["error"] = ended.Cause.Error()
	}
	decision.Default.Record(decision.AnswerEnded, ended.RequestID, fields)
}

// readBody reads the body of a request into its buffer until the deadline.
func readBody(writer http.ResponseWriter, request *http.Request, limits *rockwindpb.ClientLimits, memory *clientconn.Body, deadline time.Time) ([]byte, error) {
	limit := int64(defaultBodyBytes)
	if limits.GetMaxBodyBytes() > 0 {
		limit = int64(limits.GetMaxBodyBytes())
	}
	controller := http.NewResponseController(writer)
	if request.ContentLength != 0 {
		// Writers of tests may not support deadlines.
		_ = controller.SetReadDeadline(deadline)
	}
	body, err := memory.Read(http.MaxBytesReader(writer, request.Body, limit), min(request.ContentLength, limit))
	if err == nil {
		if request.ContentLength != 0 {
			_ = controller.SetReadDeadline(time.Time{})
		}
		return body, nil
	}
	// The deadline stays set, because the HTTP server reads the rest of the body before it
	// answers.
	if errors.Is(err, clientconn.ErrMemoryFull) {
		return nil, memoryFullFault()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &statusError{status: http.StatusRequestTimeout,
			fault: fault.New(fault.Unavailable, "the request body did not arrive in time", "send the whole body without pauses").WithRan(fault.NotRun)}
	}
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return nil, &statusError{status: http.StatusRequestEntityTooLarge,
			fault: fault.Newf(fault.InvalidArgument, "send a smaller body", "the body is larger than %d bytes", limit).WithRan(fault.NotRun)}
	}
	return nil, fault.New(fault.InvalidArgument, "the body could not be read", "send the whole body").WithRan(fault.NotRun)
}

// memoryFullFault returns the refusal of a request whose body does not fit into the buffer
// memory.
func memoryFullFault() error {
	return fault.New(fault.Overloaded, "retry after the given time", "request bodies fill the memory of this router").
		WithRan(fault.NotRun).WithRetryAfter(memoryRetryAfter)
}

// refuseBody writes the error for a request whose body could not be read.
func (r *Router) refuseBody(writer http.ResponseWriter, info RequestInfo, route *rockwindpb.Route, err error) {
	var full *fault.Fault
	if !errors.As(err, &full) || full.Kind != fault.Overloaded {
		writeError(writer, err)
		return
	}
	full = full.WithRetryAfter(boundRetryAfter(full.RetryAfter, info.Timeout))
	usage := r.buffers.Usage()
	decision.Default.Record(decision.BodyRefused, info.ID, log.Fields{
		"route": route.GetName(), "bodies_bytes": usage.Bodies, "unread_bytes": usage.Unread, "limit_bytes": usage.Limit,
	})
	writeErrorStatus(writer, http.StatusServiceUnavailable, full)
}

// readResponseStart reads up to maxBufferedResponse bytes of a response and reports whether that
// is all of it. It reads less if the buffer memory is full; the rest is then streamed.
func (e *exchange) readResponseStart(response *upstream.Response) (body []byte, whole bool, err error) {
	memory := e.router.buffers.NewBody()
	defer memory.Release()
	body, err = memory.Read(io.LimitReader(response.Body(0), maxBufferedResponse+1), min(response.Length, maxBufferedResponse+1))
	if errors.Is(err, clientconn.ErrMemoryFull) {
		return body, false, nil
	}
	return body, len(body) <= maxBufferedResponse, err
}
