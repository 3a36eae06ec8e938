package jobclient_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/topology"
)

// elect lets the shards of some regions have no leader, and all others one.
func (s *regionalSite) elect(regions ...string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.electing = make(map[string]bool)
	for _, region := range regions {
		s.electing[region] = true
	}
}

// store puts a job into the shard of a region.
func (s *regionalSite) store(region string, job *rockwindpb.StoredJob) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.jobs[region][job.GetId()] = job
}

// Guards against a job that is stored twice, since a shard that elects a leader counts as not having it.
func TestJobIsNotStoredAgainWhileItsShardElectsALeader(t *testing.T) {
	for name, each := range map[string]struct {
		before, after topology.RegionSet
		shard         string
	}{
		"ordinary shard": {anywhere, north, ""},
		"regional shard": {south, north, "south"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRegionalSite(t)
				s.allowed = []topology.RegionSet{each.before, each.after}
				for i := range 5 {
					job := newJob(fmt.Sprint("job-", i))
					if err := s.client.SubmitWithin(callContext(t), job, 0, each.before); err != nil {
						t.Fatal(err)
					}
					s.elect(each.shard)
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					err := s.newClient().SubmitWithin(ctx, job, 0, each.after)
					if !fault.Is(err, fault.OutcomeUnknown) {
						t.Fatalf("submitted again during the election: %v", err)
					}
					time.AfterFunc(1500*time.Millisecond, func() { s.elect() })
					if err := s.newClient().SubmitWithin(callContext(t), job, 0, each.after); err != nil {
						t.Fatalf("submitted again until the election has ended: %v", err)
					}
					if held := s.held(job.GetId()); !slices.Equal(held, []string{each.shard}) {
						t.Fatalf("the job is in the shards %q", held)
					}
				}
			})
		})
	}
}

// Guards against an end that is acknowledged although a copy of the job, from a submission at a router with another
// configuration, goes on.
func TestEndHoldsForEachCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionalSite(t)
		s.allowed = []topology.RegionSet{anywhere, north}
		for _, shards := range [][]string{{"", "north"}, {"north", "south"}, {"", "north", "south"}} {
			for _, shard := range shards {
				s.store(shard, newJob("job"))
			}
			if err := s.newClient().End(callContext(t), "job", ""); err != nil || len(s.held("job")) != 0 {
				t.Errorf("copies in %q: ended with %v, left in %q", shards, err, s.held("job"))
			}
		}
		s.store("", newJob("job"))
		s.store("north", newJob("job"))
		s.elect("north")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := s.newClient().End(ctx, "job", ""); err == nil {
			t.Error("acknowledged although a shard with a copy did not answer")
		}
		s.elect()
		s.store("", newJob("job"))
		if err := s.newClient().End(callContext(t), "job", ""); err != nil || len(s.held("job")) != 0 {
			t.Errorf("after the election: ended with %v, left in %q", err, s.held("job"))
		}
	})
}
