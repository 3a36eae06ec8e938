package jobclient_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobclient"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// mark moves a job from a shard to a copy in another one that does not count yet.
func (s *regionalSite) mark(id, source, target string, number uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	job := s.jobs[source][id]
	delete(s.jobs[source], id)
	s.markers[source][id] = &rockwindpb.FindStoredJobResponse{Digest: job.GetDigest(), Moved: true, Move: &rockwindpb.JobMove{Region: target, Number: number}}
	s.arriving[target][id] = job
}

// activate lets the copies of a job count. The caller holds the mutex.
func (s *regionalSite) activate(id string) {
	for region, copies := range s.arriving {
		if job, found := copies[id]; found {
			delete(copies, id)
			delete(s.markers[region], id)
			s.jobs[region][id] = job
		}
	}
}

func readBody(t *testing.T, client *jobclient.Client, id string) (string, error) {
	t.Helper()
	body, err := client.ReadBody(callContext(t), &rockwindpb.ReadItemBodyRequest{Job: id, Item: "item"})
	return string(body), err
}

// Guards against 404 for a job that moves, and against a router that keeps calling the shard that a job has left.
func TestJobIsFoundWhileItMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionalSite(t)
		s.allowed = []topology.RegionSet{north}
		if err := s.client.SubmitWithin(callContext(t), newJob("job"), 0, north); err != nil {
			t.Fatal(err)
		}
		s.mark("job", "north", "south", 1)
		for name, allowed := range map[string]topology.RegionSet{"known at the source": north, "looked up at the target": south} {
			s.allowed = []topology.RegionSet{allowed}
			for _, client := range []*jobclient.Client{s.client, s.newClient()} {
				if _, err := readBody(t, client, "job"); fault.From(err).Kind != fault.Unavailable || fault.From(err).RetryAfter == 0 {
					t.Errorf("%s, before the activation: %v", name, err)
				}
				if err := client.End(callContext(t), "job", ""); fault.From(err).Kind != fault.Unavailable {
					t.Errorf("%s, end before the activation: %v", name, err)
				}
			}
		}
		s.mutex.Lock()
		s.activate("job")
		s.mutex.Unlock()
		for _, client := range []*jobclient.Client{s.client, s.newClient()} {
			if body, err := readBody(t, client, "job"); err != nil || body != "body of job" {
				t.Errorf("after the move: %q, %v", body, err)
			}
		}
		before := s.searches("job")
		if _, err := readBody(t, s.client, "job"); err != nil || s.searches("job") != before {
			t.Errorf("%d searches for a job whose move is known, %v", s.searches("job")-before, err)
		}
		if _, err := s.client.ReadBody(callContext(t), &rockwindpb.ReadItemBodyRequest{Job: "job", Item: "other"}); !fault.Is(err, fault.NotFound) {
			t.Errorf("an item that the job lacks: %v", err)
		}
	})
}

// Guards against 404 for a job that is activated between the read at its target and the search.
func TestJobThatIsActivatedDuringAReadIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionalSite(t)
		s.allowed = []topology.RegionSet{south}
		if err := s.client.SubmitWithin(callContext(t), newJob("job"), 0, north); err != nil {
			t.Fatal(err)
		}
		s.mark("job", "north", "south", 1)
		s.activateOnRead = true
		if body, err := readBody(t, s.newClient(), "job"); err != nil || body != "body of job" {
			t.Errorf("%q, %v", body, err)
		}
	})
}

// Guards against a job that has moved on being looked up by an old marker, and against a repeated submission of a
// moved job that runs again.
func TestLatestMarkerAndTheJobItselfComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionalSite(t)
		s.allowed = []topology.RegionSet{anywhere, north}
		if err := s.client.Submit(callContext(t), newJob("job"), 0); err != nil {
			t.Fatal(err)
		}
		s.mark("job", "", "north", 1)
		if err := s.newClient().SubmitWithin(callContext(t), newJob("job"), 0, south); err != nil {
			t.Errorf("a repeated submission during the move: %v", err)
		}
		other := newJob("job")
		other.Digest = []byte("another")
		if err := s.newClient().SubmitWithin(callContext(t), other, 0, south); !fault.Is(err, fault.Conflict) {
			t.Errorf("another job with the identifier of a moved one: %v", err)
		}
		s.mutex.Lock()
		s.activate("job")
		s.mutex.Unlock()
		s.mark("job", "north", "south", 2)
		s.mutex.Lock()
		s.activate("job")
		s.mutex.Unlock()
		for range 5 {
			if body, err := readBody(t, s.newClient(), "job"); err != nil || body != "body of job" {
				t.Errorf("%q, %v", body, err)
			}
		}
		if held := s.held("job"); !slices.Equal(held, []string{"south"}) {
			t.Errorf("the job is in %q", held)
		}
		if _, bodies := s.inRegion("south"); bodies != 0 {
			t.Errorf("%d submissions reached the south", bodies)
		}
	})
}

// levelStore answers its feature level.
type levelStore struct {
	rockwindpb.JobMoveService
	level uint32
}

func (s levelStore) FeatureLevel(context.Context, *rockwindpb.StoreFeatureLevelRequest) (*rockwindpb.StoreFeatureLevelResponse, error) {
	return &rockwindpb.StoreFeatureLevelResponse{Level: s.level}, nil
}

// Guards against a store of an earlier version that counts as unknown or as one of this version, and against a store
// that does not answer and counts as an older one, which would close the gate for each restart.
func TestStoresThatDoNotKnowLevelsHaveNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newRegionalSite(t)
		serve := func(address string, handler http.Handler) string {
			site.network.serve(t, address, handler)
			return address
		}
		mux := http.NewServeMux()
		old := rockwindpb.NewTokenLimitServiceServer(nil)
		mux.Handle(old.PathPrefix(), old)
		for name, each := range map[string]struct {
			address string
			level   uint32
			known   bool
		}{
			"this version":    {serve("10.0.0.1:1", rockwindpb.NewJobMoveServiceServer(levelStore{level: 4})), 4, true},
			"earlier version": {serve("10.0.0.2:1", mux), 0, true},
			"no answer":       {"10.0.0.3:1", 0, false},
		} {
			if level, known := site.client.FeatureLevel(callContext(t), each.address); level != each.level || known != each.known {
				t.Error(fmt.Sprint(name, ": level ", level, ", known ", known))
			}
		}
	})
}
