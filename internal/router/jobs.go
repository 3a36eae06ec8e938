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

// PathJobs is the path prefix of the batch job API.
const PathJobs = "/site/jobs/"

// MaximumResultBytes bounds the results in one response.
const MaximumResultBytes = 700 << 10

// PlainHandler serves the plain protocol: the batch job API and the routes.
func PlainHandler(r *Router) http.Handler {
	api := jobAPI{router: r}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathJobs+"{job}", r.WithTenant(api.read))
	mux.HandleFunc("DELETE "+PathJobs+"{job}", r.WithTenant(api.end))
	mux.HandleFunc("GET "+PathJobs+"{job}/items/{item}", r.WithTenant(api.body))
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, PathJobs) {
			mux.ServeHTTP(writer, request)
			return
		}
		r.ServeHTTP(writer, request)
	})
}

// jobAPI serves the batch job API. Its messages are those of the job store, encoded as protobuf
// JSON.
type jobAPI struct{ router *Router }

// read returns the results from a position on. With wait_ms it waits for the first of them.
func (a jobAPI) read(writer http.ResponseWriter, request *http.Request, tenant string) {
	query := request.URL.Query()
	from, err := parseUint32(query.Get("from"))
	if err != nil {
		writeError(writer, err)
		return
	}
	wait, err := parseUint32(query.Get("wait_ms"))
	if err != nil {
		writeError(writer, err)
		return
	}
	response, err := a.router.jobs.Read(request.Context(), &rockwindpb.ReadStoredJobRequest{
		Id: request.PathValue("job"), From: from, WaitMs: wait, MaximumBytes: MaximumResultBytes, Tenant: tenant,
	})
	if err != nil {
		WriteJobError(writer, err)
		return
	}
	writeMessage(writer, response)
}

// parseUint32 parses a query parameter; an empty one is 0.
func parseUint32(text string) (uint32, error) {
	value, err := strconv.ParseUint(cmp.Or(text, "0"), 10, 32)
	if err != nil {
		return 0, fault.Newf(fault.InvalidArgument, "send a whole number", "the parameter %q is not a number", text).WithRan(fault.NotRun)
	}
	return uint32(value), nil
}

func (a jobAPI) end(writer http.ResponseWriter, request *http.Request, tenant string) {
	if err := a.router.EndJob(request.Context(), request.PathValue("job"), tenant); err != nil {
		WriteJobError(writer, err)
	}
}

func (a jobAPI) body(writer http.ResponseWriter, request *http.Request, tenant string) {
	body, err := a.router.jobs.ReadBody(request.Context(), &rockwindpb.ReadItemBodyRequest{
		Job: request.PathValue("job"), Item: request.PathValue("item"), Tenant: tenant,
	})
	if err != nil {
		WriteJobError(writer, err)
		return
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	_, _ = writer.Write(body)
}

// WriteJobError writes the error of a failed call about a job. An unknown outcome is reported as
// unavailable.
func WriteJobError(writer http.ResponseWriter, err error) {
	failure := fault.From(err)
	if failure.Kind == fault.OutcomeUnknown {
		failure.Kind = fault.Unavailable
	}
	writeError(writer, failure)
}

func writeMessage(writer http.ResponseWriter, message proto.Message) {
	encoded, err := protojson.Marshal(message)
	if err != nil {
		writeError(writer, err)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	_, _ = writer.Write(encoded)
}
