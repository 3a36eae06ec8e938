package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"

	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// resultPageSize bounds the results of one page.
const resultPageSize = 1000

// controlJobs implements jobAccess through the control machines.
type controlJobs struct {
	session *session
	client  *controlclient.Client
	tenant  string
}

func newControlJobs(s *session, tenant string) (*controlJobs, error) {
	client, err := s.client()
	if err != nil {
		return nil, err
	}
	return &controlJobs{session: s, client: client, tenant: tenant}, nil
}

func (c *controlJobs) list(ctx context.Context, after string, limit int) ([]job, error) {
	response, err := c.client.Jobs().List(ctx, &rockwindpb.ListJobsRequest{Tenant: c.tenant, AfterId: after, Limit: uint32(limit)})
	if err != nil {
		return nil, err
	}
	jobs := make([]job, 0, len(response.GetJobs()))
	for _, each := range response.GetJobs() {
		jobs = append(jobs, jobFromLedger(each))
	}
	return jobs, nil
}

func (c *controlJobs) show(ctx context.Context, id string) (job, error) {
	response, err := c.client.Jobs().Get(ctx, &rockwindpb.GetJobRequest{JobId: id, Tenant: c.tenant})
	if err != nil {
		return job{}, err
	}
	shown := jobFromLedger(response.GetJob())
	shown.ExpectedMs = response.GetEstimatedEndUnixMs()
	return shown, nil
}

func (c *controlJobs) cancel(ctx context.Context, id string) (job, error) {
	response, err := c.client.Jobs().Cancel(ctx, &rockwindpb.CancelJobRequest{JobId: id, Tenant: c.tenant})
	if err != nil {
		return job{}, err
	}
	return jobFromLedger(response.GetJob()), nil
}

func jobFromLedger(known *rockwindpb.Job) job {
	return job{
		ID:         known.GetId(),
		Tenant:     known.GetTenant(),
		Class:      known.GetBatchClass(),
		Model:      known.GetModel(),
		State:      stateName(known.GetState()),
		Items:      int64(known.GetItemCount()),
		Completed:  int64(known.GetCompleted()),
		Failed:     int64(known.GetFailed()),
		AcceptedMs: known.GetAcceptedUnixMs(),
		DeadlineMs: known.GetDeadlineUnixMs(),
		EndedMs:    known.GetEndedUnixMs(),
		InputFile:  known.GetInputFile(),
	}
}

// results reads the results page by page, to bound the memory use.
func (c *controlJobs) results(ctx context.Context, id string, output io.Writer, progress *progress) error {
	shown, err := c.showBounded(ctx, id)
	if err != nil {
		return err
	}
	total := uint32(shown.Items)
	written := uint32(0)
	for from := uint32(0); from < total; {
		page, err := c.page(ctx, id, from)
		if err != nil {
			return err
		}
		if err := c.writePage(ctx, page, output); err != nil {
			return err
		}
		written += uint32(len(page.GetResults()))
		if page.GetNextItem() <= from {
			break
		}
		from = page.GetNextItem()
		progress.report("%d of %d items", from, total)
	}
	if written < total {
		progress.note("%d of %d items have no result (the job is %s)", total-written, total, shown.State)
	}
	return nil
}

func (c *controlJobs) showBounded(ctx context.Context, id string) (job, error) {
	ctx, cancel := context.WithTimeout(ctx, c.session.connection.Timeout)
	defer cancel()
	return c.show(ctx, id)
}

func (c *controlJobs) page(ctx context.Context, id string, from uint32) (*rockwindpb.ListResultsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.session.connection.Timeout)
	defer cancel()
	return c.client.Jobs().ListResults(ctx, &rockwindpb.ListResultsRequest{
		JobId: id, Tenant: c.tenant, FromItem: from, Limit: resultPageSize,
	})
}

// resultLine is one line of the output.
type resultLine struct {
	Item    uint32          `json:"item"`
	Outcome string          `json:"outcome"`
	Tries   uint32          `json:"tries"`
	Result  json.RawMessage `json:"result,omitempty"`
}

// Limits for one read of bodies.
const (
	maximumReadItems = 256
	maximumReadBytes = 2 << 20
)

// writePage writes the lines of a page and reads their bodies in groups.
func (c *controlJobs) writePage(ctx context.Context, page *rockwindpb.ListResultsResponse, output io.Writer) error {
	rest := page.GetResults()
	for len(rest) > 0 {
		count := groupLength(rest)
		if err := c.writeGroup(ctx, rest[:count], output); err != nil {
			return err
		}
		rest = rest[count:]
	}
	return nil
}

// groupLength returns how many results to read together, at least one.
func groupLength(results []*rockwindpb.ItemResult) int {
	size := 0
	for i, result := range results {
		size += int(result.GetResult().GetLength())
		if i > 0 && (size > maximumReadBytes || i >= maximumReadItems) {
			return i
		}
	}
	return len(results)
}

func (c *controlJobs) writeGroup(ctx context.Context, results []*rockwindpb.ItemResult, output io.Writer) error {
	bodies, err := c.bodies(ctx, results)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(output)
	for _, result := range results {
		line := resultLine{Item: result.GetItem(), Outcome: outcomeName(result.GetOutcome()), Tries: result.GetTries()}
		if result.GetResult() != nil {
			line.Result = asJSON(bodies[0])
			bodies = bodies[1:]
		}
		if err := encoder.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

// bodies reads the bodies of the results that have one, in order.
func (c *controlJobs) bodies(ctx context.Context, results []*rockwindpb.ItemResult) ([][]byte, error) {
	request := &rockwindpb.ReadBodiesRequest{}
	for _, result := range results {
		if result.GetResult() != nil {
			request.References = append(request.References, result.GetResult())
		}
	}
	if len(request.References) == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.session.connection.Timeout)
	defer cancel()
	response, err := c.client.Bodies().Read(ctx, request)
	if err != nil {
		return nil, err
	}
	if len(response.GetBodies()) != len(request.References) {
		return nil, missingBodiesFault(len(response.GetBodies()), len(request.References))
	}
	return response.GetBodies(), nil
}

func outcomeName(outcome rockwindpb.ItemOutcome) string {
	return strings.ToLower(strings.TrimPrefix(outcome.String(), "ITEM_OUTCOME_"))
}

// asJSON returns a JSON body unchanged, and any other body as a JSON string.
func asJSON(body []byte) json.RawMessage {
	trimmed := bytes.TrimSpace(body)
	if json.Valid(trimmed) {
		return trimmed
	}
	quoted, err := json.Marshal(string(body))
	if err != nil {
		return json.RawMessage("null")
	}
	return quoted
}
