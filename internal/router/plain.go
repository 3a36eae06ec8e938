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

// Headers of the plain protocol, in addition to those of package upstream.
const (
	// HeaderTimeLeft is the remaining time of the client in milliseconds.
	HeaderTimeLeft = "X-Time-Left-Ms"
	// HeaderServer names the incarnation that a request is addressed to and, in a health
	// response, the one that sent it.
	HeaderServer = "X-Server"
	// HeaderLastEvent is the ID of the last event that the client has received.
	HeaderLastEvent = "Last-Event-ID"
	// HeaderResumes is the ID of the request that brought the first event of a resumed stream.
	HeaderResumes = "X-Resumes"
	// HeaderPromptParts lists the IDs of the parts of the prompt in order, separated by commas. Equal parts of
	// two prompts have the same ID; the last part belongs to the request alone.
	HeaderPromptParts = "X-Prompt-Parts"
	// HeaderTenant names the tenant of the client to the server.
	HeaderTenant = "X-Tenant"
	// headerKey carries the client's API key, after keyScheme.
	headerKey = "Authorization"
	keyScheme = "Bearer "
)

// PlainProtocol is the default protocol, described in docs/API.md.
type PlainProtocol struct{}

var _ Protocol = PlainProtocol{}

// ParseRequest implements Protocol.
func (PlainProtocol) ParseRequest(header http.Header) (RequestInfo, error) {
	info := RequestInfo{ID: header.Get(upstream.HeaderRequestID), ResumeAfter: header.Get(HeaderLastEvent), Resumes: header.Get(HeaderResumes)}
	info.APIKey, _ = strings.CutPrefix(header.Get(headerKey), keyScheme)
	if text := header.Get(HeaderTimeLeft); text != "" {
		milliseconds, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return info, fault.Newf(fault.InvalidArgument, "send a number of milliseconds", "the header %s is %q", HeaderTimeLeft, text).WithRan(fault.NotRun)
		}
		info.Timeout = time.Duration(milliseconds) * time.Millisecond
	}
	if parts := header.Get(HeaderPromptParts); parts != "" {
		info.PartIDs = strings.Split(parts, ",")
	}
	return info, nil
}

// Prepare implements Protocol.
func (PlainProtocol) Prepare(header http.Header, attempt AttemptInfo) {
	header.Set(HeaderServer, attempt.ServerID)
	header.Del(headerKey)
	header.Del(HeaderTenant)
	if attempt.Tenant != "" {
		header.Set(HeaderTenant, attempt.Tenant)
	}
	if attempt.RequestID != "" {
		header.Set(upstream.HeaderRequestID, attempt.RequestID)
	}
	if attempt.Remaining > 0 {
		header.Set(HeaderTimeLeft, strconv.FormatInt(max(1, attempt.Remaining.Milliseconds()), 10))
	}
	if attempt.ResumeAfter != "" {
		header.Set(HeaderLastEvent, attempt.ResumeAfter)
	}
}

// Belongs implements Protocol. A response without a request ID is accepted.
func (PlainProtocol) Belongs(request, answer http.Header) bool {
	id := answer.Get(upstream.HeaderRequestID)
	return id == "" || id == request.Get(upstream.HeaderRequestID)
}

// IdentityHeaders implements Protocol.
func (PlainProtocol) IdentityHeaders() (expected, found, cold string) {
	return HeaderServer, HeaderServer, ""
}

// ParseResponse implements Protocol.
func (PlainProtocol) ParseResponse(status int, answer http.Header) ResponseInfo {
	return ResponseInfo{NotRun: answer.Get(upstream.HeaderNotRun) == "true", Misdirected: status == http.StatusMisdirectedRequest}
}

// ParseJob implements Protocol: the body is a StoredJob in protobuf JSON.
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
	// Fields that only the store may set are cleared.
	job.Results, job.Ended, job.SubmittedUnixMs = nil, false, 0
	return job, nil
}
