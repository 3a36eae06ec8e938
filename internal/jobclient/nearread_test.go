package jobclient_test

import (
	"context"
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

// readStore is a store of a readSite, whose answer to Read is defined by the test.
type readStore struct {
	rockwindpb.JobStoreService
	address string
	mutex   sync.Mutex
	answer  func(ctx context.Context, request *rockwindpb.ReadStoredJobRequest) error
	// requests are those that were received.
	requests []*rockwindpb.ReadStoredJobRequest
}

func (s *readStore) Read(ctx context.Context, request *rockwindpb.ReadStoredJobRequest) (*rockwindpb.ReadStoredJobResponse, error) {
	s.mutex.Lock()
	s.requests = append(s.requests, request)
	answer := s.answer
	s.mutex.Unlock()
	if err := answer(ctx, request); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.ReadStoredJobResponse{Total: 1}, nil
}

// answers sets the answer of the store.
func (s *readStore) answers(answer func(context.Context, *rockwindpb.ReadStoredJobRequest) error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answer = answer
}

// takeRequests returns the requests since the last call.
func (s *readStore) takeRequests() []*rockwindpb.ReadStoredJobRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := s.requests
	s.requests = nil
	return taken
}

// readSite is a site with a store in each of the client's zone, its region and another region. The last
// one leads the only shard.
type readSite struct {
	fakeSite
	client               *jobclient.Client
	near, region, leader *readStore
}

func succeedRead(context.Context, *rockwindpb.ReadStoredJobRequest) error { return nil }

// newReadSite starts a site whose shard has the given members.
func newReadSite(t *testing.T, sites topology.Map, members ...string) *readSite {
	t.Helper()
	s := &readSite{near: &readStore{}, region: &readStore{}, leader: &readStore{}}
	network, membership := newMemoryNetwork(), &rockwindpb.Membership{}
	for i, name := range members {
		membership.Members = append(membership.Members, &rockwindpb.Member{Id: uint64(i + 1), Machine: name})
	}
	s.view = directory.Merge(nil, &rockwindpb.WatchDirectoryResponse{Revision: 1, Full: true, StoreCluster: &rockwindpb.FoundRequest{
		ClusterId: "c", Groups: []*rockwindpb.FoundingGroup{{Group: 0, Membership: membership}},
	}})
	for _, each := range []struct {
		store      *readStore
		name, zone string
	}{{s.leader, "leader", "south-a"}, {s.region, "region", "north-b"}, {s.near, "near", "north-a"}} {
		each.store.answers(succeedRead)
		each.store.address = each.name + ":1"
		network.serve(t, each.store.address, rockwindpb.NewJobStoreServiceServer(each.store))
		s.stores = append(s.stores, &rockwindpb.Machine{Name: each.name, Zone: each.zone, Address: each.store.address})
	}
	s.client = jobclient.New(s, network.client(t))
	s.client.PreferNear("north-a", sites)
	return s
}

// read reads a job and returns how many requests each store received.
func (s *readSite) read(t *testing.T, wait time.Duration) (near, region, leader int) {
	t.Helper()
	response, err := s.client.Read(callContext(t), &rockwindpb.ReadStoredJobRequest{Id: "job", WaitMs: uint32(wait.Milliseconds())})
	if err != nil || response.GetTotal() != 1 {
		t.Fatalf("reading gave %v, %v", response, err)
	}
	return len(s.near.takeRequests()), len(s.region.takeRequests()), len(s.leader.takeRequests())
}

// expect reads a job and checks how many requests each store received.
func (s *readSite) expect(t *testing.T, name string, near, region, leader int) {
	t.Helper()
	if gotNear, gotRegion, gotLeader := s.read(t, 0); gotNear != near || gotRegion != region || gotLeader != leader {
		t.Errorf("%s: the stores got %d, %d and %d requests, want %d, %d and %d", name, gotNear, gotRegion, gotLeader, near, region, leader)
	}
}

func twoRegions() topology.Map {
	return topology.New(map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"})
}

// declines answers as a store that does not lead, with advice when to ask again.
func (s *readSite) declines(after time.Duration) func(context.Context, *rockwindpb.ReadStoredJobRequest) error {
	return func(context.Context, *rockwindpb.ReadStoredJobRequest) error {
		return fault.New(fault.NotLeader, "not the leader", "ask the leader").WithRan(fault.NotRun).WithLeader(s.leader.address).WithRetryAfter(after)
	}
}

// Guards against reads that cross regions although a store of the own region has the results, and against
// reads at stores that do not replicate the shard.
func TestResultsAreReadNearby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := newReadSite(t, twoRegions(), "near", "region", "leader")
		all.expect(t, "all replicate", 1, 0, 0)
		newReadSite(t, twoRegions(), "region", "leader").expect(t, "no replica in the zone", 0, 1, 0)
		if _, err := all.client.Read(callContext(t), &rockwindpb.ReadStoredJobRequest{Id: "job", From: 3, WaitMs: 70, Tenant: "ann"}); err != nil {
			t.Fatal(err)
		}
		if got := all.near.takeRequests(); len(got) != 1 || !got[0].GetFollowerMayAnswer() || got[0].GetFrom() != 3 || got[0].GetWaitMs() != 70 || got[0].GetTenant() != "ann" {
			t.Errorf("the near store was asked %v", got)
		}
	})
}

// Guards against answers of followers on sites with one region, which were served by leaders before.
func TestSitesWithOneRegionReadAtTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, sites := range []topology.Map{{}, topology.New(map[string]string{"north-a": "north", "north-b": "north", "south-a": "north"})} {
			s := newReadSite(t, sites, "near", "region", "leader")
			s.near.answers(s.declines(0))
			s.region.answers(s.declines(0))
			s.read(t, 0)
			s.read(t, 70*time.Millisecond)
			s.leader.answers(func(_ context.Context, request *rockwindpb.ReadStoredJobRequest) error {
				if request.GetFollowerMayAnswer() || request.GetWaitMs() != 70 {
					t.Errorf("the leader was asked %v", request)
				}
				return nil
			})
			if near, region, leader := s.read(t, 70*time.Millisecond); near+region != 0 || leader != 1 {
				t.Errorf("the stores got %d, %d and %d requests", near, region, leader)
			}
		}
	})
}

// Guards against repeated calls to a store that has left the shard, and against a follower that is avoided
// because it does not know one job.
func TestDecliningStoresAreAvoidedForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReadSite(t, twoRegions(), "near", "region", "leader")
		const avoided = 300 * time.Millisecond
		s.near.answers(s.declines(avoided))
		began := time.Now()
		s.expect(t, "a store declines", 1, 0, 1)
		s.expect(t, "the next one is asked", 0, 1, 0)
		s.region.answers(s.declines(time.Minute))
		s.expect(t, "both have declined", 0, 1, 1)
		s.expect(t, "the leader is asked at once", 0, 0, 1)
		time.Sleep(time.Until(began.Add(avoided + 100*time.Millisecond)))
		s.near.answers(s.declines(0))
		s.expect(t, "the time is over", 1, 0, 1)
		s.near.answers(succeedRead)
		s.expect(t, "another job", 1, 0, 0)
	})
}

// Guards against reads that fail or take long because a near store is silent, and against a wait that is
// repeated in full at the leader.
func TestLeaderIsAskedAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReadSite(t, twoRegions(), "near", "leader")
		s.near.answers(func(ctx context.Context, _ *rockwindpb.ReadStoredJobRequest) error { return unresponsive(ctx) })
		s.region.answers(s.declines(0))
		const wait = 200 * time.Millisecond
		s.leader.answers(func(_ context.Context, request *rockwindpb.ReadStoredJobRequest) error {
			if request.GetFollowerMayAnswer() || request.GetWaitMs() != 0 {
				t.Errorf("the leader was asked %v after the wait at a follower", request)
			}
			return nil
		})
		began := time.Now()
		near, _, leader := s.read(t, wait)
		if took := time.Since(began); near != 1 || leader != 1 || took > wait+400*time.Millisecond {
			t.Errorf("the near store got %d requests and the leader %d, after %v", near, leader, took)
		}
		if near, _, leader := s.read(t, 0); near != 0 || leader != 1 {
			t.Errorf("after the failure the near store got %d requests and the leader %d", near, leader)
		}
	})
}

// Guards against a leader in the own region that is passed over for a follower.
func TestLeaderInTheOwnRegionIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newReadSite(t, twoRegions(), "near", "region", "leader")
		s.near.answers(func(context.Context, *rockwindpb.ReadStoredJobRequest) error {
			return fault.New(fault.NotLeader, "not the leader", "ask the leader").WithRan(fault.NotRun).WithLeader(s.region.address)
		})
		s.region.answers(func(_ context.Context, request *rockwindpb.ReadStoredJobRequest) error {
			if request.GetFollowerMayAnswer() {
				t.Error("the leader was asked as a follower")
			}
			return nil
		})
		s.expect(t, "the follower names the leader", 1, 1, 0)
		s.expect(t, "the leader is known", 0, 1, 0)
	})
}
