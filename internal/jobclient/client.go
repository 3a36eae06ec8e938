// Package jobclient calls the stores: it finds the leader of the shard that holds
// a job and repeats calls while leaders change. Every call may be repeated: a job
// is taken once under its identifier.
package jobclient

import (
	"context"
	"net/http"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/quota"
	"rockwind.example/rockwind/internal/requestrate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/twirphttp"
)

const (
	// attemptTimeout bounds one attempt, beyond what the call waits by design.
	attemptTimeout = 700 * time.Millisecond
	// hedgeAfter is the time without an answer, beyond what the call waits by design,
	// after which another store is asked too: the leader may have lost its power, and
	// another store may lead already.
	hedgeAfter = 120 * time.Millisecond
	// silentAfter is the time without an answer after which a store that was asked counts as
	// silent when the caller gives up: ten times what an answer from another zone takes.
	silentAfter = 40 * time.Millisecond
	// maximumAsked is how many stores are asked at a time.
	maximumAsked = 3
	// avoidance is how long a store that did not answer is asked after the others.
	avoidance = time.Second
	// comeBack is the time to come back that is told where no leader was reached.
	comeBack = 300 * time.Millisecond
)

// Stores tells which stores a site has. A site.Watcher is one.
type Stores interface {
	// Directory is the newest directory that is known, nil before the first.
	Directory() *directory.View
	// Stores lists the machines that keep jobs.
	Stores() []*rockwindpb.Machine
}

// Client calls the stores of a site. It is safe for concurrent use.
type Client struct {
	site   Stores
	client *http.Client

	mutex   sync.Mutex
	leaders map[uint32]string
	rotate  int
	// avoided holds until when stores that did not answer are asked after the others.
	avoided map[string]time.Time
	// leaving is closed once this process leaves.
	leaving chan struct{}
	leave   sync.Once
}

// New returns a client of the given stores.
func New(site Stores, client *http.Client) *Client {
	return &Client{
		site: site, client: client, leaders: make(map[uint32]string), avoided: make(map[string]time.Time), leaving: make(chan struct{}),
	}
}

// BeginShutdown has all calls end soon, those that are under way as well: this process leaves.
func (c *Client) BeginShutdown() { c.leave.Do(func() { close(c.leaving) }) }

// Submit hands a job over. It returns once enough copies are synced. It fails with
// fault.OutcomeUnknown where the job may have been taken although no answer says so, and
// with fault.LimitReached where it does not fit below the limit of its route. Limited is
// the number of the configuration by which the route has one, else zero.
func (c *Client) Submit(ctx context.Context, job *rockwindpb.StoredJob, limited uint64) error {
	request := &rockwindpb.SubmitStoredJobRequest{Job: job, Configuration: limited}
	_, err := call(ctx, c, shardOf(job.GetId()), 0, func(ctx context.Context, service store) (*rockwindpb.SubmitStoredJobResponse, error) {
		return service.Submit(ctx, request)
	})
	return err
}

// Read returns results of a job; see jobstore.Machine.Read.
func (c *Client) Read(ctx context.Context, request *rockwindpb.ReadStoredJobRequest) (*rockwindpb.ReadStoredJobResponse, error) {
	wait := time.Duration(request.GetWaitMs()) * time.Millisecond
	return call(ctx, c, shardOf(request.GetId()), wait, func(ctx context.Context, service store) (*rockwindpb.ReadStoredJobResponse, error) {
		return service.Read(ctx, request)
	})
}

// ReadBody returns the body of an item that has no result yet.
func (c *Client) ReadBody(ctx context.Context, request *rockwindpb.ReadItemBodyRequest) ([]byte, error) {
	response, err := call(ctx, c, shardOf(request.GetJob()), 0, func(ctx context.Context, service store) (*rockwindpb.ReadItemBodyResponse, error) {
		return service.ReadBody(ctx, request)
	})
	return response.GetBody(), err
}

// End ends a job of a tenant: once it returns nothing more of it is begun.
func (c *Client) End(ctx context.Context, id, tenant string) error {
	_, err := call(ctx, c, shardOf(id), 0, func(ctx context.Context, service store) (*rockwindpb.EndStoredJobResponse, error) {
		return service.End(ctx, &rockwindpb.EndStoredJobRequest{Id: id, Tenant: tenant})
	})
	return err
}

// TakeRequest asks the owner of a tenant's rate for a request.
func (c *Client) TakeRequest(ctx context.Context, request *rockwindpb.TakeRequestsRequest) (*rockwindpb.TakeRequestsResponse, error) {
	owner := func(shards int) uint32 { return requestrate.OwnerOf(request.GetTenant(), shards) }
	return call(ctx, c, owner, 0, func(ctx context.Context, service store) (*rockwindpb.TakeRequestsResponse, error) {
		return service.rates.Take(ctx, request)
	})
}

// Reserve asks the owner of a route's count for the tokens of a job. It fails with
// fault.LimitReached where they do not fit, and says when to come back.
func (c *Client) Reserve(ctx context.Context, request *rockwindpb.ReserveTokensRequest) (*rockwindpb.ReserveTokensResponse, error) {
	owner := func(shards int) uint32 {
		return quota.OwnerOf(quota.AccountKey(request.GetRoute(), request.GetTenant()), shards)
	}
	return call(ctx, c, owner, 0, func(ctx context.Context, service store) (*rockwindpb.ReserveTokensResponse, error) {
		return service.limits.Reserve(ctx, request)
	})
}

// Report asks the leader of a shard for the tokens that wait there on a route.
func (c *Client) Report(ctx context.Context, request *rockwindpb.ReportTokensRequest) (*rockwindpb.ReportTokensResponse, error) {
	shard := func(int) uint32 { return request.GetShard() }
	return call(ctx, c, shard, 0, func(ctx context.Context, service store) (*rockwindpb.ReportTokensResponse, error) {
		return service.limits.Report(ctx, request)
	})
}

// store is the one at an address.
func (c *Client) store(address string) store {
	carrier := twirphttp.Client{Carrier: c.client}
	return store{
		JobStoreService: rockwindpb.NewJobStoreServiceProtobufClient("http://"+address, carrier),
		limits:          rockwindpb.NewTokenLimitServiceProtobufClient("http://"+address, carrier),
		rates:           rockwindpb.NewRequestRateServiceProtobufClient("http://"+address, carrier),
	}
}

// final tells whether another attempt would end alike.
func final(kind fault.Kind) bool {
	switch kind {
	case fault.NotFound, fault.Conflict, fault.InvalidArgument, fault.LimitReached, fault.Stale, fault.Unauthenticated:
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

// pick returns the shard of a call and a store to ask that is not passed over: the shard's
// leader where it is known, else the members in turn.
func (c *Client) pick(at target, passOver func(address string) bool) (shard uint32, address string, known bool) {
	view := c.site.Directory()
	if view == nil || view.StoreCluster() == nil {
		return 0, "", false
	}
	shard = at(len(view.StoreCluster().GetGroups()))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if leader := c.leaders[shard]; leader != "" && !passOver(leader) {
		return shard, leader, true
	}
	// Found only where it is needed: each request of a tenant with a limit makes a call.
	stores := c.site.Stores()
	c.rotate++
	now := time.Now()
	for offset := range stores {
		candidate := stores[(int(shard)+c.rotate+offset)%len(stores)].GetAddress()
		if passOver(candidate) {
			continue
		}
		if now.After(c.avoided[candidate]) {
			return shard, candidate, true
		}
		address = candidate
	}
	return shard, address, address != ""
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
