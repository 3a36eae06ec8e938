package router

import (
	"net/http"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// RequestInfo is what a request tells about itself.
type RequestInfo struct {
	// ID is the request's own identifier.
	ID string
	// Timeout is how long the client waits; zero means that it does not say.
	Timeout time.Duration
	// Parts of its prompt, in order.
	Parts []balance.Part
	// ResumeAfter is the last event that the client has, empty for a new stream.
	ResumeAfter string
	// APIKey is the key that the client sent, empty where it sent none.
	APIKey string
}

// AttemptInfo is one attempt of a request at a server.
type AttemptInfo struct {
	// RequestID is the identifier of the request; empty where the headers have it
	// already.
	RequestID string
	// ServerID is the incarnation that is meant.
	ServerID string
	// Remaining is how long the client still waits; zero means without a limit.
	Remaining time.Duration
	// ResumeAfter is the last event that was relayed, empty for a new stream.
	ResumeAfter string
	// CopyTo is the address of the server that keeps a copy of the run's memory, empty where
	// none does.
	CopyTo string
	// ContinueFrom is the address that had the copy from which the run goes on, empty for a
	// run that begins. ResumeAfter is set beside it.
	ContinueFrom string
	// Tenant is the one that the client's key belongs to, empty where there is none.
	Tenant string
}

// ResponseInfo is what an answer's head says.
type ResponseInfo struct {
	// NotRun tells that the server proves that it did not run the request.
	NotRun bool
	// Misdirected tells that another incarnation has the address.
	Misdirected bool
	// Load is what the server told of its load; nil where it told nothing.
	Load *balance.LoadReport
}

// Protocol is what clients and servers agree on beside plain HTTP. It only
// translates; what is done about it is the router's business.
type Protocol interface {
	// ParseRequest reads the headers of a client's request. Its errors are faults.
	ParseRequest(header http.Header) (RequestInfo, error)
	// Prepare writes the headers of one try into a copy of the request's. The client's key
	// and what the client says of its tenant do not reach a server.
	Prepare(header http.Header, try AttemptInfo)
	// Belongs tells whether an answer belongs to the request.
	Belongs(request, answer http.Header) bool
	// ParseResponse reads an answer's head.
	ParseResponse(status int, answer http.Header) ResponseInfo
	// IdentityHeaders names the headers of the health path by which a server tells which
	// incarnation it is: see site.AskOverHTTP.
	IdentityHeaders() (expected, found string)
	// ParseJob reads the submission of a batch job. Its errors are faults.
	ParseJob(header http.Header, body []byte) (*rockwindpb.StoredJob, error)
}
