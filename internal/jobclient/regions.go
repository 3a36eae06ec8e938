package jobclient

import (
	"bytes"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

const (
	// findTimeout bounds the search for an earlier submission of a job in shards that are not known to
	// take jobs of its tenant. It is several times the latency between regions.
	findTimeout = 150 * time.Millisecond
	// regionRetryAfter is the advice to callers if no store of a region is reached. Machines take
	// about a second to start.
	regionRetryAfter = time.Second
	// downDuration is how long submissions are refused without an attempt after no store of their
	// region was reached.
	downDuration = 300 * time.Millisecond
	// maxKnownRegions bounds the number of jobs whose shards are remembered.
	maxKnownRegions = 8192
)

// AllowedRegions returns the regions to which the current configuration restricts the jobs of a tenant, for
// each route that accepts jobs.
type AllowedRegions func(tenant string) []topology.RegionSet

// regionalState is what a Client knows of regional shards. The mutex of the Client guards the maps.
type regionalState struct {
	// allowed and history are set by UseRegions and UseRegionHistory.
	allowed AllowedRegions
	history RegionHistory
	// knownRegions holds the regions of the shards that have recently used jobs, empty for the
	// ordinary shard of a job.
	knownRegions map[string]string
	// downUntil holds until when a regional shard counts as down, because none of its stores was
	// reached.
	downUntil map[uint32]time.Time
	// lost holds the regional shards whose data was lost at the latest check.
	lost       map[uint32]bool
	lossChecks singleflight.Group
}

func newRegionalState() *regionalState {
	return &regionalState{knownRegions: make(map[string]string), downUntil: make(map[uint32]time.Time), lost: make(map[uint32]bool)}
}

// UseRegions sets the allowed regions by which jobs are looked up. It must be called before the client is used.
func (c *Client) UseRegions(allowed AllowedRegions) { c.allowed = allowed }

// RegionHistory provides the regions to which configurations have restricted jobs. Jobs that were submitted under
// an earlier one may be there.
type RegionHistory struct {
	// OfJob returns those of the jobs of a tenant at an address.
	OfJob func(host, path, tenant string) []topology.RegionSet
	// OfTenant returns those of all jobs of a tenant.
	OfTenant func(tenant string) []topology.RegionSet
}

// UseRegionHistory sets the history by which a search for a job has to wait for shards that do not answer. It must
// be called before the client is used. Without it, the allowed regions of UseRegions count.
func (c *Client) UseRegionHistory(history RegionHistory) { c.history = history }

// SubmitWithin is Submit for a job that may be stored in some regions only. A restricted job goes to
// the regional shard of one of them, and straight to a store of that region. If no such store can be
// reached the job is refused at once, as not run.
func (c *Client) SubmitWithin(ctx context.Context, job *rockwindpb.StoredJob, neededConfig uint64, allowed topology.RegionSet) error {
	view := c.site.Directory()
	region, err := c.place(view, job.GetId(), allowed)
	if err != nil {
		return err
	}
	maybeSubmitted := false
	if c.mayBeElsewhere(view, job, allowed) {
		found, err := c.findElsewhere(ctx, view, job, region)
		if found == submittedBefore || err != nil {
			return err
		}
		maybeSubmitted = found == maybeSubmittedBefore
	}
	request := &rockwindpb.SubmitStoredJobRequest{Job: job, Configuration: neededConfig, Region: region}
	shard := shardIn(job.GetId(), region)
	response, err := unlessLost(ctx, c, shard(view), nil, func() (*rockwindpb.SubmitStoredJobResponse, error) {
		return call(ctx, c, shard, 0, func(ctx context.Context, service storeClient) (*rockwindpb.SubmitStoredJobResponse, error) {
			return service.Submit(ctx, request)
		})
	})
	switch {
	case err == nil && response == nil:
		return shardLost(region)
	case err == nil:
		c.remember(view, job.GetId(), region)
	}
	if maybeSubmitted && fault.Is(err, fault.LimitReached) {
		// A shard that did not answer the search may have accepted the job, so it must not be reported as
		// refused.
		return c.unansweredError(true)
	}
	return err
}

// shardIn selects the shard of a region, or the ordinary shard of a job if the region is empty. The
// shards of a site do not change.
func shardIn(job, region string) shardSelector {
	return func(view *directory.View) uint32 {
		if shard, found := view.RegionalShard(region); found {
			return shard
		}
		return jobstore.ShardOf(job, view.Shards())
	}
}

// place returns the region whose shard takes a job, empty for the ordinary shard. It fails if none of
// the allowed regions has a shard, unless all stores of the site are in allowed regions, and if the
// shard that takes the job is known to be down.
func (c *Client) place(view *directory.View, job string, allowed topology.RegionSet) (string, error) {
	if !allowed.Restricted() {
		return "", nil
	}
	if view.StoreCluster() == nil {
		return "", c.unansweredError(false)
	}
	region, found := regionIn(view, job, allowed)
	if !found && c.allStoresIn(view, allowed) {
		return "", nil
	}
	if !found {
		return "", fault.Newf(fault.Unavailable, "allow a region that had a store when the site was founded",
			"none of the allowed regions %v has a shard", allowed.Names()).WithRan(fault.NotRun).WithRetryAfter(regionRetryAfter)
	}
	shard, _ := view.RegionalShard(region)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if time.Now().Before(c.downUntil[shard]) {
		return "", regionUnreachable(region)
	}
	return region, nil
}

// regionIn returns the region of a job among those of the allowed regions that have a shard.
func regionIn(view *directory.View, job string, allowed topology.RegionSet) (string, bool) {
	var regions []string
	for _, region := range allowed.Names() {
		if _, found := view.RegionalShard(region); found {
			regions = append(regions, region)
		}
	}
	return jobstore.RegionOf(job, regions), len(regions) > 0
}

// allStoresIn reports whether a site without regional shards has stores in allowed regions only. This is
// so on a site with one region, whose jobs are in ordinary shards.
func (c *Client) allStoresIn(view *directory.View, allowed topology.RegionSet) bool {
	stores := c.site.Stores()
	return len(view.RegionalShards()) == 0 && len(stores) > 0 && !slices.ContainsFunc(stores, func(store *rockwindpb.Machine) bool {
		return !allowed.Allows(c.sites.Region(store.GetZone()))
	})
}

func regionUnreachable(region string) error {
	return fault.Newf(fault.Unavailable, "repeat the call later", "no store of region %s was reached", region).
		WithRan(fault.NotRun).WithRetryAfter(regionRetryAfter)
}

func shardLost(region string) error {
	return fault.Newf(fault.Unavailable, "allow another region", "the shard of region %s has lost its data", region).
		WithRan(fault.NotRun).WithRetryAfter(regionRetryAfter)
}

// mayBeElsewhere reports whether a job may have been submitted to another shard before, under another
// configuration. Sites without restricted jobs skip the search.
func (c *Client) mayBeElsewhere(view *directory.View, job *rockwindpb.StoredJob, allowed topology.RegionSet) bool {
	if len(view.RegionalShards()) == 0 {
		return false
	}
	return allowed.Restricted() || slices.ContainsFunc(c.regionsOf(job), topology.RegionSet.Restricted) ||
		slices.ContainsFunc(c.allowedSets(job.GetTenant()), topology.RegionSet.Restricted)
}

// allowedSets returns the regions to which the current configuration restricts the jobs of a tenant, for
// each route that accepts jobs.
func (c *Client) allowedSets(tenant string) []topology.RegionSet {
	if c.allowed == nil {
		return nil
	}
	return c.allowed(tenant)
}

// regionsOf returns the regions to which the job is or was restricted, as far as this process knows.
func (c *Client) regionsOf(job *rockwindpb.StoredJob) []topology.RegionSet {
	if c.history.OfJob == nil {
		return c.allowedSets(job.GetTenant())
	}
	return c.history.OfJob(job.GetHost(), job.GetPath(), job.GetTenant())
}

// regionsOfTenant returns the regions to which jobs of the tenant are or were restricted.
func (c *Client) regionsOfTenant(tenant string) []topology.RegionSet {
	if c.history.OfTenant == nil {
		return c.allowedSets(tenant)
	}
	return c.history.OfTenant(tenant)
}

// mayHold reports whether the shard of a region may have jobs that are or were restricted to sets of regions.
// Ordinary shards may.
func mayHold(region string, sets []topology.RegionSet) bool {
	return region == "" || slices.ContainsFunc(sets, func(allowed topology.RegionSet) bool {
		return slices.Contains(allowed.Names(), region)
	})
}

// earlierSubmission is what a search found out about an earlier submission of a job.
type earlierSubmission int

const (
	notSubmittedBefore earlierSubmission = iota
	// maybeSubmittedBefore: no shard that may have the job has it, and another shard did not answer.
	maybeSubmittedBefore
	submittedBefore
)

// findElsewhere searches the shards other than that of a region for a job, so that it is not stored twice. It
// fails with fault.Conflict if another job has its identifier, and with fault.OutcomeUnknown if a shard that
// may have the job does not answer, as during an election: the job is only stored once it is known not to be there.
func (c *Client) findElsewhere(ctx context.Context, view *directory.View, job *rockwindpb.StoredJob, region string) (earlierSubmission, error) {
	others := places(view, region)
	sets := c.regionsOf(job)
	likely := slices.DeleteFunc(slices.Clone(others), func(region string) bool { return !mayHold(region, sets) })
	unlikely := slices.DeleteFunc(others, func(region string) bool { return mayHold(region, sets) })
	shortly, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	further := make(chan error, 1)
	var there location
	go func() {
		var err error
		there, err = c.locate(shortly, job.GetId(), unlikely)
		further <- err
	}()
	found, err := c.locate(ctx, job.GetId(), likely)
	if err == nil {
		cancel()
	}
	furtherErr := <-further
	if err != nil && furtherErr == nil {
		found, err = there, nil
	}
	switch {
	case err == nil && !bytes.Equal(found.digest, job.GetDigest()):
		return notSubmittedBefore, fault.Newf(fault.Conflict, "use a unique identifier for each job", "identifier %q is in use by another job", job.GetId()).
			WithRan(fault.NotRun)
	case err == nil:
		c.remember(view, job.GetId(), found.region)
		return submittedBefore, nil
	case !fault.Is(err, fault.NotFound):
		return maybeSubmittedBefore, c.unansweredError(true)
	case !fault.Is(furtherErr, fault.NotFound):
		return maybeSubmittedBefore, nil
	}
	return notSubmittedBefore, nil
}

// EndCopies ends the copies of a job in the shards other than that of a region. There are some if the job was
// submitted at two routers with different configurations at the same time. It fails if a shard does not answer.
func (c *Client) EndCopies(ctx context.Context, id, tenant, region string) error {
	return c.endCopies(ctx, id, tenant, region, func(string) bool { return true })
}

// endCopies is EndCopies, but only shards that are required have to answer.
func (c *Client) endCopies(ctx context.Context, id, tenant, region string, required func(region string) bool) error {
	var ending errgroup.Group
	for _, other := range places(c.site.Directory(), region) {
		ending.Go(func() error {
			if required(other) {
				return c.endCopy(ctx, id, tenant, other)
			}
			ctx, cancel := context.WithTimeout(ctx, findTimeout)
			defer cancel()
			_ = c.endCopy(ctx, id, tenant, other)
			return nil
		})
	}
	return ending.Wait()
}

// endCopy ends the copy of a job in the shard of a region, if it has one.
func (c *Client) endCopy(ctx context.Context, id, tenant, region string) error {
	found, err := c.find(ctx, region, id)
	if err != nil || !found.GetFound() {
		return err
	}
	_, err = call(ctx, c, shardIn(id, region), 0, func(ctx context.Context, service storeClient) (*rockwindpb.EndStoredJobResponse, error) {
		return service.End(ctx, &rockwindpb.EndStoredJobRequest{Id: id, Tenant: tenant, Region: region})
	})
	if fault.Is(err, fault.NotFound) || fault.Is(err, fault.Unauthenticated) {
		// The copy has been dropped, or the job is that of another tenant.
		return nil
	}
	return err
}

// places lists the regions of all shards that may have a job, without the excluded ones. The empty
// string stands for the job's ordinary shard.
func places(view *directory.View, excluded ...string) []string {
	all := []string{""}
	for _, group := range view.RegionalShards() {
		all = append(all, group.GetRegion())
	}
	return slices.DeleteFunc(all, func(region string) bool { return slices.Contains(excluded, region) })
}

// locate asks the shards of the given regions for a job. It returns the region of the one that has
// the job, or if none answers so, the region that the marker of a moved job names. It fails with
// fault.NotFound if all shards answered that they have neither.
func (c *Client) locate(ctx context.Context, id string, regions []string) (location, error) {
	type answer struct {
		region   string
		response *rockwindpb.FindStoredJobResponse
		err      error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(regions))
	for _, each := range regions {
		go func() {
			response, err := c.find(ctx, each, id)
			answers <- answer{region: each, response: response, err: err}
		}()
	}
	unanswered := false
	var marker *rockwindpb.FindStoredJobResponse
	for range regions {
		switch got := <-answers; {
		case got.err != nil:
			unanswered = true
		case got.response.GetFound():
			return location{region: got.region, digest: got.response.GetDigest()}, nil
		case got.response.GetMoved() && got.response.GetMove().GetNumber() > marker.GetMove().GetNumber():
			// The marker of the latest move is the most likely to name the shard that has the job.
			marker = got.response
		}
	}
	if marker != nil {
		return location{region: marker.GetMove().GetRegion(), digest: marker.GetDigest(), marked: true}, nil
	}
	if unanswered {
		return location{}, fault.New(fault.Unavailable, "not all shards that may have the job answered", "repeat the call later").
			WithRan(fault.NotRun).WithRetryAfter(retryAfter)
	}
	return location{}, fault.Newf(fault.NotFound, "check the identifier of the job", "no job has the identifier %q", id)
}

// jobCall makes a call about a job at a store, for the shard of a region.
type jobCall[T any] func(ctx context.Context, service storeClient, region string) (T, error)

// callJob makes a call about a job whose regions are not known to the caller. It asks the shard that
// is likely to have the job, and if that does not have it or does not answer, searches all others.
func callJob[T any](ctx context.Context, c *Client, id, tenant string, wait time.Duration, attempt jobCall[T]) (T, error) {
	at := func(region string) (T, error) {
		return call(ctx, c, shardIn(id, region), wait, func(ctx context.Context, service storeClient) (T, error) {
			return attempt(ctx, service, region)
		})
	}
	view := c.site.Directory()
	if len(view.RegionalShards()) == 0 {
		return at("")
	}
	first := c.likelyRegion(view, id, tenant)
	value, err := at(first)
	if err == nil {
		c.remember(view, id, first)
		return value, nil
	}
	failure := fault.From(err)
	missing := failure.Kind == fault.NotFound
	if (isFinal(failure.Kind) && !missing) || ctx.Err() != nil {
		return value, err
	}
	excluded := []string{first}
	if missing {
		// The shard may have the job but not the item that was asked for.
		excluded = nil
	}
	found, searchErr := c.locate(ctx, id, places(view, excluded...))
	switch {
	case searchErr != nil && missing:
		return value, searchErr
	case searchErr != nil:
		return value, err
	case found.region == first && !missing:
		return value, err
	}
	value, err = at(found.region)
	if err == nil {
		c.remember(view, id, found.region)
		return value, nil
	}
	if !fault.Is(err, fault.NotFound) {
		return value, err
	}
	if !found.marked {
		// The shard lacks the item, or the job has moved since.
		again, searchErr := c.locate(ctx, id, places(view))
		if searchErr == nil && again.region == found.region && !again.marked {
			return value, err
		}
	}
	return value, beingMoved(id)
}

// likelyRegion returns the region of the shard that had a job when it was last used, otherwise of the
// one that takes jobs of the tenant under the current configuration.
func (c *Client) likelyRegion(view *directory.View, id, tenant string) string {
	c.mutex.Lock()
	region, known := c.knownRegions[id]
	c.mutex.Unlock()
	if known {
		return region
	}
	for _, allowed := range c.allowedSets(tenant) {
		if !allowed.Restricted() {
			return ""
		}
		if region, found := regionIn(view, id, allowed); found {
			return region
		}
	}
	return ""
}

// remember notes the region of the shard that has a job.
func (c *Client) remember(view *directory.View, id, region string) {
	if len(view.RegionalShards()) == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.knownRegions) >= maxKnownRegions {
		clear(c.knownRegions)
	}
	c.knownRegions[id] = region
}

// storesOf lists the stores of a region, or all if the region is empty.
func (c *Client) storesOf(region string) []*rockwindpb.Machine {
	stores := c.site.Stores()
	if region == "" {
		return stores
	}
	var inRegion []*rockwindpb.Machine
	for _, store := range stores {
		if c.sites.Region(store.GetZone()) == region {
			inRegion = append(inRegion, store)
		}
	}
	return inRegion
}

// mayAsk reports whether the store at an address may be asked about a shard of a region. Stores of
// other regions must not receive the bodies of jobs, whatever store names them as the leader.
func (c *Client) mayAsk(address, region string) bool {
	return region == "" || slices.ContainsFunc(c.storesOf(region), func(store *rockwindpb.Machine) bool {
		return store.GetAddress() == address
	})
}

// region returns the region of the call's shard, empty for an ordinary shard.
func (c *callRun[T]) region() (region string, shard uint32) {
	view := c.client.site.Directory()
	if view.StoreCluster() == nil {
		return "", 0
	}
	shard = c.selectShard(view)
	return view.ShardRegion(shard), shard
}

// regionDown reports whether the call is for a regional shard and none of the region's stores could be
// connected to, and returns the error for the caller. Calls for ordinary shards, whose stores are in
// several regions, wait for a store instead.
func (c *callRun[T]) regionDown() (bool, error) {
	region, shard := c.region()
	if region == "" || len(c.pending) > 0 || c.mayHaveRun {
		return false, nil
	}
	for _, store := range c.client.storesOf(region) {
		if !c.unreached[store.GetAddress()] {
			return false, nil
		}
	}
	c.client.mutex.Lock()
	defer c.client.mutex.Unlock()
	c.client.downUntil[shard] = time.Now().Add(downDuration)
	return true, regionUnreachable(region)
}

// maybeSent reports whether a failed attempt may have reached its store. Ordinary calls assume so for
// each attempt.
func (c *callRun[T]) maybeSent(sent bool) bool {
	region, _ := c.region()
	return sent || region == ""
}

// pendingMayRun reports whether an attempt in progress may have reached its store. It ends the attempts
// of calls for regional shards, since one may get a connection until it has ended.
func (c *callRun[T]) pendingMayRun() bool {
	if region, _ := c.region(); region == "" {
		return len(c.pending) > 0
	}
	c.cancel()
	mayRun := false
	for range c.pending {
		result := <-c.results
		mayRun = mayRun || result.sent
	}
	return mayRun
}
