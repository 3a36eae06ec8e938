package store

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/featuregate"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/store/claims"
	"rockwind.example/rockwind/internal/store/output"
	"rockwind.example/rockwind/internal/topology"
	"rockwind.example/rockwind/internal/upstream"
)

// transferShard is a shard with one running item, whose next periodic progress record is far in
// the future.
type transferShard struct {
	t        *testing.T
	store    *Store
	executor *executor
	group    *replica.InMemoryGroup
	machine  *jobstore.Machine
	writer   output.Writer
}

func newTransferShard(t *testing.T, switchedOff ...string) *transferShard {
	t.Helper()
	gates := featuregate.NewSet(switchedOff)
	s := &Store{
		gates: gates, settings: &rockwindpb.SiteSettings{}, dispatcher: router.NewDispatcher("zone", topology.Map{}, gates),
		machines: make(map[uint32]*jobstore.Machine), transfers: make(map[uint32]chan leadershipTransfer), created: make(chan uint32, 1),
	}
	machine := s.create(1).(*jobstore.Machine)
	group := replica.NewInMemoryGroup(machine)
	submit := &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: &rockwindpb.StoredJob{
		Id: "job", Items: []*rockwindpb.StoredItem{{Id: "item"}}, SubmittedUnixMs: time.Now().UnixMilli(),
	}}}
	encoded, err := proto.Marshal(submit)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := group.Propose(t.Context(), encoded); err != nil {
		t.Fatal(err)
	}
	e := &executor{
		store: s, group: group, machine: machine, claims: claims.NewTable(),
		history: make(map[claims.Key]*history), active: make(map[claims.Key]*activeAttempt), paces: make(map[string]*backlog.RunTimeEstimator),
		ended: make(chan attemptResult, resultBuffer), progressDone: make(chan struct{}, 1), transfers: s.transfersOf(1),
		term: 1, historyTerm: 1, lastProgress: time.Now().Add(time.Hour),
	}
	item := output.New(&e.runs, jobstore.PartialOutput{})
	key := claims.NewKey("job", 0)
	e.history[key] = &history{output: item}
	e.active[key] = &activeAttempt{}
	if _, ok := e.claims.Acquire(key, func() {}); !ok {
		t.Fatal("the item is already claimed")
	}
	return &transferShard{t: t, store: s, executor: e, group: group, machine: machine, writer: item.NewWriter(0)}
}

// run runs the executor until the test ends.
func (s *transferShard) run() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.executor.run(ctx)
	}()
	s.t.Cleanup(func() { cancel(); <-ended })
}

func (s *transferShard) receive(number uint64, data string) {
	s.writer.Add([]upstream.Event{{Sequence: number, HasSequence: true, Data: []byte(data), HasData: true}})
}

// recorded returns the last recorded event of the item and its recorded text.
func (s *transferShard) recorded() (last uint64, text string) {
	s.t.Helper()
	err := s.group.Read(s.t.Context(), func() {
		item := s.machine.OpenItems(func(string, uint32) bool { return true })[0].PartialOutput
		last, _ = item.LastEvent()
		found, _ := item.Text()
		text = string(found)
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return last, text
}

// transferWithin returns how long a transfer took, with a time limit.
func (s *transferShard) transferWithin(limit time.Duration) time.Duration {
	// The timeout begins after this, so that a pause in between does not shorten what is measured.
	began := time.Now()
	ctx, cancel := context.WithTimeout(s.t.Context(), limit)
	defer cancel()
	s.store.prepareLeadershipTransfer(ctx, 1)
	return time.Since(began)
}

// TestTransferRecordsReceivedEvents: without a record at the transfer the next leader runs
// again what was received since the last one.
func TestTransferRecordsReceivedEvents(t *testing.T) {
	s := newTransferShard(t)
	s.receive(1, "a")
	s.receive(2, "b")
	s.run()
	s.transferWithin(10 * time.Second)
	if last, text := s.recorded(); last != 2 || text != "a\nb" {
		t.Fatalf("recorded %q up to event %d at the transfer, want 2 events", text, last)
	}
	s.receive(3, "c")
	s.transferWithin(10 * time.Second)
	if last, text := s.recorded(); last != 3 || text != "a\nb\nc" {
		t.Fatalf("recorded %q up to event %d at the second transfer, want 3 events", text, last)
	}
}

// TestTransferWaitsForPendingRecord: events received during a record in flight need another
// record. The transfer waits no longer than its limit.
func TestTransferWaitsForPendingRecord(t *testing.T) {
	s := newTransferShard(t)
	s.receive(1, "a")
	s.executor.recordingProgress = true
	s.run()
	const limit = 50 * time.Millisecond
	if took := s.transferWithin(limit); took < limit {
		t.Fatalf("the transfer returned after %v, with a record in flight", took)
	}
	if last, _ := s.recorded(); last != 0 {
		t.Fatalf("event %d was recorded with a record in flight", last)
	}
	s.executor.progressDone <- struct{}{}
	s.transferWithin(10 * time.Second)
	if last, _ := s.recorded(); last != 1 {
		t.Fatalf("events up to %d are recorded, want 1", last)
	}
}

// TestTransferRecordsNothingWithGateOff checks that the transfer returns at once with progress
// records switched off.
func TestTransferRecordsNothingWithGateOff(t *testing.T) {
	s := newTransferShard(t, string(featuregate.ItemProgress))
	s.receive(1, "a")
	s.run()
	s.transferWithin(10 * time.Second)
	if last, _ := s.recorded(); last != 0 {
		t.Fatalf("events up to %d are recorded, want none", last)
	}
}
