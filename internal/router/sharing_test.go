package router_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"rockwind.example/rockwind/internal/balance"
	"rockwind.example/rockwind/internal/directory"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/loadshare"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/topology"
)

// hashCollision returns two server names with the same hash.
func hashCollision(t *testing.T) [2]string {
	t.Helper()
	names := make(map[uint32]string)
	for i := range 1 << 20 {
		name := "server-" + strconv.Itoa(i)
		hash := balance.ServerHash(name)
		if other, found := names[hash]; found {
			return [2]string{other, name}
		}
		names[hash] = name
	}
	t.Fatal("no two names have the same hash")
	return [2]string{}
}

// TestDropPriorityOfDigestEntries checks that orphaned requests are dropped from a digest
// before tenants.
func TestDropPriorityOfDigestEntries(t *testing.T) {
	source := oneServer(4).LoadSource()
	for hash, want := range map[uint32]loadshare.DropPriority{
		balance.ServerHash("server"): loadshare.NeverDrop, balance.QueueHash("app"): loadshare.NeverDrop,
		balance.OrphanHash("server"): loadshare.DropFirst, balance.QueueHash("a tenant"): loadshare.DropSecond,
	} {
		if got := source.DropPriority(hash); got != want {
			t.Errorf("%d is spared %d, want %d", hash, got, want)
		}
	}
}

// TestLoadsWithSameHashAreSummed guards against sharing only one of two loads.
func TestLoadsWithSameHashAreSummed(t *testing.T) {
	register, names := directory.New(), hashCollision(t)
	for i, id := range names {
		register.Apply(&rockwindpb.DirectoryCommand{Command: &rockwindpb.DirectoryCommand_Report{Report: &rockwindpb.Server{
			Id: id, Service: "app", Address: "10.0.0.1:" + strconv.Itoa(i+1), Slots: 1,
			State: rockwindpb.ServerState_SERVER_STATE_READY, Sequence: uint64(i + 1),
		}}})
	}
	dispatcher := router.NewDispatcher("zone", topology.Map{}, featuregate.Set{})
	dispatcher.Update(register.View())
	for range names {
		if dispatcher.TryAcquire("app", balance.Demand{}) == nil {
			t.Fatal("no server has room")
		}
	}
	if load := loadshare.Loads(dispatcher.LoadSource().Own())[balance.ServerHash(names[0])]; load.Inflight != 2 {
		t.Fatalf("%d requests are shared", load.Inflight)
	}
}

// Guards against sums of a region that lack the own load or that of a zone, or include other zones.
func TestSumOfARegion(t *testing.T) {
	dispatcher := oneServer(4)
	if dispatcher.TryAcquire("app", balance.Demand{}) == nil {
		t.Fatal("no server has room")
	}
	source, hash := dispatcher.LoadSource(), balance.ServerHash("server")
	for i, group := range []string{"near", "other"} {
		digest := loadshare.NewDigest(map[uint32]balance.SharedLoad{hash: {Inflight: 10 * (i + 1)}})
		digest.Sender, digest.Sequence, digest.StartedUnixMs, digest.Group = "delegate of "+group, 1, 1, group
		source.Take(digest)
	}
	if load := loadshare.Loads(source.SumRegion(nil, []string{"near"}))[hash]; load.Inflight != 11 {
		t.Errorf("the sum has %d requests, want 11", load.Inflight)
	}
}

// countingTrigger counts the digests that are sent soon.
type countingTrigger struct{ sent int }

func (c *countingTrigger) TriggerSend()    { c.sent++ }
func (c *countingTrigger) TriggerForward() {}

// TestStartsAreSharedSoonWhereSlotsAreScarce guards against processes of a mesh that all send requests to the same few
// free slots until the next regular digest, and against a digest for each request while many slots are free or
// requests are paced.
func TestStartsAreSharedSoonWhereSlotsAreScarce(t *testing.T) {
	for name, test := range map[string]struct {
		processes int
		maxAge    time.Duration
		want      int
	}{"mesh": {4, 0, 3}, "groups": {4, 100 * time.Millisecond, 0}, "one process": {1, 0, 0}} {
		t.Run(name, func(t *testing.T) {
			dispatcher, trigger := oneServer(8), &countingTrigger{}
			dispatcher.SetProcesses("app", test.processes, test.maxAge)
			for peer := range test.processes - 1 {
				digest := loadshare.NewDigest(nil)
				digest.Sender, digest.Sequence = fmt.Sprint("router-", peer), 1
				dispatcher.LoadSource().Take(digest)
			}
			dispatcher.SetTrigger(trigger)
			for started := range 8 {
				_, err := dispatcher.Acquire(t.Context(), router.AcquireRequest{Service: "app", MaxWait: time.Nanosecond})
				if err != nil && test.maxAge == 0 {
					t.Fatal(err)
				}
				if free := 7 - started; free >= 4 && trigger.sent > 0 {
					t.Fatalf("a digest is sent soon with %d free slots", free)
				}
			}
			if trigger.sent < test.want || test.want == 0 && trigger.sent > 0 {
				t.Errorf("%d digests are sent soon, want %d", trigger.sent, test.want)
			}
		})
	}
}
