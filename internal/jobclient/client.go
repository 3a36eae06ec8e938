// Package jobclient makes calls to the stores of a site. It finds the leader of a job's shard and
// retries calls while leaders change. All calls are idempotent: a job is accepted once under its
// identifier.
package jobclient

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/quota"
	"rockwind.example/rockwind/internal/requestrate"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/twirphttp"
)

const (
	// attemptTimeout bounds one attempt, in addition to the wait that the call requests.
	attemptTimeout = 700 * time.Millisecond
	// hedgeAfter is the time without an answer, in addition to the requested wait, after which
	// another store is asked concurrently: the leader may have failed and another one may be
	// elected.
	hedgeAfter = 120 * time.Millisecond
	// unresponsiveAfter is the time without an answer after which a store counts as unresponsive
	// when the call is canceled. It is ten times the latency between zones.
	unresponsiveAfter = 40 * time.Millisecond
	// maxConcurrentAttempts bounds the concurrent attempts of a call.
	maxConcurrentAttempts = 3
	// avoidDuration is how long a store that did not answer is tried after the others.
	avoidDuration = time.Second
	// retryAfter is the advice to callers if no leader was reached.
	retryAfter = 300 * time.Millisecond
)

// Stores provides the stores of a site. site.Watcher implements it.
type Stores interface {
	// Directory returns the latest known directory, nil if there is none yet.
	Directory() *directory.View
	// Stores lists the machines that run a store.
	Stores() []*rockwindpb.Machine
}

// Client makes calls to the stores of a site. It is safe for concurrent use.
type Client struct {
	site   Stores
	client *http.Client
	*regionalState

	mutex sync.Mutex
	// leaders has the address of the last known leader of each shard.
	leaders  map[uint32]string
	rotation int
	// avoidedUntil holds until when stores that did not answer are tried after the others.
	avoidedUntil map[string]time.Time
	// declinedUntil holds until when followers are not asked for results.
	declinedUntil map[replica]time.Time
	// shuttingDown is closed by BeginShutdown.
	shuttingDown chan struct{}
	shutdownOnce sync.Once

	// zone and sites are set by PreferNear. Without it the site counts as one region.
	zone  string
	sites topology.Map
}

// New returns a client of the given stores.
func New(site Stores, client *http.Client) *Client {
	return &Client{
		site: site, client: client, leaders: make(map[uint32]string), avoidedUntil: make(map[string]time.Time), declinedUntil: make(map[replica]time.Time), shuttingDown: make(chan struct{}),
		regionalState: newRegionalState(),
	}
}

// BeginShutdown shortens the deadlines of all calls, including those in progress, because the
// process is shutting down.
func (c *Client) BeginShutdown() { c.shutdownOnce.Do(func() { close(c.shuttingDown) }) }

// PreferNear sets the zone of the process and the topology of the site. On a site with several regions,
// near stores are then asked first while it is not known which store leads a shard. It must be called
// before the client is used.
func (c *Client) PreferNear(zone string, sites topology.Map) { c.zone, c.sites = zone, sites }

// inOrder returns stores in the order in which they are asked: the nearest first, each distance in
// rotation.
func (c *Client) inOrder(stores []*rockwindpb.Machine, first int) []*rockwindpb.Machine {
	ordered := make([]*rockwindpb.Machine, 0, len(stores))
	for offset := range stores {
		ordered = append(ordered, stores[(first+offset)%len(stores)])
	}
	if c.sites.MultiRegion() {
		slices.SortStableFunc(ordered, func(a, b *rockwindpb.Machine) int {
			return cmp.Compare(c.sites.Distance(c.zone, a.GetZone()), c.sites.Distance(c.zone, b.GetZone()))
		})
	}
	return ordered
}

// Submit submits a job. It returns once a quorum has synced it to disk. It fails with
// fault.OutcomeUnknown if the job may have been accepted without an acknowledgement, and with
// fault.LimitReached if it exceeds the token limit of its route. neededConfig is the number of the
// configuration that a store must have to take the job, zero if any will do.
func (c *Client) Submit(ctx context.Context, job *rockwindpb.StoredJob, neededConfig uint64) error {
	return c.SubmitWithin(ctx, job, neededConfig, topology.RegionSet{})
}

// Read returns results of a job; see jobstore.Machine.Read. On a site with several regions they may
// come from a follower in the own region and lack those of the last second.
func (c *Client) Read(ctx context.Context, request *rockwindpb.ReadStoredJobRequest) (*rockwindpb.ReadStoredJobResponse, error) {
	response, waited := c.readNear(ctx, request)
	if response != nil {
		return response, nil
	}
	wait := max(0, time.Duration(request.GetWaitMs())*time.Millisecond-waited)
	return callJob(ctx, c, request.GetId(), request.GetTenant(), wait, func(ctx context.Context, service storeClient, region string) (*rockwindpb.ReadStoredJobResponse, error) {
		request := proto.CloneOf(request)
		request.Region, request.WaitMs = region, uint32(wait.Milliseconds())
		return service.Read(ctx, request)
	})
}

// ReadBody returns the body of an item that has no result yet.
func (c *Client) ReadBody(ctx context.Context, request *rockwindpb.ReadItemBodyRequest) ([]byte, error) {
	response, err := callJob(ctx, c, request.GetJob(), request.GetTenant(), 0, func(ctx context.Context, service storeClient, region string) (*rockwindpb.ReadItemBodyResponse, error) {
		request := proto.CloneOf(request)
		request.Region = region
		return service.ReadBody(ctx, request)
	})
	return response.GetBody(), err
}

// End ends a job of a tenant and its copies, as far as shards may have some. Once it returns, no further item of
// the job is started. The leader of the job's shard ends copies that are found later.
func (c *Client) End(ctx context.Context, id, tenant string) error {
	var mutex sync.Mutex
	endedIn := ""
	_, err := callJob(ctx, c, id, tenant, 0, func(ctx context.Context, service storeClient, region string) (*rockwindpb.EndStoredJobResponse, error) {
		response, err := service.End(ctx, &rockwindpb.EndStoredJobRequest{Id: id, Tenant: tenant, Region: region})
		if err == nil {
			mutex.Lock()
			defer mutex.Unlock()
			endedIn = region
		}
		return response, err
	})
	if err != nil || len(c.site.Directory().RegionalShards()) == 0 {
		return err
	}
	mutex.Lock()
	defer mutex.Unlock()
	sets := c.regionsOfTenant(tenant)
	return c.endCopies(ctx, id, tenant, endedIn, func(region string) bool { return mayHold(region, sets) })
}

// TakeRequest requests admission of a request from the owner of its tenant's rate.
func (c *Client) TakeRequest(ctx context.Context, request *rockwindpb.TakeRequestsRequest) (*rockwindpb.TakeRequestsResponse, error) {
	owner := func(view *directory.View) uint32 { return requestrate.OwnerOf(request.GetTenant(), view.Shards()) }
	return call(ctx, c, owner, 0, func(ctx context.Context, service storeClient) (*rockwindpb.TakeRequestsResponse, error) {
		return service.rates.Take(ctx, request)
	})
}

// Reserve reserves the tokens of a job at the owner of a route's token count. If they exceed the
// limit it fails with fault.LimitReached and a RetryAfter.
func (c *Client) Reserve(ctx context.Context, request *rockwindpb.ReserveTokensRequest) (*rockwindpb.ReserveTokensResponse, error) {
	owner := func(view *directory.View) uint32 {
		return quota.OwnerOf(quota.AccountKey(request.GetRoute(), request.GetTenant()), view.Shards())
	}
	return call(ctx, c, owner, 0, func(ctx context.Context, service storeClient) (*rockwindpb.ReserveTokensResponse, error) {
		return service.limits.Reserve(ctx, request)
	})
}

// Report asks the leader of a shard for the tokens that wait there on a route. None wait in a shard whose data is lost.
func (c *Client) Report(ctx context.Context, request *rockwindpb.ReportTokensRequest) (*rockwindpb.ReportTokensResponse, error) {
	shard := func(*directory.View) uint32 { return request.GetShard() }
	return unlessLost(ctx, c, request.GetShard(), &rockwindpb.ReportTokensResponse{}, func() (*rockwindpb.ReportTokensResponse, error) {
		return call(ctx, c, shard, 0, func(ctx context.Context, service storeClient) (*rockwindpb.ReportTokensResponse, error) {
			return service.limits.Report(ctx, request)
		})
	})
}

// store returns the clients of the store at an address.
func (c *Client) store(address string) storeClient {
	client := twirphttp.Client{HTTPClient: c.client}
	return storeClient{
		JobStoreService: rockwindpb.NewJobStoreServiceProtobufClient("http://"+address, client),
		limits:          rockwindpb.NewTokenLimitServiceProtobufClient("http://"+address, client),
		rates:           rockwindpb.NewRequestRateServiceProtobufClient("http://"+address, client),
		moves:           rockwindpb.NewJobMoveServiceProtobufClient("http://"+address, client),
		replicas:        rockwindpb.NewReplicaServiceProtobufClient("http://"+address, client),
	}
}

// isFinal reports whether another attempt would fail in the same way.
func isFinal(kind fault.Kind) bool {
	switch kind {
	case fault.NotFound, fault.Conflict, fault.InvalidArgument, fault.LimitReached, fault.Stale, fault.Unauthenticated:
		return true
	}
	return false
}

// unansweredError returns the error of a call that got no result.
func (c *Client) unansweredError(mayHaveRun bool) error {
	if mayHaveRun {
		return fault.New(fault.OutcomeUnknown, "no store answered the call in time; it may have taken effect",
			"repeat the call; it takes effect once").WithRetryAfter(retryAfter)
	}
	return fault.New(fault.Unavailable, "no store that leads the job's shard was reached", "repeat the call later").
		WithRan(fault.NotRun).WithRetryAfter(retryAfter)
}

// selectStore returns the shard of a call and a store to ask that is not excluded: the shard's
// leader if it is known, otherwise one of all stores in the order of inOrder.
func (c *Client) selectStore(selectShard shardSelector, excluded func(address string) bool) (shard uint32, address string, known bool) {
	view := c.site.Directory()
	if view == nil || view.StoreCluster() == nil {
		return 0, "", false
	}
	shard = selectShard(view)
	region := view.ShardRegion(shard)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if leader := c.leaders[shard]; leader != "" && !excluded(leader) && c.mayAsk(leader, region) {
		return shard, leader, true
	}
	// The list is only built if needed, because each request of a tenant with a limit makes a
	// call.
	stores := c.storesOf(region)
	c.rotation++
	now := time.Now()
	for _, store := range c.inOrder(stores, int(shard)+c.rotation) {
		candidate := store.GetAddress()
		if excluded(candidate) {
			continue
		}
		if now.After(c.avoidedUntil[candidate]) {
			return shard, candidate, true
		}
		address = candidate
	}
	return shard, address, address != ""
}

func (c *Client) setLeader(shard uint32, leader string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaders[shard] = leader
	delete(c.downUntil, shard)
}

// recordFailure takes over the leader that a store names, or forgets a leader that failed. Stores
// that did not answer are avoided for some time.
func (c *Client) recordFailure(shard uint32, asked string, failure *fault.Fault) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case failure.Kind == fault.NotLeader && failure.Leader != "" && failure.Leader != asked:
		c.leaders[shard] = failure.Leader
	case c.leaders[shard] == asked:
		delete(c.leaders, shard)
	}
	if failure.Kind != fault.NotLeader {
		c.avoidedUntil[asked] = time.Now().Add(avoidDuration)
	}
}
