package jobclient_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobclient"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// regionalSite is a site with two stores in each of two regions. The jobs of a shard are shared by the
// stores that hold it, each of which answers like a leader.
type regionalSite struct {
	fakeSite
	t      *testing.T
	client *jobclient.Client
	// allowed is what the allowed regions of the client are.
	allowed []topology.RegionSet

	mutex sync.Mutex
	// jobs holds the jobs of each region's shard, and those of all ordinary shards under "".
	jobs map[string]map[string]*rockwindpb.StoredJob
	// bodies counts the submissions that reached the stores of a region.
	bodies map[string]int
	// finds counts the searches for each job.
	finds   map[string]int
	network *memoryNetwork
	// addresses are those of the stores by region.
	addresses map[string][]string
	// refuses lets stores refuse new jobs.
	refuses bool
	// markers holds the markers of moved jobs in each region's shard, and arriving the copies that do not count yet.
	markers  map[string]map[string]*rockwindpb.FindStoredJobResponse
	arriving map[string]map[string]*rockwindpb.StoredJob
	// electing holds the regions whose shard has no leader.
	electing map[string]bool
	// activateOnRead activates the move of a job after a read that did not find it.
	activateOnRead bool
}

// regionalStore is a store of a regionalSite.
type regionalStore struct {
	rockwindpb.JobStoreService
	site   *regionalSite
	region string
}

func newRegionalSite(t *testing.T) *regionalSite {
	t.Helper()
	s := &regionalSite{
		t: t, jobs: map[string]map[string]*rockwindpb.StoredJob{"": {}, "north": {}, "south": {}},
		bodies: make(map[string]int), finds: make(map[string]int), network: newMemoryNetwork(), addresses: make(map[string][]string),
		markers:  map[string]map[string]*rockwindpb.FindStoredJobResponse{"": {}, "north": {}, "south": {}},
		arriving: map[string]map[string]*rockwindpb.StoredJob{"": {}, "north": {}, "south": {}},
	}
	founding := &rockwindpb.FoundRequest{ClusterId: "c"}
	for shard := range uint32(4) {
		founding.Groups = append(founding.Groups, &rockwindpb.FoundingGroup{Group: shard})
	}
	for i, region := range []string{"north", "south"} {
		founding.Groups = append(founding.Groups, &rockwindpb.FoundingGroup{Group: uint32(4 + i), Region: region})
		for position := range 2 {
			address := fmt.Sprintf("%s-%d:1", region, position)
			s.network.serve(t, address, rockwindpb.NewJobStoreServiceServer(&regionalStore{site: s, region: region}))
			s.addresses[region] = append(s.addresses[region], address)
			s.stores = append(s.stores, &rockwindpb.Machine{
				Name: fmt.Sprintf("%s-%d", region, position), Zone: region + "-zone", Address: address,
			})
		}
	}
	s.view = directory.Merge(nil, &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true, StoreCluster: founding})
	s.client = s.newClient()
	return s
}

// newClient returns another client of the site, as another router has.
func (s *regionalSite) newClient() *jobclient.Client {
	client := jobclient.New(s, s.network.client(s.t))
	client.PreferNear("", topology.New(map[string]string{"north-zone": "north", "south-zone": "south"}))
	client.UseRegions(func(string) []topology.RegionSet { return s.allowed })
	return client
}

// shard returns the jobs of a shard if the store holds it. The caller holds the mutex.
func (f *regionalStore) shard(region string) (map[string]*rockwindpb.StoredJob, error) {
	if f.site.electing[region] || (region != "" && region != f.region) {
		return nil, fault.ToTwirp(fault.New(fault.NotLeader, "ask another", "not held here").WithRan(fault.NotRun))
	}
	return f.site.jobs[region], nil
}

// Submit implements rockwindpb.JobStoreService.
func (f *regionalStore) Submit(_ context.Context, request *rockwindpb.SubmitStoredJobRequest) (*rockwindpb.SubmitStoredJobResponse, error) {
	f.site.mutex.Lock()
	defer f.site.mutex.Unlock()
	f.site.bodies[f.region]++
	jobs, err := f.shard(request.GetRegion())
	if err != nil {
		return nil, err
	}
	if before, found := jobs[request.GetJob().GetId()]; found && !bytes.Equal(before.GetDigest(), request.GetJob().GetDigest()) {
		return nil, fault.ToTwirp(fault.New(fault.Conflict, "none", "in use"))
	}
	if f.site.refuses {
		return nil, fault.ToTwirp(fault.New(fault.LimitReached, "the region is full", "come back").WithRan(fault.NotRun).WithRetryAfter(time.Second))
	}
	jobs[request.GetJob().GetId()] = request.GetJob()
	return &rockwindpb.SubmitStoredJobResponse{}, nil
}

// Find implements rockwindpb.JobStoreService.
func (f *regionalStore) Find(_ context.Context, request *rockwindpb.FindStoredJobRequest) (*rockwindpb.FindStoredJobResponse, error) {
	f.site.mutex.Lock()
	defer f.site.mutex.Unlock()
	f.site.finds[request.GetId()]++
	jobs, err := f.shard(request.GetRegion())
	if err != nil {
		return nil, err
	}
	if marker, moved := f.site.markers[request.GetRegion()][request.GetId()]; moved && request.GetFollowMoves() {
		return marker, nil
	}
	job, found := jobs[request.GetId()]
	return &rockwindpb.FindStoredJobResponse{Found: found, Digest: job.GetDigest()}, nil
}

// ReadBody implements rockwindpb.JobStoreService.
func (f *regionalStore) ReadBody(_ context.Context, request *rockwindpb.ReadItemBodyRequest) (*rockwindpb.ReadItemBodyResponse, error) {
	f.site.mutex.Lock()
	defer f.site.mutex.Unlock()
	jobs, err := f.shard(request.GetRegion())
	if err != nil {
		return nil, err
	}
	if f.site.activateOnRead {
		defer f.site.activate(request.GetJob())
	}
	for _, item := range jobs[request.GetJob()].GetItems() {
		if item.GetId() == request.GetItem() {
			return &rockwindpb.ReadItemBodyResponse{Body: item.GetBody()}, nil
		}
	}
	return nil, fault.ToTwirp(fault.New(fault.NotFound, "none", "no such job or item"))
}

// End implements rockwindpb.JobStoreService.
func (f *regionalStore) End(_ context.Context, request *rockwindpb.EndStoredJobRequest) (*rockwindpb.EndStoredJobResponse, error) {
	f.site.mutex.Lock()
	defer f.site.mutex.Unlock()
	jobs, err := f.shard(request.GetRegion())
	if err != nil {
		return nil, err
	}
	if _, found := jobs[request.GetId()]; !found {
		return nil, fault.ToTwirp(fault.New(fault.NotFound, "none", "no such job"))
	}
	delete(jobs, request.GetId())
	return &rockwindpb.EndStoredJobResponse{}, nil
}

// held returns the shards that have a job, by their regions.
func (s *regionalSite) held(id string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var regions []string
	for _, region := range []string{"", "north", "south"} {
		if _, found := s.jobs[region][id]; found {
			regions = append(regions, region)
		}
	}
	return regions
}

// searches returns the number of searches for a job.
func (s *regionalSite) searches(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.finds[id]
}

// inRegion returns the number of jobs in a region's shard and of submissions at its stores.
func (s *regionalSite) inRegion(region string) (jobs, bodies int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.jobs[region]), s.bodies[region]
}

// bodiesOutside returns the number of submissions at stores of regions that are not allowed.
func (s *regionalSite) bodiesOutside(allowed topology.RegionSet) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for region, bodies := range s.bodies {
		if !allowed.Allows(region) {
			count += bodies
		}
	}
	return count
}

func (s *regionalSite) stop(region string) {
	for _, address := range s.addresses[region] {
		s.network.stop(s.t, address)
	}
}

func newJob(id string) *rockwindpb.StoredJob {
	return &rockwindpb.StoredJob{Id: id, Digest: []byte("digest of " + id), Items: []*rockwindpb.StoredItem{{Id: "item", Body: []byte("body of " + id)}}}
}

var (
	anywhere = topology.NewRegionSet(nil)
	north    = topology.NewRegionSet([]string{"north"})
	south    = topology.NewRegionSet([]string{"south"})
	both     = topology.NewRegionSet([]string{"south", "north"})
)

// Guards against bodies that reach a store of a region that is not allowed, and against unrestricted
// jobs in a regional shard.
func TestRestrictedJobsGoStraightToTheirRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionalSite(t)
		for i := range 40 {
			if err := s.client.SubmitWithin(callContext(t), newJob(fmt.Sprint("job-", i)), 0, north); err != nil {
				t.Fatal(err)
			}
		}
		jobs, bodies := s.inRegion("north")
		if _, outside := s.inRegion("south"); jobs != 40 || bodies != 40 || outside != 0 {
			t.Errorf("%d jobs are in the north; %d submissions reached the north, %d the south", jobs, bodies, outside)
		}
		if err := s.client.Submit(callContext(t), newJob("free"), 0); err != nil || !slices.Equal(s.held("free"), []string{""}) {
			t.Errorf("an unrestricted job is in %q: %v", s.held("free"), err)
		}
	})
}

// Guards against a repeated submission at another router that runs the job twice, and against all jobs
// in one of several regions.
func TestRegionOfAJobIsTheSameAtAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionalSite(t)
		other := s.newClient()
		for i := range 60 {
			job := newJob(fmt.Sprint("job-", i))
			reversed := topology.NewRegionSet([]string{"north", "south"})
			if err := s.client.SubmitWithin(callContext(t), job, 0, both); err != nil {
				t.Fatal(err)
			}
			if err := other.SubmitWithin(callContext(t), job, 0, reversed); err != nil {
				t.Fatal(err)
			}
			if held := s.held(job.GetId()); len(held) != 1 || held[0] == "" {
				t.Fatalf("the job is in the shards %q", held)
			}
		}
		if count, _ := s.inRegion("north"); count < 15 || count > 45 {
			t.Errorf("%d of 60 jobs are in one of two regions", count)
		}
	})
}

// Guards against a job that runs twice, or whose identifier is taken by another job, because the
// configuration adds or removes regions between two submissions; and against the body reaching a
// region that is no longer, or not yet, allowed.
func TestChangeOfRegionsBetweenSubmissionsOfAJob(t *testing.T) {
	for name, each := range map[string]struct{ before, after topology.RegionSet }{
		"regions are added":    {north, both},
		"regions are removed":  {both, south},
		"regions are replaced": {north, south},
		"first restriction":    {anywhere, north},
		"no restriction left":  {south, anywhere},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRegionalSite(t)
				s.allowed = []topology.RegionSet{each.before, north}
				for i := range 10 {
					job := newJob(fmt.Sprint("job-", i))
					if err := s.client.SubmitWithin(callContext(t), job, 0, each.before); err != nil {
						t.Fatal(err)
					}
					bodies := s.bodiesOutside(each.after)
					if err := s.newClient().SubmitWithin(callContext(t), job, 0, each.after); err != nil {
						t.Fatal(err)
					}
					if held := s.held(job.GetId()); len(held) != 1 {
						t.Fatalf("the job is in the shards %q", held)
					}
					other := newJob(job.GetId())
					other.Digest = []byte("another")
					if err := s.newClient().SubmitWithin(callContext(t), other, 0, each.after); !fault.Is(err, fault.Conflict) {
						t.Fatalf("another job with the identifier: %v", err)
					}
					if after := s.bodiesOutside(each.after); after != bodies {
						t.Fatalf("%d submissions left the allowed regions", after-bodies)
					}
				}
			})
		})
	}
}

// Guards against a region that is down and lets submissions wait or reports that they may have run.
func TestRegionWithoutStoresIsRefusedAtOnceAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionalSite(t)
		s.stop("south")
		check := func(what string) {
			t.Helper()
			began := time.Now()
			err := s.client.SubmitWithin(callContext(t), newJob("job"), 0, south)
			failure := fault.From(err)
			if failure.Kind != fault.Unavailable || failure.Ran != fault.NotRun || failure.RetryAfter <= 0 {
				t.Errorf("%s: %v, ran %v, retry after %v", what, err, failure.Ran, failure.RetryAfter)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("%s: refused after %v", what, took)
			}
		}
		check("stores that do not listen")
		check("stores that did not listen just before")
		s.stores = s.stores[:2]
		check("no store in the directory")
		if err := s.client.SubmitWithin(callContext(t), newJob("other"), 0, north); err != nil {
			t.Errorf("a job of the other region: %v", err)
		}
		if _, bodies := s.inRegion("north"); bodies != 1 {
			t.Errorf("%d submissions reached the north", bodies)
		}
		err := s.client.SubmitWithin(callContext(t), newJob("nowhere"), 0, topology.NewRegionSet([]string{"west"}))
		if failure := fault.From(err); failure.Kind != fault.Unavailable || failure.Ran != fault.NotRun {
			t.Errorf("a region without a shard: %v", err)
		}
	})
}

// Guards against jobs that cannot be read or ended because the configuration has changed since, and
// against a search for jobs whose shard is known.
func TestJobsAreFoundByTheirIdentifierAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionalSite(t)
		for name, allowed := range map[string]topology.RegionSet{"in-north": north, "in-south": south, "free": anywhere} {
			if err := s.client.SubmitWithin(callContext(t), newJob(name), 0, allowed); err != nil {
				t.Fatal(err)
			}
		}
		for _, sets := range [][]topology.RegionSet{nil, {north}, {south}, {anywhere, north}} {
			s.allowed = sets
			client := s.newClient()
			for _, name := range []string{"in-north", "in-south", "free"} {
				for range 2 {
					body, err := client.ReadBody(callContext(t), &rockwindpb.ReadItemBodyRequest{Job: name, Item: "item"})
					if err != nil || string(body) != "body of "+name {
						t.Errorf("%s under %v: %q, %v", name, sets, body, err)
					}
				}
				if _, err := client.ReadBody(callContext(t), &rockwindpb.ReadItemBodyRequest{Job: name, Item: "other"}); !fault.Is(err, fault.NotFound) {
					t.Errorf("an item that %s lacks: %v", name, err)
				}
			}
			known := fmt.Sprint("known under ", sets)
			if err := client.SubmitWithin(callContext(t), newJob(known), 0, south); err != nil {
				t.Fatal(err)
			}
			before := s.searches(known)
			if _, err := client.ReadBody(callContext(t), &rockwindpb.ReadItemBodyRequest{Job: known, Item: "item"}); err != nil || s.searches(known) != before {
				t.Errorf("%d searches for a known job, %v", s.searches(known)-before, err)
			}
		}
		for _, name := range []string{"in-north", "in-south", "free"} {
			if err := s.newClient().End(callContext(t), name, ""); err != nil || len(s.held(name)) != 0 {
				t.Errorf("%s is not ended: %v", name, err)
			}
		}
	})
}

// Guards against 404 for a job that a shard that does not answer may have.
func TestJobIsUnknownOnlyIfAllShardsSaySo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionalSite(t)
		read := func() error {
			_, err := s.newClient().ReadBody(callContext(t), &rockwindpb.ReadItemBodyRequest{Job: "nobody", Item: "item"})
			return err
		}
		if err := read(); !fault.Is(err, fault.NotFound) {
			t.Errorf("all shards answer: %v", err)
		}
		if err := s.client.SubmitWithin(callContext(t), newJob("in-north"), 0, north); err != nil {
			t.Fatal(err)
		}
		s.stop("south")
		if err := read(); fault.From(err).Kind != fault.Unavailable {
			t.Errorf("the south does not answer: %v", err)
		}
		s.allowed = []topology.RegionSet{south}
		if err := read(); fault.From(err).Kind != fault.Unavailable {
			t.Errorf("the likely shard does not answer: %v", err)
		}
		began := time.Now()
		body, err := s.newClient().ReadBody(callContext(t), &rockwindpb.ReadItemBodyRequest{Job: "in-north", Item: "item"})
		if err != nil || string(body) != "body of in-north" || time.Since(began) > time.Second {
			t.Errorf("a job of the region that answers: %q, %v after %v", body, err, time.Since(began))
		}
	})
}

// Guards against refused jobs on a site with one region, whose founding has no regional shards, and
// against jobs in ordinary shards that a store of another region may hold.
func TestSiteWithoutRegionalShardsTakesJobsOfItsOnlyRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionalSite(t)
		s.view = directory.Merge(nil, &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true, StoreCluster: &rockwindpb.FoundRequest{
			ClusterId: "c", Groups: []*rockwindpb.FoundingGroup{{Group: 0}, {Group: 1}},
		}})
		err := s.client.SubmitWithin(callContext(t), newJob("early"), 0, north)
		if failure := fault.From(err); failure.Kind != fault.Unavailable || failure.Ran != fault.NotRun {
			t.Errorf("a site with stores of both regions: %v", err)
		}
		s.stores = s.stores[:2]
		if err := s.client.SubmitWithin(callContext(t), newJob("job"), 0, north); err != nil || !slices.Equal(s.held("job"), []string{""}) {
			t.Errorf("a site with one region: the job is in the shards %q, %v", s.held("job"), err)
		}
		if err := s.client.SubmitWithin(callContext(t), newJob("other"), 0, south); fault.From(err).Kind != fault.Unavailable || len(s.held("other")) != 0 {
			t.Errorf("a job of a region that the site lacks: %v", err)
		}
	})
}

// Guards against a region that is cut off and lets each submission wait for the timeout of the call, or
// reports that a submission may have run although no connection was made.
func TestRegionThatIsCutOffIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionalSite(t)
		for _, address := range s.addresses["south"] {
			s.network.isolate(address)
		}
		client := jobclient.New(s, s.network.client(t))
		client.PreferNear("", topology.New(map[string]string{"north-zone": "north", "south-zone": "south"}))
		for _, limit := range []time.Duration{1500 * time.Millisecond, 100 * time.Millisecond} {
			began := time.Now()
			err := client.SubmitWithin(callContext(t), newJob("job"), 0, south)
			if failure := fault.From(err); failure.Kind != fault.Unavailable || failure.Ran != fault.NotRun {
				t.Errorf("the submission failed with %v, ran %v", err, failure.Ran)
			}
			if took := time.Since(began); took > limit {
				t.Errorf("refused after %v", took)
			}
		}
		// The client gives up before the attempts have ended.
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		time.Sleep(400 * time.Millisecond)
		err := client.SubmitWithin(ctx, newJob("job"), 0, south)
		if failure := fault.From(err); failure.Kind != fault.Unavailable || failure.Ran != fault.NotRun {
			t.Errorf("a submission whose client gave up failed with %v, ran %v", err, failure.Ran)
		}
		if _, bodies := s.inRegion("south"); bodies != 0 {
			t.Errorf("%d submissions reached the region", bodies)
		}
	})
}

// Guards against a refusal as not run of a job that a shard which can't be searched may have accepted under
// an earlier configuration.
func TestRefusalIsUncertainIfNotAllShardsWereSearched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionalSite(t)
		if err := s.client.SubmitWithin(callContext(t), newJob("job"), 0, south); err != nil {
			t.Fatal(err)
		}
		s.refuses = true
		err := s.newClient().SubmitWithin(callContext(t), newJob("other"), 0, north)
		if failure := fault.From(err); failure.Kind != fault.LimitReached || failure.Ran != fault.NotRun || failure.RetryAfter != time.Second {
			t.Errorf("the refusal of a new job is %v, ran %v", err, failure.Ran)
		}
		if err := s.newClient().SubmitWithin(callContext(t), newJob("job"), 0, north); err != nil {
			t.Errorf("the repeated submission is refused: %v", err)
		}
		for _, address := range s.addresses["south"] {
			s.network.stop(t, address)
		}
		err = s.newClient().SubmitWithin(callContext(t), newJob("job"), 0, north)
		if failure := fault.From(err); failure.Kind != fault.OutcomeUnknown || failure.Ran == fault.NotRun {
			t.Errorf("the repeated submission failed with %v, ran %v", err, failure.Ran)
		}
	})
}
