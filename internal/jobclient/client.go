// Package jobclient calls the stores: it finds the leader of the shard that holds
// a job and repeats calls while leaders change. Every call may be repeated: a job
// is taken once under its identifier.
package jobclient

import (
	"context"
	"net/http"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/site"
	"rockwind.example/rockwind/internal/twirphttp"
)

const (
	// attemptTimeout bounds one attempt, beyond what the call waits by design.
	attemptTimeout = 700 * time.Millisecond
	// callTimeout bounds a call with its repetitions, beyond the same.
	callTimeout = 2500 * time.Millisecond
	// pause is the time between attempts.
	pause = 25 * time.Millisecond
	// avoidance is how long a store that did not answer is asked after the others.
	avoidance = time.Second
	// comeBack is the time to come back that is told where no leader was reached.
	comeBack = 300 * time.Millisecond
)

// Client calls the stores of a site. It is safe for concurrent use.
type Client struct {
	watcher *site.Watcher
	client  *http.Client

	mutex   sync.Mutex
	leaders map[uint32]string
	rotate  int
	// avoided holds until when stores that did not answer are asked after the others.
	avoided map[string]time.Time
}

// New returns a client that finds the stores through the watcher.
func New(watcher *site.Watcher, client *http.Client) *Client {
	return &Client{watcher: watcher, client: client, leaders: make(map[uint32]string), avoided: make(map[string]time.Time)}
}

// Submit hands a job over. It returns once enough copies are synced. It fails
// with fault.OutcomeUnknown where the job may have been taken although no answer
// says so.
func (c *Client) Submit(ctx context.Context, job *rockwindpb.StoredJob) error {
	return c.call(ctx, job.GetId(), 0, func(ctx context.Context, service rockwindpb.JobStoreService) error {
		_, err := service.Submit(ctx, &rockwindpb.SubmitStoredJobRequest{Job: job})
		return err
	})
}

// Read returns results of a job; see jobstore.Machine.Read.
func (c *Client) Read(ctx context.Context, request *rockwindpb.ReadStoredJobRequest) (*rockwindpb.ReadStoredJobResponse, error) {
	var response *rockwindpb.ReadStoredJobResponse
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	err := c.call(ctx, request.GetId(), wait, func(ctx context.Context, service rockwindpb.JobStoreService) (err error) {
		response, err = service.Read(ctx, request)
		return err
	})
	return response, err
}

// ReadBody returns the body of an item that has no result yet.
func (c *Client) ReadBody(ctx context.Context, request *rockwindpb.ReadItemBodyRequest) ([]byte, error) {
	var body []byte
	err := c.call(ctx, request.GetJob(), 0, func(ctx context.Context, service rockwindpb.JobStoreService) error {
		response, err := service.ReadBody(ctx, request)
		body = response.GetBody()
		return err
	})
	return body, err
}

// End ends a job: once it returns nothing more of it is begun.
func (c *Client) End(ctx context.Context, id string) error {
	return c.call(ctx, id, 0, func(ctx context.Context, service rockwindpb.JobStoreService) error {
		_, err := service.End(ctx, &rockwindpb.EndStoredJobRequest{Id: id})
		return err
	})
}

// call performs a call at the leader of a job's shard until it is answered.
func (c *Client) call(ctx context.Context, job string, wait time.Duration, attempt func(context.Context, rockwindpb.JobStoreService) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	doubt := false
	for {
		shard, address, known := c.pick(job)
		if known {
			err := c.once(ctx, address, wait, attempt)
			if err == nil {
				c.remember(shard, address)
				return nil
			}
			failure := fault.From(err)
			if final(failure.Kind) {
				return failure
			}
			doubt = doubt || failure.Ran != fault.NotRun
			c.follow(shard, address, failure)
		}
		if !retry.Pause(ctx, pause) {
			return c.unanswered(doubt)
		}
	}
}

// final tells whether another attempt would end alike.
func final(kind fault.Kind) bool {
	switch kind {
	case fault.NotFound, fault.Conflict, fault.InvalidArgument:
		return true
	}
	return false
}

func (c *Client) unanswered(doubt bool) error {
	if doubt {
		return fault.New(fault.OutcomeUnknown, "no store answered the call in time; it may have taken effect",
			"repeat the call; it takes effect once").WithRetryAfter(comeBack)
	}
	return fault.New(fault.Unavailable, "no store that leads the job's shard was reached", "repeat the call later").
		WithRan(fault.NotRun).WithRetryAfter(comeBack)
}

func (c *Client) once(ctx context.Context, address string, wait time.Duration, attempt func(context.Context, rockwindpb.JobStoreService) error) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+wait)
	defer cancel()
	return attempt(ctx, rockwindpb.NewJobStoreServiceProtobufClient("http://"+address, twirphttp.Client{Carrier: c.client}))
}

// pick returns the shard of a job and the store to ask: its leader where it is
// known, else the members in turn.
func (c *Client) pick(job string) (shard uint32, address string, known bool) {
	view := c.watcher.Directory()
	if view == nil || view.StoreCluster() == nil {
		return 0, "", false
	}
	shard = jobstore.ShardOf(job, len(view.StoreCluster().GetGroups()))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if leader := c.leaders[shard]; leader != "" {
		return shard, leader, true
	}
	stores := c.watcher.Stores()
	if len(stores) == 0 {
		return shard, "", false
	}
	c.rotate++
	now := time.Now()
	for offset := range stores {
		address := stores[(int(shard)+c.rotate+offset)%len(stores)].GetAddress()
		if now.After(c.avoided[address]) {
			return shard, address, true
		}
	}
	return shard, stores[c.rotate%len(stores)].GetAddress(), true
}

func (c *Client) remember(shard uint32, leader string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaders[shard] = leader
}

// follow takes the hint of a store that does not lead, or forgets a leader that
// failed.
func (c *Client) follow(shard uint32, asked string, failure *fault.Fault) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case failure.Kind == fault.NotLeader && failure.Leader != "" && failure.Leader != asked:
		c.leaders[shard] = failure.Leader
	case c.leaders[shard] == asked:
		delete(c.leaders, shard)
	}
	if failure.Kind != fault.NotLeader {
		c.avoided[asked] = time.Now().Add(avoidance)
	}
}
