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
	// defaultBodyBytes bounds a request's body where the configuration does not.
	defaultBodyBytes = 4 << 20
	// bodyTime is how long a body may take to come where its route sets no time, as those of
	// batch jobs: one of defaultBodyBytes takes it on 1.1 Mbit/s.
	bodyTime = 30 * time.Second
	// relayMemoryPart is the part of the process's memory that is kept for others at most:
	// with 144 MB that is 36 MB beside some 30 MB of the program's own and 20 KB for each of
	// three thousand connections.
	relayMemoryPart = 0.25
	// defaultMemory is the process's memory where the settings give none.
	defaultMemory = 256 << 20
	megabyte      = 1 << 20
	// memoryReturn is when a request comes back that was refused since bodies fill the
	// memory: the time in which a machine with the narrowest link of 22 Mbit/s passes on 1 MB
	// of them.
	memoryReturn = 400 * time.Millisecond
)

// relayMemory is how many bytes the settings let a router keep for others.
func relayMemory(settings *rockwindpb.SiteSettings) int64 {
	memory := int64(settings.GetMemoryMb()) * megabyte
	if memory == 0 {
		memory = defaultMemory
	}
	return int64(relayMemoryPart * float64(memory))
}

// recordEnded writes that the answer of a client was ended.
func recordEnded(ended clientconn.Ended) {
	fields := log.Fields{
		"reason": string(ended.Reason), "unread_bytes": ended.Kept, "taken_bytes": ended.Taken,
		"behind_ms": ended.Behind.Milliseconds(),
	}
	if ended.Cause != nil {
		fields["error"] = ended.Cause.Error()
	}
	decision.Default.Record(decision.AnswerEnded, ended.Exchange, fields)
}

// readBody reads the body of a request into its memory until the given time.
func readBody(writer http.ResponseWriter, request *http.Request, limits *rockwindpb.ClientLimits, memory *clientconn.Body, ends time.Time) ([]byte, error) {
	most := int64(defaultBodyBytes)
	if limits.GetMaxBodyBytes() > 0 {
		most = int64(limits.GetMaxBodyBytes())
	}
	controller := http.NewResponseController(writer)
	if request.ContentLength != 0 {
		// A writer without deadlines, as in tests, has no client that stalls.
		_ = controller.SetReadDeadline(ends)
	}
	body, err := memory.Read(http.MaxBytesReader(writer, request.Body, most), min(request.ContentLength, most))
	if err == nil {
		if request.ContentLength != 0 {
			_ = controller.SetReadDeadline(time.Time{})
		}
		return body, nil
	}
	// The deadline stays for what the server still reads of the body before it answers.
	if errors.Is(err, clientconn.ErrFull) {
		return nil, memoryFull()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &statusError{status: http.StatusRequestTimeout,
			fault: fault.New(fault.Unavailable, "the body did not come in time", "send the whole body at once").WithRan(fault.NotRun)}
	}
	if _, tooLarge := err.(*http.MaxBytesError); tooLarge {
		return nil, &statusError{status: http.StatusRequestEntityTooLarge,
			fault: fault.Newf(fault.InvalidArgument, "send a smaller body", "the body is larger than %d bytes", most).WithRan(fault.NotRun)}
	}
	return nil, fault.New(fault.InvalidArgument, "the body could not be read", "send the whole body").WithRan(fault.NotRun)
}

// memoryFull is the refusal of a request whose body there is no memory for.
func memoryFull() error {
	return fault.New(fault.Overloaded, "come back after the time given", "the bodies of requests fill the memory of this router").
		WithRan(fault.NotRun).WithRetryAfter(memoryReturn)
}

// refuseBody answers a request whose body was not read.
func (r *Router) refuseBody(writer http.ResponseWriter, facts RequestInfo, route *rockwindpb.Route, err error) {
	var full *fault.Fault
	if !errors.As(err, &full) || full.Kind != fault.Overloaded {
		refuseFault(writer, err)
		return
	}
	full = full.WithRetryAfter(boundReturn(full.RetryAfter, facts.Timeout))
	usage := r.buffers.Usage()
	decision.Default.Record(decision.BodyRefused, facts.ID, log.Fields{
		"route": route.GetName(), "bodies_bytes": usage.Bodies, "unread_bytes": usage.Unread, "limit_bytes": usage.Limit,
	})
	refuse(writer, http.StatusServiceUnavailable, full)
}

// readAnswer reads the beginning of an answer, up to bufferedAnswer, and tells whether that is
// all of it. Where memory is short less is read: the answer goes on as it comes.
func (e *exchange) readAnswer(response *upstream.Response) (body []byte, whole bool, err error) {
	memory := e.router.buffers.NewBody()
	defer memory.GiveBack()
	body, err = memory.Read(io.LimitReader(response.Body(0), bufferedAnswer+1), min(response.Length, bufferedAnswer+1))
	if errors.Is(err, clientconn.ErrFull) {
		return body, false, nil
	}
	return body, len(body) <= bufferedAnswer, err
}
