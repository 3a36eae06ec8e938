package gateway

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/google/uuid"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/upstream"
)

// Headers of repeatability.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRepeatable     = "X-Repeatable"
	// headerReplayed marks an answer that was kept from the first run.
	headerReplayed = "X-Idempotent-Replay"
)

// Timing of idempotency records.
const (
	// maximumKeyLength bounds an idempotency key in bytes.
	maximumKeyLength = 255
	// beginTimeout bounds the grant before dispatch; without it the request is
	// refused as not run.
	beginTimeout = 5 * time.Second
	// finishTimeout bounds the record of an answer.
	finishTimeout = 10 * time.Second
	// inProgressRetryAfter is the advice while the first run goes on.
	inProgressRetryAfter = time.Second
)

// heldRecord is the permission of one owner to dispatch a keyed request.
type heldRecord struct {
	gateway *Gateway
	tenant  string
	key     string
	owner   string
}

// requestDigest ties an idempotency key to one request.
func requestDigest(r *http.Request, body []byte) []byte {
	hash := sha256.New()
	for _, part := range []string{r.Method, r.URL.EscapedPath(), r.URL.RawQuery} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(body)
	return hash.Sum(nil)
}

// beginRecord asks for the permission to dispatch a keyed request. Without it
// the answer has been written: the first answer again, or why there is none.
func (g *Gateway) beginRecord(w http.ResponseWriter, r *http.Request, key string, body []byte) *heldRecord {
	if len(key) > maximumKeyLength {
		writeFault(w, invalid("use a shorter key", "the idempotency key is longer than %d bytes", maximumKeyLength))
		return nil
	}
	held := &heldRecord{gateway: g, tenant: tenantOf(r).GetName(), key: key, owner: g.settings.GetName() + "/" + uuid.NewString()}
	ctx, cancel := context.WithTimeout(r.Context(), beginTimeout)
	defer cancel()
	response, err := g.control.Records().Begin(ctx, &rockwindpb.BeginRequestRequest{
		Tenant: held.tenant, Key: key, BodyDigest: requestDigest(r, body), Owner: held.owner,
	})
	if err != nil {
		// Only this owner could use a grant whose confirmation is lost, and it
		// does not: the request did not run.
		go held.finish(rockwindpb.RecordState_RECORD_STATE_NOT_RUN, 0, "", nil)
		writeFault(w, notBegun(err))
		return nil
	}
	if response.GetGranted() {
		return held
	}
	g.replay(w, r, response.GetRecord())
	return nil
}

func notBegun(err error) *fault.Fault {
	f := fault.From(err)
	if f.Kind == fault.Conflict || f.Kind == fault.InvalidArgument {
		return f.WithRan(fault.NotRun)
	}
	return fault.New(fault.Unavailable, "the idempotency key can't be recorded now: "+f.Message,
		"send the request again with the same key").WithRan(fault.NotRun).WithRetryAfter(time.Second)
}

// replay answers a resend.
func (g *Gateway) replay(w http.ResponseWriter, r *http.Request, record *rockwindpb.RequestRecord) {
	switch record.GetState() {
	case rockwindpb.RecordState_RECORD_STATE_FINISHED:
		g.replayAnswer(w, r, record)
	case rockwindpb.RecordState_RECORD_STATE_STARTED:
		writeFault(w, fault.New(fault.Conflict, "the first request with this idempotency key is still in progress",
			"send it again later with the same key to get its answer").
			WithRan(fault.RanUnknown).WithRetryAfter(inProgressRetryAfter))
	default:
		writeFault(w, fault.New(fault.OutcomeUnknown,
			"the first request with this idempotency key may have run and its answer is lost",
			"check whether it took effect; use another key to run it again").WithRan(fault.RanUnknown))
	}
}

func (g *Gateway) replayAnswer(w http.ResponseWriter, r *http.Request, record *rockwindpb.RequestRecord) {
	var body []byte
	if record.GetBody() != nil {
		read, err := g.control.Bodies().Read(r.Context(), &rockwindpb.ReadBodiesRequest{
			References: []*rockwindpb.BodyReference{record.GetBody()},
		})
		if err != nil || len(read.GetBodies()) != 1 {
			writeFault(w, fault.New(fault.Unavailable, "the kept answer can't be read now",
				"send the request again later with the same key").WithRan(fault.RanUnknown).WithRetryAfter(time.Second))
			return
		}
		body = read.GetBodies()[0]
	}
	w.Header().Set(headerContentType, record.GetContentType())
	w.Header().Set(headerReplayed, "true")
	w.WriteHeader(int(record.GetStatus()))
	_, _ = w.Write(body)
}

// end records how the request ended.
func (h *heldRecord) end(result upstream.Result, sink *keepingSink) {
	switch {
	case result.Complete && !sink.tooLong:
		h.keep(sink)
	case result.Fault != nil && result.Fault.Ran == fault.NotRun:
		h.finish(rockwindpb.RecordState_RECORD_STATE_NOT_RUN, 0, "", nil)
	default:
		h.finish(rockwindpb.RecordState_RECORD_STATE_UNKNOWN, 0, "", nil)
	}
}

// keep stores the answer and then names it in the record.
func (h *heldRecord) keep(sink *keepingSink) {
	var reference *rockwindpb.BodyReference
	if sink.kept.Len() > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		stored, err := h.gateway.control.Bodies().Store(ctx, &rockwindpb.StoreBodiesRequest{Bodies: [][]byte{sink.kept.Bytes()}})
		if err != nil || len(stored.GetReferences()) != 1 {
			h.finish(rockwindpb.RecordState_RECORD_STATE_UNKNOWN, 0, "", nil)
			return
		}
		reference = stored.GetReferences()[0]
	}
	h.finish(rockwindpb.RecordState_RECORD_STATE_FINISHED, int32(sink.status), sink.contentType, reference)
}

func (h *heldRecord) finish(state rockwindpb.RecordState, status int32, contentType string, body *rockwindpb.BodyReference) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	_, err := h.gateway.control.Records().Finish(ctx, &rockwindpb.FinishRequestRequest{
		Tenant: h.tenant, Key: h.key, Owner: h.owner, State: state,
		Status: status, ContentType: contentType, Body: body,
	})
	if err != nil {
		h.gateway.log.WithError(err).Warn("record of an idempotency key is left open")
	}
}
