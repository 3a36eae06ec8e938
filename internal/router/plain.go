package router

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// Headers of the product's own protocol, beside those of package upstream.
const (
	// HeaderTimeLeft is how long the client waits, in milliseconds.
	HeaderTimeLeft = "X-Time-Left-Ms"
	// HeaderServer names the incarnation that is meant, and in an answer on the health path
	// the one that gave it.
	HeaderServer = "X-Server"
	// HeaderLastEvent is the last event that was received.
	HeaderLastEvent = "Last-Event-ID"
	// HeaderTenant tells a server the tenant of the client.
	HeaderTenant = "X-Tenant"
	// headerKey carries the client's API key, after keyScheme.
	headerKey = "Authorization"
	keyScheme = "Bearer "
)

// PlainProtocol is the product's own protocol of routes: see docs/API.md.
type PlainProtocol struct{}

var _ Protocol = PlainProtocol{}

// ParseRequest implements Protocol.
func (PlainProtocol) ParseRequest(header http.Header) (RequestInfo, error) {
	facts := RequestInfo{ID: header.Get(upstream.HeaderRequestID), ResumeAfter: header.Get(HeaderLastEvent)}
	facts.APIKey, _ = strings.CutPrefix(header.Get(headerKey), keyScheme)
	if text := header.Get(HeaderTimeLeft); text != "" {
		milliseconds, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return facts, fault.Newf(fault.InvalidArgument, "send a number of milliseconds", "the header %s is %q", HeaderTimeLeft, text).WithRan(fault.NotRun)
		}
		facts.Timeout = time.Duration(milliseconds) * time.Millisecond
	}
	return facts, nil
}

// Prepare implements Protocol.
func (PlainProtocol) Prepare(header http.Header, try AttemptInfo) {
	header.Set(HeaderServer, try.ServerID)
	header.Del(headerKey)
	header.Del(HeaderTenant)
	if try.Tenant != "" {
		header.Set(HeaderTenant, try.Tenant)
	}
	if try.RequestID != "" {
		header.Set(upstream.HeaderRequestID, try.RequestID)
	}
	if try.Remaining > 0 {
		header.Set(HeaderTimeLeft, strconv.FormatInt(max(1, try.Remaining.Milliseconds()), 10))
	}
	if try.ResumeAfter != "" {
		header.Set(HeaderLastEvent, try.ResumeAfter)
	}
}

// Belongs implements Protocol. Servers that do not name the request are believed.
func (PlainProtocol) Belongs(request, answer http.Header) bool {
	named := answer.Get(upstream.HeaderRequestID)
	return named == "" || named == request.Get(upstream.HeaderRequestID)
}

// IdentityHeaders implements Protocol.
func (PlainProtocol) IdentityHeaders() (expected, found string) { return HeaderServer, HeaderServer }

// ParseResponse implements Protocol.
func (PlainProtocol) ParseResponse(status int, answer http.Header) ResponseInfo {
	return ResponseInfo{NotRun: answer.Get(upstream.HeaderNotRun) == "true", Misdirected: status == http.StatusMisdirectedRequest}
}

// ParseJob implements Protocol: the submission is a StoredJob in protobuf's JSON.
func (PlainProtocol) ParseJob(header http.Header, body []byte) (*rockwindpb.StoredJob, error) {
	job := &rockwindpb.StoredJob{}
	if err := protojson.Unmarshal(body, job); err != nil {
		return nil, fault.Newf(fault.InvalidArgument, "send the job as JSON", "the job cannot be read: %v", err).WithRan(fault.NotRun)
	}
	if job.GetId() == "" {
		job.Id = header.Get(upstream.HeaderRequestID)
	}
	if job.GetId() == "" {
		return nil, fault.New(fault.InvalidArgument, "the job has no identifier", "give it one").WithRan(fault.NotRun)
	}
	// Only what a client decides is taken over.
	job.Results, job.Ended, job.SubmittedUnixMs = nil, false, 0
	return job, nil
}
