package replica

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/protobytes"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
)

const (
	// sharedDataBytes is the size from which the data of an entry is sent from the entry itself, and is decoded
	// without a copy. The generated code holds a job of 20 MB twice while it is sent and three times while it is
	// received.
	sharedDataBytes = 64 << 10
	// maxSendResponseBytes limits the response to a large message, which carries at most replies to heartbeats.
	maxSendResponseBytes = 1 << 20

	sendPath     = rockwindpb.ReplicaServicePathPrefix + "Send"
	protobufType = "application/protobuf"
)

// server is the generated server with a handler for large calls of Send.
type server struct {
	rockwindpb.TwirpServer
	service rockwindpb.ReplicaService
}

// NewServer returns the server for the calls of other control machines.
func NewServer(host *Host) rockwindpb.TwirpServer {
	service := host.Service()
	return &server{TwirpServer: rockwindpb.NewReplicaServiceServer(service), service: service}
}

// ServeHTTP implements http.Handler. Calls whose size is not known, or above what is reserved for a caller, are
// left to the generated code, which reads what arrives.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != sendPath || r.Header.Get("Content-Type") != protobufType ||
		r.ContentLength < sharedDataBytes || r.ContentLength > maxReservedBytes {
		s.TwirpServer.ServeHTTP(w, r)
		return
	}
	response, err := s.send(r)
	if err != nil {
		_ = twirp.WriteError(w, err)
		return
	}
	encoded, err := proto.Marshal(response)
	if err != nil {
		_ = twirp.WriteError(w, twirp.InternalErrorWith(err))
		return
	}
	w.Header().Set("Content-Type", protobufType)
	_, _ = w.Write(encoded)
}

func (s *server) send(r *http.Request) (*rockwindpb.SendResponse, error) {
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, twirp.NewError(twirp.Malformed, "the request body could not be read")
	}
	request := &rockwindpb.SendRequest{}
	if err := protobytes.Unmarshal(body, request, sharedDataBytes); err != nil {
		return nil, twirp.NewError(twirp.Malformed, "the protobuf request could not be decoded")
	}
	return s.service.Send(r.Context(), request)
}

// sendInParts is the call of Send without copies of large data.
func (p *peer) sendInParts(ctx context.Context, request *rockwindpb.SendRequest) (*rockwindpb.SendResponse, error) {
	parts, err := protobytes.Marshal(request, sharedDataBytes)
	if err != nil {
		return nil, errors.Wrap(err, "encode a large message")
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, p.host.baseURL(p.route.address)+sendPath, parts.Reader())
	if err != nil {
		return nil, errors.Wrap(err, "prepare the call with a large message")
	}
	call.ContentLength = int64(parts.Size())
	// The client sends the body again if an idle connection turns out to be closed.
	call.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(parts.Reader()), nil }
	call.Header.Set("Content-Type", protobufType)
	answer, err := twirphttp.Client{HTTPClient: p.host.options.Client}.Do(call)
	if err != nil {
		return nil, errors.Wrap(err, "send a large message")
	}
	defer func() { _ = answer.Body.Close() }()
	encoded, err := io.ReadAll(io.LimitReader(answer.Body, maxSendResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read the response to a large message")
	}
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Newf("a large message was answered with status %d", answer.StatusCode)
	}
	response := &rockwindpb.SendResponse{}
	return response, errors.Wrap(proto.Unmarshal(encoded, response), "decode the response to a large message")
}
