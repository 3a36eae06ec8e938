package store

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/backlog"
	"rockwind.example/rockwind/internal/gate"
	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/replica"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/router"
	"rockwind.example/rockwind/internal/store/claims"
	"rockwind.example/rockwind/internal/store/output"
	"rockwind.example/rockwind/internal/upstream"
)

// leavingShard is a shard with one item that runs, whose progress is not due for an hour.
type leavingShard struct {
	t        *testing.T
	store    *Store
	executor *executor
	group    *replica.Local
	machine  *jobstore.Machine
	writer   output.Writer
}

func newLeavingShard(t *testing.T, switchedOff ...string) *leavingShard {
	t.Helper()
	gates := gate.NewSet(switchedOff)
	s := &Store{
		gates: gates, settings: &rockwindpb.SiteSettings{}, dispatcher: router.NewDispatcher("zone", gates),
		machines: make(map[uint32]*jobstore.Machine), partings: make(map[uint32]chan parting), created: make(chan uint32, 1),
	}
	machine := s.create(1).(*jobstore.Machine)
	group := replica.NewLocal(machine)
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
		history: make(map[claims.Key]*history), active: make(map[claims.Key]*activeTry), paces: make(map[string]*backlog.Pace),
		ended: make(chan itemEnd, endBuffer), notes: make(chan struct{}, 1), partings: s.partingsOf(1),
		term: 1, historyTerm: 1, noted: time.Now().Add(time.Hour),
	}
	received := output.New(&e.runs, jobstore.PartialOutput{})
	key := claims.NewKey("job", 0)
	e.history[key] = &history{output: received}
	e.active[key] = &activeTry{}
	if _, made := e.claims.Acquire(key, func() {}); !made {
		t.Fatal("the item runs already")
	}
	return &leavingShard{t: t, store: s, executor: e, group: group, machine: machine, writer: received.NewWriter(0)}
}

// run has the executor work until the test ends.
func (l *leavingShard) run() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.executor.run(ctx)
	}()
	l.t.Cleanup(func() { cancel(); <-ended })
}

func (l *leavingShard) receive(number uint64, data string) {
	l.writer.Add([]upstream.Event{{Sequence: number, HasSequence: true, Data: []byte(data), HasData: true}})
}

// holds is the last event that the shard holds of the item, and the text up to it.
func (l *leavingShard) holds() (last uint64, text string) {
	l.t.Helper()
	err := l.group.Read(l.t.Context(), func() {
		received := l.machine.OpenItems(func(string, uint32) bool { return true })[0].PartialOutput
		last, _ = received.LastEvent()
		found, _ := received.Text()
		text = string(found)
	})
	if err != nil {
		l.t.Fatal(err)
	}
	return last, text
}

// partWithin tells how long a hand-over waits that allows some time.
func (l *leavingShard) partWithin(limit time.Duration) time.Duration {
	ctx, cancel := context.WithTimeout(l.t.Context(), limit)
	defer cancel()
	began := time.Now()
	l.store.part(ctx, 1)
	return time.Since(began)
}

// TestPlannedHandOverRecordsWhatWasReceived: a shard that was handed over on plan held what the
// last record told, up to 500 ms ago, and the next leader had that much made again.
func TestPlannedHandOverRecordsWhatWasReceived(t *testing.T) {
	l := newLeavingShard(t)
	l.receive(1, "a")
	l.receive(2, "b")
	l.run()
	l.partWithin(10 * time.Second)
	if last, text := l.holds(); last != 2 || text != "a\nb" {
		t.Fatalf("the shard holds %q up to event %d at the hand-over; 2 events were received", text, last)
	}
	l.receive(3, "c")
	l.partWithin(10 * time.Second)
	if last, text := l.holds(); last != 3 || text != "a\nb\nc" {
		t.Fatalf("the shard holds %q up to event %d at the second hand-over", text, last)
	}
}

// TestHandOverWaitsForTheRecordUnderWay, and records what came since; it waits no longer than its
// limit where that record does not end.
func TestHandOverWaitsForTheRecordUnderWay(t *testing.T) {
	l := newLeavingShard(t)
	l.receive(1, "a")
	l.executor.noting = true
	l.run()
	const limit = 50 * time.Millisecond
	if took := l.partWithin(limit); took < limit {
		t.Fatalf("the hand-over went on after %v, beside a record under way", took)
	}
	if last, _ := l.holds(); last != 0 {
		t.Fatalf("event %d was recorded beside a record under way", last)
	}
	l.executor.notes <- struct{}{}
	l.partWithin(10 * time.Second)
	if last, _ := l.holds(); last != 1 {
		t.Fatalf("the shard holds the events up to %d; 1 was received", last)
	}
}

// TestHandOverRecordsNothingWhereThatIsSwitchedOff, and goes on at once.
func TestHandOverRecordsNothingWhereThatIsSwitchedOff(t *testing.T) {
	l := newLeavingShard(t, string(gate.ItemProgress))
	l.receive(1, "a")
	l.run()
	l.partWithin(10 * time.Second)
	if last, _ := l.holds(); last != 0 {
		t.Fatalf("the shard holds the events up to %d", last)
	}
}
