package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protojson"

	"rockwind.example/rockwind/internal/bench/soak/backend"
	"rockwind.example/rockwind/internal/bench/soak/witness"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/upstream"
)

const (
	// jobInterval is the mean time between two jobs, maximumItems the most items of one.
	jobInterval  = 700 * time.Millisecond
	maximumItems = 12
	// maximumWaiting limits the items that may wait; it is low enough that submissions are
	// refused while a store is down. itemTokens is the token count of each item.
	maximumWaiting = 14
	itemTokens     = 100
	// poisonFraction is the fraction of items that always fail, endFraction that of jobs
	// ended early, and resendFraction that of jobs submitted again once accepted.
	poisonFraction = 0.05
	endFraction    = 0.2
	resendFraction = 0.3
	// One in addedBatchJobs jobs is submitted to a route that was just added.
	addedBatchJobs = 3
	// submitTries limits the attempts to submit a job.
	submitTries = 30
	// visibleWithin is how long after its acceptance a router may not find a job yet.
	visibleWithin = time.Second
	// readInterval is the time between two reads of a job.
	readInterval = 300 * time.Millisecond
	// jobTimeout bounds one HTTP call about a job.
	jobTimeout = 4 * time.Second
)

// jobClient submits, reads and ends jobs.
type jobClient struct {
	run    *run
	random *rand.Rand
	client *http.Client
}

func newJobClient(run *run, number uint64) *jobClient {
	return &jobClient{run: run, random: rand.New(rand.NewPCG(run.seed, 1000+number)), client: newClient(jobTimeout)}
}

func (c *jobClient) router() *member {
	return c.run.site.randomRouter(c.random)
}

// submitAndFollow submits a job and reads it until it is complete, it is ended early, or
// the context ends.
func (c *jobClient) submitAndFollow(ctx context.Context, id string) {
	message, texts := c.newJob(id)
	encoded, err := protojson.Marshal(message)
	if err != nil {
		c.run.submitting.Done()
		c.run.witness.Report(witness.WrongAnswer, id, err.Error(), c.run.elapsed())
		return
	}
	c.run.witness.Submitting(id, texts)
	path := c.jobPath(id)
	submitted := c.submit(ctx, path, id, encoded)
	c.run.submitting.Done()
	if !submitted {
		return
	}
	accepted := c.run.elapsed()
	if c.random.Float64() < resendFraction {
		c.submit(ctx, path, id, encoded)
	}
	endsEarly := c.random.Float64() < endFraction
	for retry.Pause(ctx, readInterval) {
		if c.read(ctx, c.router(), id, accepted) == len(texts) {
			return
		}
		if endsEarly && c.random.Float64() < endFraction {
			c.end(ctx, id)
			return
		}
	}
}

func (c *jobClient) newJob(id string) (*rockwindpb.StoredJob, map[string]string) {
	message := &rockwindpb.StoredJob{Id: id}
	texts := make(map[string]string)
	for number := range 1 + c.random.IntN(maximumItems) {
		name := fmt.Sprintf("%s-i%d", id, number)
		headers := []*rockwindpb.StoredHeader{{Name: backend.HeaderJob, Value: id}}
		texts[name] = backend.StreamText(name)
		if c.random.Float64() < poisonFraction {
			headers = append(headers, &rockwindpb.StoredHeader{Name: backend.HeaderPoison, Value: "true"})
			texts[name] = ""
		}
		message.Items = append(message.Items, &rockwindpb.StoredItem{Id: name, Path: backend.PathBatch + name, Headers: headers, Body: []byte(name), Tokens: itemTokens})
	}
	return message, texts
}

// jobPath returns the path that a job is submitted to. Some jobs go to a route that was just added, which stores
// that are cut off from the coordinators do not know.
func (c *jobClient) jobPath(id string) string {
	if xxhash.Sum64String(id)%addedBatchJobs != 0 {
		return backend.PathBatch + id
	}
	c.run.witness.Count("jobs on added routes")
	return addedBatch(c.run.operator.newestNumber()) + id
}

// submit retries the submission of a job and returns whether it was accepted.
func (c *jobClient) submit(ctx context.Context, path, id string, encoded []byte) bool {
	for range submitTries {
		status, body, err := c.call(ctx, http.MethodPost, c.router(), path, id, encoded)
		switch {
		case err == nil && status == http.StatusAccepted:
			c.run.witness.Accepted(id)
			c.run.witness.Count("jobs accepted")
			return true
		case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			c.run.witness.Count("submissions refused")
		case err != nil || status >= http.StatusInternalServerError:
			c.run.witness.SubmissionUncertain(id)
		case status == http.StatusNotFound && !strings.HasPrefix(path, backend.PathBatch):
			// The router does not have the added route yet.
			c.run.witness.Count("submissions before their route")
		default:
			c.run.witness.Report(witness.Denied, id, fmt.Sprintf("submission: status %d %s", status, body), c.run.elapsed())
			return false
		}
		if !retry.Pause(ctx, readInterval) {
			return false
		}
	}
	return false
}

func (c *jobClient) call(ctx context.Context, method string, at *member, path, id string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at.settings.GetListen()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	request.Header.Set(upstream.HeaderRequestID, id)
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// read reads all results of a job and returns their number, or -1 if the read fails.
func (c *jobClient) read(ctx context.Context, at *member, id string, accepted time.Duration) int {
	sent := c.run.elapsed()
	status, body, err := c.call(ctx, http.MethodGet, at, router.PathJobs+id, id, nil)
	if err != nil || status >= http.StatusInternalServerError {
		return -1
	}
	if status == http.StatusNotFound {
		if sent > accepted+visibleWithin {
			c.run.witness.JobNotFound(id, at.Name+" answers: "+string(body), c.run.elapsed())
		}
		return -1
	}
	response := &rockwindpb.ReadStoredJobResponse{}
	if err := protojson.Unmarshal(body, response); err != nil || status != http.StatusOK {
		c.run.witness.Report(witness.WrongAnswer, id, fmt.Sprintf("read at %s: status %d, %v", at.Name, status, err), c.run.elapsed())
		return -1
	}
	var seen []witness.Result
	for _, each := range response.GetResults() {
		done := each.GetOutcome() == rockwindpb.StoredOutcome_STORED_OUTCOME_DONE
		text, versions := backend.SplitVersions(string(each.GetText()))
		if len(versions) > 1 {
			c.run.witness.Report(witness.MixedVersions, id, fmt.Sprintf("item %s has events of %v", each.GetId(), versions), c.run.elapsed())
		}
		seen = append(seen, witness.NewResult(each.GetId(), done, text))
	}
	c.run.witness.Results(id, 0, seen, c.run.elapsed())
	return len(seen)
}

// end retries ending a job until that is acknowledged.
func (c *jobClient) end(ctx context.Context, id string) {
	c.run.witness.Ending(id)
	for {
		status, _, err := c.call(ctx, http.MethodDelete, c.router(), router.PathJobs+id, id, nil)
		if err == nil && status == http.StatusOK {
			c.run.witness.Ended(id, c.run.elapsed())
			c.run.witness.Count("jobs ended early")
			return
		}
		if !retry.Pause(ctx, readInterval) {
			return
		}
	}
}

// submitAll submits jobs until ctx ends; they are followed until follow ends.
func (r *run) submitAll(ctx, follow context.Context) {
	random := rand.New(rand.NewPCG(r.seed, 999))
	for number := uint64(0); retry.Pause(ctx, time.Duration(random.Int64N(2*int64(jobInterval)))); number++ {
		client := newJobClient(r, number)
		r.submitting.Add(1)
		r.clients.Go(func() { client.submitAndFollow(follow, fmt.Sprintf("job-%d-%d", r.seed, number)) })
	}
}

// settleJobs reads the accepted jobs until all are complete or the context ends, then
// reads each once at every router.
func (r *run) settleJobs(ctx context.Context) {
	client := newJobClient(r, 0)
	for {
		for _, id := range r.witness.Open() {
			client.read(ctx, client.router(), id, 0)
		}
		if len(r.witness.Open()) == 0 || !retry.Pause(ctx, readInterval) {
			break
		}
	}
	for _, id := range r.witness.Jobs() {
		for _, at := range r.site.routers() {
			client.read(context.WithoutCancel(ctx), at, id, 0)
		}
	}
}
