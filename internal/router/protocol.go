package router

import (
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// RequestInfo is the protocol data of a client request.
type RequestInfo struct {
	// ID is the request ID.
	ID string
	// Timeout is how long the client waits; zero is unknown.
	Timeout time.Duration
	// Parts are the parts of the prompt in order.
	Parts []balance.Part
	// PartIDs identify the parts each by itself, in the same order.
	PartIDs []string
	// ResumeAfter is the last event that the client has, empty for a new stream.
	ResumeAfter string
	// Resumes is the ID of the request that brought the first event of the stream that the client
	// resumes; empty if it does not say.
	Resumes string
	// APIKey is the client's key, empty if it sent none.
	APIKey string
}

// streamID returns the ID of the request that began the stream: that of this request unless it resumes another one.
func (i RequestInfo) streamID() string {
	if i.ResumeAfter != "" && i.Resumes != "" {
		return i.Resumes
	}
	return i.ID
}

// AttemptInfo is the protocol data of one attempt at a server.
type AttemptInfo struct {
	// RequestID is the request ID; empty if the headers have it already.
	RequestID string
	// ServerID is the incarnation that the attempt is addressed to.
	ServerID string
	// Remaining is how long the client still waits; zero is no limit.
	Remaining time.Duration
	// ResumeAfter is the last relayed event, empty for a new stream.
	ResumeAfter string
	// CopyTo is the address of the server that keeps a copy of the run's state, empty if none
	// does.
	CopyTo string
	// ContinueFrom is the address of the copy from which the run continues, empty for a new run.
	// ResumeAfter is set as well.
	ContinueFrom string
	// Tenant is the tenant of the client's key, empty if there is none.
	Tenant string
}

// ResponseInfo is the protocol data in the head of a response.
type ResponseInfo struct {
	// NotRun is set if the server guarantees that it did not run the request.
	NotRun bool
	// Misdirected is set if another incarnation has the address.
	Misdirected bool
	// Load is the load that the server reported, nil if none.
	Load *balance.LoadReport
}

// Protocol encodes and decodes what clients and servers exchange beyond plain HTTP. It makes no
// routing decisions.
type Protocol interface {
	// ParseRequest parses the headers of a client's request. Its errors are faults.
	ParseRequest(header http.Header) (RequestInfo, error)
	// Prepare sets the headers of one attempt in a copy of the request's headers. It must not
	// forward the client's key or a tenant claimed by the client.
	Prepare(header http.Header, try AttemptInfo)
	// Belongs reports whether a response belongs to the request.
	Belongs(request, answer http.Header) bool
	// ParseResponse parses the head of a response.
	ParseResponse(status int, answer http.Header) ResponseInfo
	// IdentityHeaders returns the headers by which a server identifies its incarnation on the
	// health path, and the one by which it says how long it stays cold, empty if there is none: see
	// site.HTTPIdentifier.
	IdentityHeaders() (expected, found, cold string)
	// ParseJob parses a submitted batch job. Its errors are faults.
	ParseJob(header http.Header, body []byte) (*rockwindpb.StoredJob, error)
}
