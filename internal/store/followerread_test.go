package store

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/retry"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const leaderAddress = "10.0.0.7:1"

// followerGroup is a group whose replica here follows, with a status that the test sets.
type followerGroup struct {
	*replica.InMemoryGroup
	mutex  sync.Mutex
	status *rockwindpb.GroupStatus
	silent bool
}

func (g *followerGroup) Leading() (uint64, bool) { return 0, false }

func (g *followerGroup) Read(context.Context, func()) error {
	return fault.New(fault.NotLeader, "not the leader", "ask the leader").WithLeader(leaderAddress)
}

func (g *followerGroup) Status() *rockwindpb.GroupStatus {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return proto.CloneOf(g.status)
}

func (g *followerGroup) change(change func()) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change()
}

// followerShard is a shard of which this store is a follower, with a job of two items.
type followerShard struct {
	shard
	t        *testing.T
	group    *followerGroup
	contacts *contacts
}

// runFollower runs a test in virtual time on a follower that has been in contact with its leader for a
// second. The leader is heard until the test ends or the group is silent.
func runFollower(t *testing.T, run func(f *followerShard)) {
	synctest.Test(t, func(t *testing.T) {
		machine := jobstore.New()
		group := &followerGroup{InMemoryGroup: replica.NewInMemoryGroup(machine), status: &rockwindpb.GroupStatus{
			Group: 1, Term: 3, Leader: 7, LeaderAddress: leaderAddress, Voter: true, HearsLeader: true,
			Applied: 1, AppliedTerm: 3, Commit: 1, NewestCommit: 1,
		}}
		f := &followerShard{shard: shard{number: 1, group: group, machine: machine}, t: t, group: group, contacts: newContacts()}
		f.apply(&rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: &rockwindpb.StoredJob{
			Id: "job", Tenant: "ann", Items: []*rockwindpb.StoredItem{{Id: "a"}, {Id: "b"}}, SubmittedUnixMs: time.Now().UnixMilli(),
		}}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			for retry.Pause(ctx, contactInterval) {
				group.change(func() {
					if !group.silent {
						group.status.LeaderMessages++
					}
				})
				f.contacts.observe(1, group.Status())
			}
		}()
		time.Sleep(time.Second)
		run(f)
	})
}

func (f *followerShard) apply(command *rockwindpb.JobStoreCommand) {
	f.t.Helper()
	encoded, err := proto.Marshal(command)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.group.Propose(f.t.Context(), encoded); err != nil {
		f.t.Fatal(err)
	}
}

// record adds the result of an item.
func (f *followerShard) record(item uint32) {
	f.t.Helper()
	f.apply(&rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Record{Record: &rockwindpb.RecordResults{
		Job: "job", Results: []*rockwindpb.StoredResult{{Item: item, Outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE, Text: []byte("done")}},
	}}})
}

func (f *followerShard) read(request *rockwindpb.ReadStoredJobRequest) (*rockwindpb.ReadStoredJobResponse, error) {
	return f.awaitResults(f.t.Context(), request, f.contacts)
}

func request(wait time.Duration) *rockwindpb.ReadStoredJobRequest {
	return &rockwindpb.ReadStoredJobRequest{Id: "job", Tenant: "ann", WaitMs: uint32(wait.Milliseconds()), FollowerMayAnswer: true}
}

// expectLeader checks that a read was answered as by a store that does not lead.
func (f *followerShard) expectLeader(name string, err error) {
	f.t.Helper()
	if failure := fault.From(err); failure == nil || failure.Kind != fault.NotLeader || failure.Leader != leaderAddress {
		f.t.Errorf("%s: %v", name, err)
	}
}

// Guards against reads that go to the leader although a follower has the results, and against followers
// that answer callers which do not accept that.
func TestFollowerAnswersFromItsState(t *testing.T) {
	runFollower(t, func(f *followerShard) {
		response, err := f.read(request(0))
		if err != nil || response.GetTotal() != 2 || len(response.GetResults()) != 0 {
			t.Errorf("without results: %v, %v", response, err)
		}
		began := time.Now()
		go func() {
			time.Sleep(2 * time.Second)
			f.record(0)
		}()
		response, err = f.read(request(5 * time.Second))
		if took := time.Since(began); err != nil || len(response.GetResults()) != 1 || took != 2*time.Second {
			t.Errorf("a waiting read: %v, %v after %v", response, err, took)
		}
		next := request(time.Second)
		next.From = 1
		began = time.Now()
		response, err = f.read(next)
		if took := time.Since(began); err != nil || len(response.GetResults()) != 0 || took < time.Second {
			t.Errorf("a wait that ends without a result: %v, %v after %v", response, err, took)
		}
		strict := request(0)
		strict.FollowerMayAnswer = false
		_, err = f.read(strict)
		f.expectLeader("a caller that does not accept followers", err)
	})
}

// Guards against "not found" for a job that the leader has accepted and the follower does not know yet.
func TestFollowerDoesNotDenyAJob(t *testing.T) {
	runFollower(t, func(f *followerShard) {
		unknown, foreign := request(0), request(0)
		unknown.Id, foreign.Tenant = "other", "bob"
		for name, each := range map[string]*rockwindpb.ReadStoredJobRequest{"unknown job": unknown, "other tenant": foreign} {
			_, err := f.read(each)
			f.expectLeader(name, err)
			if after := fault.From(err).RetryAfter; after != 0 {
				t.Errorf("%s: the caller avoids the follower for %v", name, after)
			}
		}
	})
}

// Guards against answers of a follower that lags, that has left the group or whose leader has changed.
func TestFollowerWithoutContactDoesNotAnswer(t *testing.T) {
	for name, change := range map[string]func(*followerGroup){
		"lags":           func(g *followerGroup) { g.status.NewestCommit = 2 },
		"left":           func(g *followerGroup) { g.status.Voter = false },
		"another leader": func(g *followerGroup) { g.status.Term, g.status.Leader = 4, 8 },
		"no leader":      func(g *followerGroup) { g.status.Leader, g.status.HearsLeader = 0, false },
	} {
		runFollower(t, func(f *followerShard) {
			f.group.change(func() { change(f.group) })
			_, err := f.read(request(0))
			f.expectLeader(name, err)
			if after := fault.From(err).RetryAfter; after != staleRetryAfter {
				t.Errorf("%s: the caller avoids the follower for %v", name, after)
			}
		})
	}
}

// Guards against reads that wait at a follower which is partitioned from its leader, or whose leader
// changes: they end long before their limit so that the caller can ask the leader.
func TestWaitEndsWithTheContact(t *testing.T) {
	for name, change := range map[string]func(*followerGroup){
		"partitioned":    func(g *followerGroup) { g.silent = true },
		"another leader": func(g *followerGroup) { g.status.Term, g.status.Leader = 4, 8 },
	} {
		runFollower(t, func(f *followerShard) {
			began := time.Now()
			go func() {
				time.Sleep(time.Second)
				f.group.change(func() { change(f.group) })
			}()
			_, err := f.read(request(5 * time.Second))
			f.expectLeader(name, err)
			if took := time.Since(began); took < time.Second || took > 1700*time.Millisecond {
				t.Errorf("%s: the read ended after %v", name, took)
			}
		})
	}
}
