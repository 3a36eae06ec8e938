package command

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"rockwind.example/rockwind/internal/fault"
)

// Names that the gateway's batch API accepts in addition to the public ones.
const (
	idempotencyHeader = "Idempotency-Key"
	classMetadata     = "batch_class"
)

// maximumRequestBytes bounds the size of a request file.
const maximumRequestBytes = 512 << 20

// gatewayJobs implements jobAccess through a gateway, and submits jobs.
type gatewayJobs struct {
	client openai.Client
}

func newGatewayJobs(s *session, gateway, apiKey string) (*gatewayJobs, error) {
	if err := requireAPIKey(apiKey); err != nil {
		return nil, err
	}
	parsed, err := url.Parse(gateway)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return nil, fault.Newf(fault.InvalidArgument, "write a URL, for example http://10.0.0.1:8080", "--gateway is %q", gateway)
	}
	httpClient, err := s.connection.httpClient()
	if err != nil {
		return nil, err
	}
	base := strings.TrimSuffix(gateway, "/") + "/v1/"
	client := openai.NewClient(option.WithBaseURL(base), option.WithAPIKey(apiKey), option.WithHTTPClient(httpClient))
	return &gatewayJobs{client: client}, nil
}

// readRequests reads a request file.
func (s *session) readRequests(name string) ([]byte, error) {
	data, err := s.readFile(name, maximumRequestBytes)
	if err != nil {
		return nil, err
	}
	if len(data) > maximumRequestBytes {
		return nil, fault.Newf(fault.InvalidArgument, "split it into several jobs", "the file has more than %d bytes", maximumRequestBytes)
	}
	return data, nil
}

// submit uploads the file and creates the job with an idempotency key, so that a
// repeated submission returns the same job.
func (g *gatewayJobs) submit(ctx context.Context, wanted *jobsSubmit, data []byte) (job, error) {
	file, err := g.client.Files.New(ctx, openai.FileNewParams{
		File:    openai.File(bytes.NewReader(data), "requests.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		return job{}, faultFromGateway(err)
	}
	metadata := make(map[string]string, len(wanted.Metadata)+1)
	for name, value := range wanted.Metadata {
		metadata[name] = value
	}
	if wanted.Class != "" {
		metadata[classMetadata] = wanted.Class
	}
	batch, err := g.client.Batches.New(ctx, openai.BatchNewParams{
		InputFileID:      file.ID,
		Endpoint:         openai.BatchNewParamsEndpoint(wanted.Endpoint),
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
		Metadata:         metadata,
	}, option.WithHeader(idempotencyHeader, wanted.clientKey(data)))
	if err != nil {
		return job{}, faultFromGateway(err)
	}
	return jobFromBatch(batch), nil
}

// clientKey returns the idempotency key: the given one, or a hash of the content.
func (j *jobsSubmit) clientKey(data []byte) string {
	if j.Key != "" {
		return j.Key
	}
	hasher := sha256.New()
	parts := []string{j.Class, j.Endpoint}
	for _, name := range slices.Sorted(maps.Keys(j.Metadata)) {
		parts = append(parts, name, j.Metadata[name])
	}
	for _, part := range parts {
		hasher.Write([]byte(strconv.Quote(part)))
	}
	hasher.Write(data)
	return hex.EncodeToString(hasher.Sum(nil))
}

func (g *gatewayJobs) list(ctx context.Context, after string, limit int) ([]job, error) {
	parameters := openai.BatchListParams{Limit: openai.Int(int64(limit))}
	if after != "" {
		parameters.After = openai.String(after)
	}
	page, err := g.client.Batches.List(ctx, parameters)
	if err != nil {
		return nil, faultFromGateway(err)
	}
	jobs := make([]job, 0, len(page.Data))
	for i := range page.Data {
		jobs = append(jobs, jobFromBatch(&page.Data[i]))
	}
	return jobs, nil
}

func (g *gatewayJobs) show(ctx context.Context, id string) (job, error) {
	batch, err := g.client.Batches.Get(ctx, id)
	if err != nil {
		return job{}, faultFromGateway(err)
	}
	return jobFromBatch(batch), nil
}

func (g *gatewayJobs) cancel(ctx context.Context, id string) (job, error) {
	batch, err := g.client.Batches.Cancel(ctx, id)
	if err != nil {
		return job{}, faultFromGateway(err)
	}
	return jobFromBatch(batch), nil
}

// results copies the output file of the job, followed by its error file.
func (g *gatewayJobs) results(ctx context.Context, id string, output io.Writer, progress *progress) error {
	batch, err := g.client.Batches.Get(ctx, id)
	if err != nil {
		return faultFromGateway(err)
	}
	shown := jobFromBatch(batch)
	if batch.OutputFileID == "" {
		progress.note("the job is %s; its results can be read when it has ended (%d of %d items are done)", shown.State, shown.Completed, shown.Items)
		return nil
	}
	counter := &lineCounter{output: output, progress: progress, total: uint32(shown.Items)}
	for _, file := range []string{batch.OutputFileID, batch.ErrorFileID} {
		if err := g.copyFile(ctx, file, counter); err != nil {
			return err
		}
	}
	if missing := shown.Items - int64(counter.lines); missing > 0 {
		progress.note("%d of %d items have no result (the job is %s)", missing, shown.Items, shown.State)
	}
	return nil
}

func (g *gatewayJobs) copyFile(ctx context.Context, file string, output *lineCounter) error {
	if file == "" {
		return nil
	}
	response, err := g.client.Files.Content(ctx, file)
	if err != nil {
		return faultFromGateway(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(output, response.Body); err != nil {
		return fault.Newf(fault.Unavailable, "repeat the command", "the results ended early after %d items: %v", output.lines, err)
	}
	return nil
}

// lineCounter is a writer that counts lines and reports them as progress.
type lineCounter struct {
	output   io.Writer
	progress *progress
	lines    uint32
	total    uint32
}

// Write implements io.Writer.
func (l *lineCounter) Write(data []byte) (int, error) {
	l.lines += uint32(bytes.Count(data, []byte{'\n'}))
	l.progress.report("%d of %d items", l.lines, l.total)
	return l.output.Write(data)
}

func jobFromBatch(batch *openai.Batch) job {
	return job{
		ID:         batch.ID,
		Class:      batch.Metadata[classMetadata],
		Model:      batch.Model,
		State:      string(batch.Status),
		Items:      batch.RequestCounts.Total,
		Completed:  batch.RequestCounts.Completed,
		Failed:     batch.RequestCounts.Failed,
		AcceptedMs: milliseconds(batch.CreatedAt),
		DeadlineMs: milliseconds(batch.ExpiresAt),
		EndedMs:    milliseconds(max(batch.CompletedAt, batch.CancelledAt, batch.FailedAt, batch.ExpiredAt)),
		InputFile:  batch.InputFileID,
	}
}

func milliseconds(unixSeconds int64) int64 {
	return unixSeconds * time.Second.Milliseconds()
}

// gatewayError holds the fields that a gateway adds to a public API error.
type gatewayError struct {
	Code   fault.Kind `json:"code"`
	Remedy string     `json:"remedy"`
}

// faultFromGateway converts an error response of a gateway to a fault.
func faultFromGateway(err error) error {
	var refused *openai.Error
	if !errors.As(err, &refused) {
		return fault.Newf(fault.Unavailable, "check --gateway and that the gateway runs, then repeat the command", "the gateway did not answer: %v", err)
	}
	decoded := &gatewayError{}
	if json.Unmarshal([]byte(refused.RawJSON()), decoded) == nil && decoded.Code != "" {
		return fault.New(decoded.Code, refused.Message, decoded.Remedy)
	}
	return fault.Newf(kindOfStatus(refused.StatusCode), "look at the gateway's log with 'rockwind logs'", "the gateway answered with status %d: %s", refused.StatusCode, refused.Message)
}

func kindOfStatus(status int) fault.Kind {
	switch {
	case status == http.StatusUnauthorized:
		return fault.Unauthenticated
	case status == http.StatusNotFound:
		return fault.NotFound
	case status == http.StatusConflict:
		return fault.Conflict
	case status == http.StatusTooManyRequests:
		return fault.LimitReached
	case status < http.StatusInternalServerError:
		return fault.InvalidArgument
	case status == http.StatusServiceUnavailable, status == http.StatusBadGateway:
		return fault.Unavailable
	default:
		return fault.Internal
	}
}

func missingBodiesFault(got, wanted int) error {
	return fault.Newf(fault.Corrupt, "repeat the command; if it repeats, look at the control machines' logs", "control returned %d of %d results", got, wanted)
}
