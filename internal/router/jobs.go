package router

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// PathJobs is where the product's own interface answers calls about batch jobs.
const PathJobs = "/site/jobs/"

// MaximumResultBytes bounds the results of one answer.
const MaximumResultBytes = 700 << 10

// PlainHandler answers clients by the product's own interface: the calls about
// batch jobs, and the routes.
func PlainHandler(r *Router) http.Handler {
	calls := jobCalls{router: r}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathJobs+"{job}", r.WithTenant(calls.read))
	mux.HandleFunc("DELETE "+PathJobs+"{job}", r.WithTenant(calls.end))
	mux.HandleFunc("GET "+PathJobs+"{job}/items/{item}", r.WithTenant(calls.body))
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, PathJobs) {
			mux.ServeHTTP(writer, request)
			return
		}
		r.ServeHTTP(writer, request)
	})
}

// jobCalls are the calls about batch jobs. Messages are those of the job store, in
// protobuf's JSON.
type jobCalls struct{ router *Router }

// read answers the results from a position on. With wait_ms it waits for the first
// of them.
func (c jobCalls) read(writer http.ResponseWriter, request *http.Request, tenant string) {
	query := request.URL.Query()
	from, err := number(query.Get("from"))
	if err != nil {
		refuseFault(writer, err)
		return
	}
	wait, err := number(query.Get("wait_ms"))
	if err != nil {
		refuseFault(writer, err)
		return
	}
	response, err := c.router.jobs.Read(request.Context(), &rockwindpb.ReadStoredJobRequest{
		Id: request.PathValue("job"), From: from, WaitMs: wait, MaximumBytes: MaximumResultBytes, Tenant: tenant,
	})
	if err != nil {
		WriteJobError(writer, err)
		return
	}
	answerMessage(writer, response)
}

// number reads a parameter that may be absent.
func number(text string) (uint32, error) {
	value, err := strconv.ParseUint(cmp.Or(text, "0"), 10, 32)
	if err != nil {
		return 0, fault.Newf(fault.InvalidArgument, "send a whole number", "the parameter %q is no number", text).WithRan(fault.NotRun)
	}
	return uint32(value), nil
}

func (c jobCalls) end(writer http.ResponseWriter, request *http.Request, tenant string) {
	if err := c.router.EndJob(request.Context(), request.PathValue("job"), tenant); err != nil {
		WriteJobError(writer, err)
	}
}

func (c jobCalls) body(writer http.ResponseWriter, request *http.Request, tenant string) {
	body, err := c.router.jobs.ReadBody(request.Context(), &rockwindpb.ReadItemBodyRequest{
		Job: request.PathValue("job"), Item: request.PathValue("item"), Tenant: tenant,
	})
	if err != nil {
		WriteJobError(writer, err)
		return
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	_, _ = writer.Write(body)
}

// WriteJobError answers a call about a job that failed: what is not certain is
// unavailable.
func WriteJobError(writer http.ResponseWriter, err error) {
	failure := fault.From(err)
	if failure.Kind == fault.OutcomeUnknown {
		failure.Kind = fault.Unavailable
	}
	refuseFault(writer, failure)
}

func answerMessage(writer http.ResponseWriter, message proto.Message) {
	encoded, err := protojson.Marshal(message)
	if err != nil {
		refuseFault(writer, err)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	_, _ = writer.Write(encoded)
}
