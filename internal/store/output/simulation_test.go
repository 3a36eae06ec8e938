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

// pendingRecord is a proposed record whose outcome is unknown.
type pendingRecord struct {
	command []byte
	part    output.Unrecorded
}

// simulation is a shard with one item, its leader, and the records between them.
type simulation struct {
	t       *rapid.T
	machine *jobstore.Machine
	applied [][]byte
	runs    *output.RunCounter
	output  *output.Output
	writer  output.Writer
	// revoked holds the writers of earlier attempts, which may still add events.
	revoked  []output.Writer
	term     uint64
	failures int
	// inFlight is the only record in flight of this leader, and late holds records that were
	// abandoned.
	inFlight *pendingRecord
	late     []pendingRecord
	// sentText is the whole output at the time of the last record, and sentLast its last event.
	sentText string
	sentLast uint64
	// serial makes the data of each event unique.
	serial int
	// lines maps each text that the output has had to the number of its last event.
	lines map[string]uint64
	done  string
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, machine: jobstore.New(), lines: make(map[string]uint64)}
	s.apply(encode(t, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: &rockwindpb.StoredJob{
		Id: job, Items: []*rockwindpb.StoredItem{{Id: "item"}},
	}}}))
	s.newLeader(t)
	return s
}

func encode(t rapid.TB, command *rockwindpb.JobStoreCommand) []byte {
	encoded, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func (s *simulation) apply(command []byte) {
	s.applied = append(s.applied, command)
	s.machine.Apply(0, command)
}

func (s *simulation) open() (jobstore.OpenItem, bool) {
	items := s.machine.OpenItems(func(string, uint32) bool { return true })
	if len(items) == 0 {
		return jobstore.OpenItem{}, false
	}
	return items[0], true
}

// newLeader starts a leader of a later term from the recorded state. Records of the previous
// leader may still be applied later.
func (s *simulation) newLeader(*rapid.T) {
	s.abandonRecord()
	s.term++
	item, _ := s.open()
	s.failures = item.Failures
	s.runs = &output.RunCounter{}
	if s.output != nil {
		s.revoked = append(s.revoked, s.writer)
	}
	s.output = output.New(s.runs, item.PartialOutput)
	s.writer = s.output.NewWriter(s.failures)
}

func (s *simulation) abandonRecord() {
	if s.inFlight != nil {
		s.late = append(s.late, *s.inFlight)
		s.inFlight = nil
	}
}

// loseLease makes the lease lapse and renews it in the same term.
func (s *simulation) loseLease(*rapid.T) {
	s.output.RevokeWriter()
	s.revoked = append(s.revoked, s.writer)
	s.writer = s.output.NewWriter(s.failures)
}

// receive adds the next events from the server.
func (s *simulation) receive(t *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(t, "events") {
		s.serial++
		next := s.output.LastEvent() + 1
		s.writer.Add([]upstream.Event{event(next, fmt.Sprintf("%d.%d", next, s.serial))})
		s.lines[string(s.output.Text())] = next
	}
}

// receiveLate adds an event from a revoked writer, which must be ignored.
func (s *simulation) receiveLate(t *rapid.T) {
	if len(s.revoked) == 0 {
		t.Skip("no writer was revoked")
	}
	text := string(s.output.Text())
	rapid.SampledFrom(s.revoked).Draw(t, "try").Add([]upstream.Event{event(s.output.LastEvent()+1, "late")})
	if string(s.output.Text()) != text {
		t.Fatalf("a revoked writer added to %q: %q", text, s.output.Text())
	}
}

func (s *simulation) takeUnrecorded(t *rapid.T) {
	part, found := s.output.Unrecorded()
	if s.inFlight != nil || !found {
		t.Skip("nothing to record")
	}
	s.sentText, s.sentLast = string(s.output.Text()), s.output.LastEvent()
	part.Events().Progress.Term = s.term
	s.inFlight = &pendingRecord{part: part, command: encode(t, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Progress{
		Progress: &rockwindpb.RecordProgress{Jobs: []*rockwindpb.JobProgress{{Job: job, Items: []*rockwindpb.ReceivedEvents{part.Events()}}}},
	}})}
}

// completeRecord ends the record in flight: it is applied, or its outcome is unknown and it may
// be applied later.
func (s *simulation) completeRecord(t *rapid.T) {
	if s.inFlight == nil {
		t.Skip("no record is in flight")
	}
	if rapid.IntRange(0, 2).Draw(t, "lost") < 2 {
		s.record(t)
		return
	}
	s.inFlight.part.MarkLost()
	s.abandonRecord()
}

// record applies the record in flight, after which the shard must hold what the leader sent.
func (s *simulation) record(t *rapid.T) {
	s.apply(s.inFlight.command)
	s.inFlight.part.MarkRecorded()
	s.inFlight = nil
	item, open := s.open()
	if !open {
		return
	}
	last, _ := item.PartialOutput.LastEvent()
	text, _ := item.PartialOutput.Text()
	if last != s.sentLast || string(text) != s.sentText {
		t.Fatalf("recorded %q up to event %d, sent %q up to %d", text, last, s.sentText, s.sentLast)
	}
}

// advance receives events and usually records them.
func (s *simulation) advance(t *rapid.T) {
	s.receive(t)
	if s.inFlight == nil {
		s.takeUnrecorded(t)
	}
	s.completeRecord(t)
}

// applyLate applies an abandoned record, possibly more than once.
func (s *simulation) applyLate(t *rapid.T) {
	if len(s.late) == 0 {
		t.Skip("no record was abandoned")
	}
	s.apply(rapid.SampledFrom(s.late).Draw(t, "record").command)
}

// fail fails the attempt. An earlier record may still be in flight.
func (s *simulation) fail(t *rapid.T) {
	if !rarely(t) {
		t.Skip("no failure")
	}
	s.abandonRecord()
	s.writer.Discard()
	s.failures++
	s.apply(encode(t, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Failure{Failure: &rockwindpb.RecordFailure{Job: job}}}))
	if item, open := s.open(); open {
		if _, known := item.PartialOutput.LastEvent(); known {
			t.Fatal("the output of a failed run is still recorded")
		}
	}
	s.writer = s.output.NewWriter(s.failures)
}

// restart replays the log or restores a snapshot, and starts a new leader.
func (s *simulation) restart(t *rapid.T) {
	if !rarely(t) {
		t.Skip("no restart")
	}
	before, err := s.machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	s.machine = jobstore.New()
	if rapid.Bool().Draw(t, "by snapshot") {
		if err := s.machine.Restore(before); err != nil {
			t.Fatal(err)
		}
	} else {
		for _, command := range s.applied {
			s.machine.Apply(0, command)
		}
	}
	after, err := s.machine.Snapshot()
	if err != nil || !slices.Equal(before, after) {
		t.Fatalf("the replayed state differs: %v", err)
	}
	s.newLeader(t)
}

// finish records the result. It is rare, since no other operation affects the item afterwards.
func (s *simulation) finish(t *rapid.T) {
	if s.output.LastEvent() == 0 || s.done != "" || !rarely(t) {
		t.Skip("nothing to record")
	}
	s.done = string(s.output.Text())
	s.apply(encode(t, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Record{Record: &rockwindpb.RecordResults{
		Job: job, Results: []*rockwindpb.StoredResult{{Outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE, Text: s.output.Text()}},
	}}}))
}

// rarely reports true in one of ten draws.
func rarely(t *rapid.T) bool { return rapid.IntRange(0, 9).Draw(t, "seldom") == 9 }

// check verifies that the leader and the shard hold each event once and in order, and that the
// shard holds what one leader received.
func (s *simulation) check(t *rapid.T) {
	inOrder(t, string(s.output.Text()), s.output.LastEvent())
	item, open := s.open()
	if open != (s.done == "") {
		t.Fatalf("item open: %v", open)
	}
	if !open {
		read, err := s.machine.Read(job, "", 0, 1<<20)
		if err != nil || len(read.GetResults()) != 1 || string(read.GetResults()[0].GetText()) != s.done {
			t.Fatalf("results %v, %v, want %q", read, err, s.done)
		}
		return
	}
	if last, known := item.PartialOutput.LastEvent(); known {
		text, _ := item.PartialOutput.Text()
		inOrder(t, string(text), last)
		if got, received := s.lines[string(text)]; !received || got != last {
			t.Fatalf("recorded %q up to event %d, which no leader received", text, last)
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

// TestOutputSurvivesLeaderChanges runs random sequences of lease losses, leader changes,
// restarts, failures, and lost, late or duplicate records.
func TestOutputSurvivesLeaderChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"advance": s.advance, "advance more": s.advance, "go on": s.advance, "receive": s.receive, "receive late": s.receiveLate, "note": s.takeUnrecorded, "settle": s.completeRecord, "arrive late": s.applyLate,
			"lapse": s.loseLease, "new leader": s.newLeader, "lose power": s.restart, "fail": s.fail, "finish": s.finish, "": s.check,
		})
	})
}

// TestLateFailureDoesNotStopRecords: the lease lapses before a failure is in the log, so the
// next attempt records with the earlier failure count, which the shard ignores. The attempt
// after that must record the whole output.
func TestLateFailureDoesNotStopRecords(t *testing.T) {
	machine := jobstore.New()
	apply := func(command *rockwindpb.JobStoreCommand) { machine.Apply(0, encode(t, command)) }
	apply(&rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: &rockwindpb.StoredJob{
		Id: job, Items: []*rockwindpb.StoredItem{{Id: "item"}},
	}}})
	record := func(of *output.Output) {
		part, found := of.Unrecorded()
		if !found {
			t.Fatal("nothing to record")
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
		t.Fatalf("%d open items, want 1", len(items))
	}
	if last, known := items[0].PartialOutput.LastEvent(); !known || last != 3 {
		t.Fatalf("recorded up to event %d (%v), want 3", last, known)
	}
}
