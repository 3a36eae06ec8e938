package gateway

import (
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"rockwind.example/rockwind/internal/configuration"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Metadata keys with a meaning to the gateway.
const (
	// metadataBatchClass names the batch class.
	metadataBatchClass = "batch_class"
	// metadataClientKey is an idempotency key: submitting a batch again with the
	// same key returns the existing job.
	metadataClientKey = "client_key"
)

// Defaults and limits of batches.
const (
	// defaultCompletionWindow applies if neither the request nor its batch class
	// sets a deadline.
	defaultCompletionWindow = 24 * time.Hour
	// defaultTries applies if the configuration has no batch class.
	defaultTries = 3
	// defaultListLimit and maximumListLimit are page sizes of the list of batches.
	defaultListLimit = 20
	maximumListLimit = 100
)

// batchRequest is the body of POST /v1/batches.
type batchRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// batchObject is a batch in the format of the OpenAI API.
type batchObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	Model            string            `json:"model"`
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           string            `json:"status"`
	OutputFileID     string            `json:"output_file_id,omitempty"`
	ErrorFileID      string            `json:"error_file_id,omitempty"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     int64             `json:"in_progress_at,omitempty"`
	ExpiresAt        int64             `json:"expires_at,omitempty"`
	CompletedAt      int64             `json:"completed_at,omitempty"`
	CancelledAt      int64             `json:"cancelled_at,omitempty"`
	EstimatedEndAt   int64             `json:"estimated_end_at,omitempty"`
	RequestCounts    requestCounts     `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
}

// requestCounts counts the items of a batch.
type requestCounts struct {
	Total     uint32 `json:"total"`
	Completed uint32 `json:"completed"`
	Failed    uint32 `json:"failed"`
}

// newBatchObject returns the API representation of a job. estimatedEnd is in Unix
// milliseconds, zero if unknown.
func newBatchObject(job *rockwindpb.Job, estimatedEnd int64) batchObject {
	accepted := job.GetAcceptedUnixMs() / millisecondsPerSecond
	object := batchObject{
		ID: job.GetId(), Object: "batch", Endpoint: job.GetEndpoint(), Model: job.GetModel(),
		InputFileID: job.GetInputFile(), Status: "in_progress", CreatedAt: accepted, InProgressAt: accepted,
		CompletionWindow: time.Duration((job.GetDeadlineUnixMs() - job.GetAcceptedUnixMs()) * int64(time.Millisecond)).Round(time.Second).String(),
		ExpiresAt:        job.GetDeadlineUnixMs() / millisecondsPerSecond,
		RequestCounts:    requestCounts{Total: job.GetItemCount(), Completed: job.GetCompleted(), Failed: job.GetFailed()},
	}
	_ = json.Unmarshal([]byte(job.GetMetadataJson()), &object.Metadata)
	ended := job.GetEndedUnixMs() / millisecondsPerSecond
	switch job.GetState() {
	case rockwindpb.JobState_JOB_STATE_COMPLETED:
		object.Status, object.CompletedAt = "completed", ended
	case rockwindpb.JobState_JOB_STATE_CANCELLED:
		object.Status, object.CancelledAt = "cancelled", ended
	default:
		object.EstimatedEndAt = estimatedEnd / millisecondsPerSecond
		return object
	}
	object.OutputFileID = resultFile{job: job.GetId()}.id()
	if job.GetFailed() > 0 {
		object.ErrorFileID = resultFile{job: job.GetId(), failed: true}.id()
	}
	return object
}

// serveCreateBatch handles POST /v1/batches.
func (g *Gateway) serveCreateBatch(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		writeFault(w, err)
		return
	}
	var request batchRequest
	if err := json.Unmarshal(body, &request); err != nil {
		writeFault(w, invalid("send the published shape", "the body is not a valid request: %v", err))
		return
	}
	job, err := g.newJob(r, &request)
	if err != nil {
		writeFault(w, err)
		return
	}
	response, err := g.control.Jobs().Submit(r.Context(), &rockwindpb.SubmitJobRequest{Job: job})
	if err != nil {
		writeFault(w, err)
		return
	}
	writeJSON(w, newBatchObject(response.GetJob(), 0))
}

// newJob validates the request and its input file and returns the job to submit.
func (g *Gateway) newJob(r *http.Request, request *batchRequest) (*rockwindpb.Job, error) {
	file, err := g.findFile(r, request.InputFileID)
	if err != nil {
		return nil, err
	}
	if file.GetPurpose() != purposeBatch || file.GetLineCount() == 0 {
		return nil, invalid("upload the file with the purpose batch", "the file %q is no input of a batch", request.InputFileID)
	}
	model, url, err := g.modelAndURL(r, file)
	if err != nil {
		return nil, err
	}
	index := g.follower.Current()
	if request.Endpoint != url {
		return nil, invalid("name the url of the file's lines", "the endpoint %q is not that of the file, %q", request.Endpoint, url)
	}
	if _, _, found := index.ResolveModel(model); !found {
		return nil, g.denial(fault.From(invalid("name a model that GET /v1/models lists", "there is no model %q", model)))
	}
	class, window, err := g.classAndWindow(index, request)
	if err != nil {
		return nil, err
	}
	metadata, err := json.Marshal(request.Metadata)
	if err != nil {
		return nil, err
	}
	tenant := tenantOf(r)
	return &rockwindpb.Job{
		Tenant: tenant.GetName(), Group: tenant.GetGroup(), BatchClass: class.GetName(), Tries: class.GetTries(),
		Model: model, Endpoint: url, ClientKey: clientKey(r, request), BodyDigest: jobDigest(file, request),
		ItemCount: file.GetLineCount(), Input: nonBlankChunks(file), InputFile: file.GetId(),
		DeadlineUnixMs: time.Now().Add(window).UnixMilli(), MetadataJson: string(metadata),
	}, nil
}

// clientKey returns the idempotency key of a batch, from the header or the
// metadata.
func clientKey(r *http.Request, request *batchRequest) string {
	if key := r.Header.Get(headerIdempotencyKey); key != "" {
		return key
	}
	return request.Metadata[metadataClientKey]
}

// jobDigest detects that a client key is reused for a different batch. It covers
// the content of the input file instead of its ID, so that a client may upload the
// file again before it resubmits the batch.
func jobDigest(file *rockwindpb.StoredFile, request *batchRequest) []byte {
	normalized := *request
	normalized.InputFileID = ""
	encoded, _ := json.Marshal(normalized)
	hash := sha256.New()
	hash.Write(file.GetDigest())
	hash.Write(encoded)
	return hash.Sum(nil)
}

// nonBlankChunks returns the chunks of a file that contain items.
func nonBlankChunks(file *rockwindpb.StoredFile) []*rockwindpb.InputChunk {
	var chunks []*rockwindpb.InputChunk
	for _, chunk := range file.GetChunks() {
		if chunk.GetItemCount() > 0 {
			chunks = append(chunks, chunk)
		}
	}
	return chunks
}

// modelAndURL reads the model and the URL from the first item of a file. The upload
// has verified that all items have the same.
func (g *Gateway) modelAndURL(r *http.Request, file *rockwindpb.StoredFile) (model, url string, err error) {
	chunks := nonBlankChunks(file)
	if len(chunks) == 0 {
		return "", "", invalid("give at least one line", "the file holds no items")
	}
	bodies, err := g.readBodies(r, []*rockwindpb.BodyReference{chunks[0].GetBody()})
	if err != nil {
		return "", "", err
	}
	parsed, model, err := parseItem(firstLine(bodies[0]))
	return model, parsed.URL, err
}

// classAndWindow returns the batch class and the completion window. The deadline of
// a class that the request names takes precedence over the requested window.
func (g *Gateway) classAndWindow(index *configuration.Index, request *batchRequest) (*rockwindpb.BatchClass, time.Duration, error) {
	if name := request.Metadata[metadataBatchClass]; name != "" {
		class, found := index.BatchClass(name)
		if !found {
			return nil, 0, g.denial(fault.From(invalid("name a batch class of the configuration", "there is no batch class %q", name)))
		}
		if deadline := class.GetDeadline().AsDuration(); deadline > 0 {
			return class, deadline, nil
		}
		return class, defaultCompletionWindow, nil
	}
	window := defaultCompletionWindow
	if request.CompletionWindow != "" {
		parsed, err := time.ParseDuration(request.CompletionWindow)
		if err != nil || parsed <= 0 {
			return nil, 0, invalid("give a duration such as 24h", "the completion window %q can't be read", request.CompletionWindow)
		}
		window = parsed
	}
	if classes := index.BatchClasses(); len(classes) > 0 {
		return classes[0], window, nil
	}
	return &rockwindpb.BatchClass{Tries: defaultTries}, window, nil
}

// serveBatch handles GET /v1/batches/{id}.
func (g *Gateway) serveBatch(w http.ResponseWriter, r *http.Request) {
	response, err := g.findJob(r, chi.URLParam(r, "id"))
	if err != nil {
		writeFault(w, err)
		return
	}
	writeJSON(w, newBatchObject(response.GetJob(), response.GetEstimatedEndUnixMs()))
}

func (g *Gateway) findJob(r *http.Request, id string) (*rockwindpb.GetJobResponse, error) {
	response, err := g.control.Jobs().Get(r.Context(), &rockwindpb.GetJobRequest{JobId: id, Tenant: tenantOf(r).GetName()})
	return response, batchNotFound(err, id)
}

// batchNotFound replaces the error for a malformed batch ID by a NotFound fault and
// returns other errors unchanged.
func batchNotFound(err error, id string) error {
	if fault.Is(err, fault.InvalidArgument) {
		return fault.Newf(fault.NotFound, "check the identifier", "there is no batch %q", id)
	}
	return err
}

// serveCancelBatch handles POST /v1/batches/{id}/cancel.
func (g *Gateway) serveCancelBatch(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	response, err := g.control.Jobs().Cancel(r.Context(), &rockwindpb.CancelJobRequest{JobId: id, Tenant: tenantOf(r).GetName()})
	if err != nil {
		writeFault(w, batchNotFound(err, id))
		return
	}
	writeJSON(w, newBatchObject(response.GetJob(), 0))
}

// serveBatches handles GET /v1/batches.
func (g *Gateway) serveBatches(w http.ResponseWriter, r *http.Request) {
	limit := defaultListLimit
	if value := r.URL.Query().Get("limit"); value != "" {
		parsed, err := strconv.Atoi(value)
		if err != nil || parsed < 1 || parsed > maximumListLimit {
			writeFault(w, invalid("give a number between 1 and 100", "the limit %q can't be used", value))
			return
		}
		limit = parsed
	}
	response, err := g.control.Jobs().List(r.Context(), &rockwindpb.ListJobsRequest{
		Tenant: tenantOf(r).GetName(), AfterId: r.URL.Query().Get("after"), Limit: uint32(limit + 1),
	})
	if err != nil {
		writeFault(w, err)
		return
	}
	jobs := response.GetJobs()
	list := listObject[batchObject]{Object: "list", Data: []batchObject{}, HasMore: len(jobs) > limit}
	for _, job := range jobs[:min(limit, len(jobs))] {
		list.Data = append(list.Data, newBatchObject(job, 0))
	}
	if len(list.Data) > 0 {
		list.FirstID, list.LastID = list.Data[0].ID, list.Data[len(list.Data)-1].ID
	}
	writeJSON(w, list)
}
