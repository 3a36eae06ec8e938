package output_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/store/output"
	"rockwind.example/rockwind/internal/upstream"
)

const job = "job"

// told is a record on its way, with the part of the output that waits for its fate.
type told struct {
	command []byte
	part    output.Unrecorded
}

// plan is a shard with one item, its leader, and what is on its way between them.
type plan struct {
	t       *rapid.T
	machine *jobstore.Machine
	applied [][]byte
	runs    *output.RunCounter
	output  *output.Output
	writer  output.Writer
	// dropped are the writers of earlier tries, which may still add.
	dropped  []output.Writer
	term     uint64
	failures int
	// underWay is at most one record of this leader, and late are those whose leader gave up.
	underWay *told
	late     []told
	// toldText is the whole output when it was told last, and toldLast its last event.
	toldText string
	toldLast uint64
	// serial makes the data of each event that a server sends unlike all others.
	serial int
	// lines are the texts that an output has had, with the number of their last event.
	lines map[string]uint64
	done  string
}

func newPlan(t *rapid.T) *plan {
	p := &plan{t: t, machine: jobstore.New(), lines: make(map[string]uint64)}
	p.apply(encode(t, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: &rockwindpb.StoredJob{
		Id: job, Items: []*rockwindpb.StoredItem{{Id: "item"}},
	}}}))
	p.newLeader(t)
	return p
}

func encode(t rapid.TB, command *rockwindpb.JobStoreCommand) []byte {
	encoded, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func (p *plan) apply(command []byte) {
	p.applied = append(p.applied, command)
	p.machine.Apply(0, command)
}

func (p *plan) open() (jobstore.OpenItem, bool) {
	items := p.machine.OpenItems(func(string, uint32) bool { return true })
	if len(items) == 0 {
		return jobstore.OpenItem{}, false
	}
	return items[0], true
}

// newLeader has a leader of a later term go on from what the shard holds. What the one before
// has under way may still arrive.
func (p *plan) newLeader(*rapid.T) {
	p.giveUp()
	p.term++
	item, _ := p.open()
	p.failures = item.Failures
	p.runs = &output.RunCounter{}
	if p.output != nil {
		p.dropped = append(p.dropped, p.writer)
	}
	p.output = output.New(p.runs, item.PartialOutput)
	p.writer = p.output.NewWriter(p.failures)
}

func (p *plan) giveUp() {
	if p.underWay != nil {
		p.late = append(p.late, *p.underWay)
		p.underWay = nil
	}
}

// lapse has the lease lapse and hold again in the same term.
func (p *plan) lapse(*rapid.T) {
	p.output.RevokeWriter()
	p.dropped = append(p.dropped, p.writer)
	p.writer = p.output.NewWriter(p.failures)
}

// receive has the server send the events that the try asked for.
func (p *plan) receive(t *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(t, "events") {
		p.serial++
		next := p.output.LastEvent() + 1
		p.writer.Add([]upstream.Event{event(next, fmt.Sprintf("%d.%d", next, p.serial))})
		p.lines[string(p.output.Text())] = next
	}
}

// receiveLate has a try that was dropped receive an event.
func (p *plan) receiveLate(t *rapid.T) {
	if len(p.dropped) == 0 {
		t.Skip("no try was dropped")
	}
	text := string(p.output.Text())
	rapid.SampledFrom(p.dropped).Draw(t, "try").Add([]upstream.Event{event(p.output.LastEvent()+1, "late")})
	if string(p.output.Text()) != text {
		t.Fatalf("a dropped try added to %q: %q", text, p.output.Text())
	}
}

func (p *plan) note(t *rapid.T) {
	part, some := p.output.Unrecorded()
	if p.underWay != nil || !some {
		t.Skip("nothing is to be told")
	}
	p.toldText, p.toldLast = string(p.output.Text()), p.output.LastEvent()
	part.Events().Progress.Term = p.term
	p.underWay = &told{part: part, command: encode(t, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Progress{
		Progress: &rockwindpb.RecordProgress{Jobs: []*rockwindpb.JobProgress{{Job: job, Items: []*rockwindpb.ReceivedEvents{part.Events()}}}},
	}})}
}

// settle ends the record under way: it is applied, or its fate is not known and it may arrive
// later or never.
func (p *plan) settle(t *rapid.T) {
	if p.underWay == nil {
		t.Skip("nothing is under way")
	}
	if rapid.IntRange(0, 2).Draw(t, "lost") < 2 {
		p.record(t)
		return
	}
	p.underWay.part.MarkLost()
	p.giveUp()
}

// record applies the record under way, after which the shard holds what the leader told.
func (p *plan) record(t *rapid.T) {
	p.apply(p.underWay.command)
	p.underWay.part.MarkRecorded()
	p.underWay = nil
	item, open := p.open()
	if !open {
		return
	}
	last, _ := item.PartialOutput.LastEvent()
	text, _ := item.PartialOutput.Text()
	if last != p.toldLast || string(text) != p.toldText {
		t.Fatalf("the shard holds %q up to event %d, told were %q up to %d", text, last, p.toldText, p.toldLast)
	}
}

// advance receives events and records them, mostly.
func (p *plan) advance(t *rapid.T) {
	p.receive(t)
	if p.underWay == nil {
		p.note(t)
	}
	p.settle(t)
}

// arriveLate applies a record that was given up, also more than once.
func (p *plan) arriveLate(t *rapid.T) {
	if len(p.late) == 0 {
		t.Skip("nothing is late")
	}
	p.apply(rapid.SampledFrom(p.late).Draw(t, "record").command)
}

// fail has the server answer that the try failed. A record of what was received before may
// still be under way.
func (p *plan) fail(t *rapid.T) {
	if !seldom(t) {
		t.Skip("no failure")
	}
	p.giveUp()
	p.writer.Discard()
	p.failures++
	p.apply(encode(t, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Failure{Failure: &rockwindpb.RecordFailure{Job: job}}}))
	if item, open := p.open(); open {
		if _, known := item.PartialOutput.LastEvent(); known {
			t.Fatal("the shard holds the output of a failed run")
		}
	}
	p.writer = p.output.NewWriter(p.failures)
}

// losePower replays the log, or restores a snapshot, and a new leader goes on.
func (p *plan) losePower(t *rapid.T) {
	if !seldom(t) {
		t.Skip("no loss of power")
	}
	before, err := p.machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	p.machine = jobstore.New()
	if rapid.Bool().Draw(t, "by snapshot") {
		if err := p.machine.Restore(before); err != nil {
			t.Fatal(err)
		}
	} else {
		for _, command := range p.applied {
			p.machine.Apply(0, command)
		}
	}
	after, err := p.machine.Snapshot()
	if err != nil || !slices.Equal(before, after) {
		t.Fatalf("the replay gives another state, %v", err)
	}
	p.newLeader(t)
}

// finish records the result, seldom, since nothing else happens to the item afterwards.
func (p *plan) finish(t *rapid.T) {
	if p.output.LastEvent() == 0 || p.done != "" || !seldom(t) {
		t.Skip("nothing to record")
	}
	p.done = string(p.output.Text())
	p.apply(encode(t, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Record{Record: &rockwindpb.RecordResults{
		Job: job, Results: []*rockwindpb.StoredResult{{Outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE, Text: p.output.Text()}},
	}}}))
}

// seldom is true once in a while, for what starts a plan anew.
func seldom(t *rapid.T) bool { return rapid.IntRange(0, 9).Draw(t, "seldom") == 9 }

// check looks at what the leader and the shard hold: each event once, in order, and in the shard
// what one leader received.
func (p *plan) check(t *rapid.T) {
	inOrder(t, string(p.output.Text()), p.output.LastEvent())
	item, open := p.open()
	if open != (p.done == "") {
		t.Fatalf("the item is open: %v", open)
	}
	if !open {
		read, err := p.machine.Read(job, "", 0, 1<<20)
		if err != nil || len(read.GetResults()) != 1 || string(read.GetResults()[0].GetText()) != p.done {
			t.Fatalf("the result is %v, %v, want %q", read, err, p.done)
		}
		return
	}
	if last, known := item.PartialOutput.LastEvent(); known {
		text, _ := item.PartialOutput.Text()
		inOrder(t, string(text), last)
		if got, received := p.lines[string(text)]; !received || got != last {
			t.Fatalf("no leader received %q up to event %d", text, last)
		}
	}
}

func inOrder(t *rapid.T, text string, last uint64) {
	if last == 0 {
		return
	}
	lines := strings.Split(text, "\n")
	if len(lines) != int(last) {
		t.Fatalf("%d events in %q, want %d", len(lines), text, last)
	}
	for i, line := range lines {
		if !strings.HasPrefix(line, fmt.Sprintf("%d.", i+1)) {
			t.Fatalf("event %d is %q in %q", i+1, line, text)
		}
	}
}

// TestOutputOutlivesItsLeaders plays lapses, new leaders, losses of power, failures, records
// that are lost, late or doubled, and a result, in random orders.
func TestOutputOutlivesItsLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPlan(t)
		t.Repeat(map[string]func(*rapid.T){
			"advance": p.advance, "advance more": p.advance, "go on": p.advance, "receive": p.receive, "receive late": p.receiveLate, "note": p.note, "settle": p.settle, "arrive late": p.arriveLate,
			"lapse": p.lapse, "new leader": p.newLeader, "lose power": p.losePower, "fail": p.fail, "finish": p.finish, "": p.check,
		})
	})
}

// TestFailureThatIsKnownLateStopsNoRecords: a try fails, and the lease lapses and holds again before
// its failure is in the log. What the next try receives is told with the earlier count, which the
// shard passes over; the one after that is told whole.
func TestFailureThatIsKnownLateStopsNoRecords(t *testing.T) {
	machine := jobstore.New()
	apply := func(command *rockwindpb.JobStoreCommand) { machine.Apply(0, encode(t, command)) }
	apply(&rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: &rockwindpb.StoredJob{
		Id: job, Items: []*rockwindpb.StoredItem{{Id: "item"}},
	}}})
	record := func(of *output.Output) {
		part, some := of.Unrecorded()
		if !some {
			t.Fatal("nothing is to be told")
		}
		part.Events().Progress.Term = 1
		apply(&rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Progress{Progress: &rockwindpb.RecordProgress{
			Jobs: []*rockwindpb.JobProgress{{Job: job, Items: []*rockwindpb.ReceivedEvents{part.Events()}}},
		}}})
		part.MarkRecorded()
	}
	received := output.New(&output.RunCounter{}, jobstore.PartialOutput{})
	received.NewWriter(0).Discard()
	next := received.NewWriter(0)
	next.Add([]upstream.Event{event(1, "a"), event(2, "b")})
	apply(&rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Failure{Failure: &rockwindpb.RecordFailure{Job: job}}})
	record(received)
	received.NewWriter(1).Add([]upstream.Event{event(3, "c")})
	record(received)
	items := machine.OpenItems(func(string, uint32) bool { return true })
	if len(items) != 1 {
		t.Fatalf("%d items are open", len(items))
	}
	if last, known := items[0].PartialOutput.LastEvent(); !known || last != 3 {
		t.Fatalf("the shard holds the events up to %d, %v; 3 were received", last, known)
	}
}
