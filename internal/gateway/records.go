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

// Headers of idempotency.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRepeatable     = "X-Repeatable"
	// headerReplayed marks a recorded response to a resend.
	headerReplayed = "X-Idempotent-Replay"
)

// Limits and timeouts of idempotency records.
const (
	// maximumKeyLength is the longest idempotency key in bytes.
	maximumKeyLength = 255
	// beginTimeout bounds the creation of a record. If it fails, the request is
	// refused as not run.
	beginTimeout = 5 * time.Second
	// finishTimeout bounds each call that stores the outcome of a request.
	finishTimeout = 10 * time.Second
	// inProgressRetryAfter is the Retry-After of resends while the first run lasts.
	inProgressRetryAfter = time.Second
)

// ownedRecord is an idempotency record that was granted to this request, which may
// therefore be dispatched.
type ownedRecord struct {
	gateway *Gateway
	tenant  string
	key     string
	owner   string
}

// requestDigest detects that an idempotency key is reused for a different request.
func requestDigest(r *http.Request, body []byte) []byte {
	hash := sha256.New()
	for _, part := range []string{r.Method, r.URL.EscapedPath(), r.URL.RawQuery} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(body)
	return hash.Sum(nil)
}

// beginRecord creates the idempotency record of a request. It returns nil if the
// request must not be dispatched; it has then written the recorded response or an
// error.
func (g *Gateway) beginRecord(w http.ResponseWriter, r *http.Request, key string, body []byte) *ownedRecord {
	if len(key) > maximumKeyLength {
		writeFault(w, invalid("use a shorter key", "the idempotency key is longer than %d bytes", maximumKeyLength))
		return nil
	}
	owned := &ownedRecord{gateway: g, tenant: tenantOf(r).GetName(), key: key, owner: g.settings.GetName() + "/" + uuid.NewString()}
	ctx, cancel := context.WithTimeout(r.Context(), beginTimeout)
	defer cancel()
	response, err := g.control.Records().Begin(ctx, &rockwindpb.BeginRequestRequest{
		Tenant: owned.tenant, Key: key, BodyDigest: requestDigest(r, body), Owner: owned.owner,
	})
	if err != nil {
		// The record may have been granted although the call failed. Release the key,
		// since the request does not run.
		go owned.finish(rockwindpb.RecordState_RECORD_STATE_NOT_RUN, 0, "", nil)
		writeFault(w, beginFault(err))
		return nil
	}
	if response.GetGranted() {
		return owned
	}
	g.replay(w, r, response.GetRecord())
	return nil
}

func beginFault(err error) *fault.Fault {
	f := fault.From(err)
	if f.Kind == fault.Conflict || f.Kind == fault.InvalidArgument {
		return f.WithRan(fault.NotRun)
	}
	return fault.New(fault.Unavailable, "the idempotency key can't be recorded now: "+f.Message,
		"send the request again with the same key").WithRan(fault.NotRun).WithRetryAfter(time.Second)
}

// replay responds to a resend according to the state of the record.
func (g *Gateway) replay(w http.ResponseWriter, r *http.Request, record *rockwindpb.RequestRecord) {
	switch record.GetState() {
	case rockwindpb.RecordState_RECORD_STATE_FINISHED:
		g.replayResponse(w, r, record)
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

func (g *Gateway) replayResponse(w http.ResponseWriter, r *http.Request, record *rockwindpb.RequestRecord) {
	var body []byte
	if record.GetBody() != nil {
		read, err := g.control.Bodies().Read(r.Context(), &rockwindpb.ReadBodiesRequest{
			References: []*rockwindpb.BodyReference{record.GetBody()},
		})
		if err != nil || len(read.GetBodies()) != 1 {
			writeFault(w, fault.New(fault.Unavailable, "the recorded response can't be read now",
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

// recordOutcome finishes the record after the request has ended.
func (o *ownedRecord) recordOutcome(result upstream.Result, sink *recordingSink) {
	switch {
	case result.Complete && !sink.tooLarge:
		o.recordResponse(sink)
	case result.Fault != nil && result.Fault.Ran == fault.NotRun:
		o.finish(rockwindpb.RecordState_RECORD_STATE_NOT_RUN, 0, "", nil)
	default:
		o.finish(rockwindpb.RecordState_RECORD_STATE_UNKNOWN, 0, "", nil)
	}
}

// recordResponse stores the response body and finishes the record with it.
func (o *ownedRecord) recordResponse(sink *recordingSink) {
	var reference *rockwindpb.BodyReference
	if sink.body.Len() > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		stored, err := o.gateway.control.Bodies().Store(ctx, &rockwindpb.StoreBodiesRequest{Bodies: [][]byte{sink.body.Bytes()}})
		if err != nil || len(stored.GetReferences()) != 1 {
			o.finish(rockwindpb.RecordState_RECORD_STATE_UNKNOWN, 0, "", nil)
			return
		}
		reference = stored.GetReferences()[0]
	}
	o.finish(rockwindpb.RecordState_RECORD_STATE_FINISHED, int32(sink.status), sink.contentType, reference)
}

func (o *ownedRecord) finish(state rockwindpb.RecordState, status int32, contentType string, body *rockwindpb.BodyReference) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	_, err := o.gateway.control.Records().Finish(ctx, &rockwindpb.FinishRequestRequest{
		Tenant: o.tenant, Key: o.key, Owner: o.owner, State: state,
		Status: status, ContentType: contentType, Body: body,
	})
	if err != nil {
		o.gateway.log.WithError(err).Warn("can't finish the record of an idempotency key")
	}
}
