package output_test

import (
	"testing"

	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
	"rockwind.example/rockwind/internal/store/output"
	"rockwind.example/rockwind/internal/upstream"
)

func event(number uint64, data string) upstream.Event {
	return upstream.Event{Sequence: number, HasSequence: true, Data: []byte(data), HasData: true}
}

func newOutput() (*output.Output, output.Writer) {
	begun := output.New(&output.RunCounter{}, jobstore.PartialOutput{})
	return begun, begun.NewWriter(0)
}

// TestNextAttemptResumesAfterLastEvent: events that are sent again are ignored.
func TestNextAttemptResumesAfterLastEvent(t *testing.T) {
	item, first := newOutput()
	if first.ResumeAfter() != "" {
		t.Fatalf("a new output resumes after %q", first.ResumeAfter())
	}
	first.Add([]upstream.Event{event(1, "a"), event(2, "b")})
	second := item.NewWriter(0)
	if second.ResumeAfter() != "2" {
		t.Fatalf("the next attempt resumes after %q", second.ResumeAfter())
	}
	second.Add([]upstream.Event{event(2, "b"), event(3, "c")})
	if string(item.Text()) != "a\nb\nc" || item.LastEvent() != 3 {
		t.Fatalf("%d events received: %q", item.LastEvent(), item.Text())
	}
}

// TestRevokedWriterAddsNothing: its events may belong to another run.
func TestRevokedWriterAddsNothing(t *testing.T) {
	item, first := newOutput()
	first.Add([]upstream.Event{event(1, "a")})
	item.RevokeWriter()
	first.Add([]upstream.Event{event(2, "late")})
	second := item.NewWriter(0)
	first.Add([]upstream.Event{event(2, "late")})
	first.Discard()
	second.Add([]upstream.Event{event(2, "b")})
	if string(item.Text()) != "a\nb" {
		t.Fatalf("received %q", item.Text())
	}
}

func TestOutputOfFailedRunIsDiscarded(t *testing.T) {
	item, first := newOutput()
	first.Add([]upstream.Event{event(1, "a")})
	first.Discard()
	if _, found := item.Unrecorded(); found {
		t.Fatal("the output of a failed run is recorded")
	}
	if next := item.NewWriter(1); next.ResumeAfter() != "" || len(item.Text()) != 0 {
		t.Fatalf("the next attempt resumes after %q with %q", next.ResumeAfter(), item.Text())
	}
}

// TestEachEventIsRecordedOnce: the first record of a run is complete and later ones are
// increments, unless the outcome of a record is unknown.
func TestEachEventIsRecordedOnce(t *testing.T) {
	item, writer := newOutput()
	if _, found := item.Unrecorded(); found {
		t.Fatal("unrecorded events before any was received")
	}
	expectUnrecorded := func(want string, whole bool) output.Unrecorded {
		t.Helper()
		part, found := item.Unrecorded()
		if got := part.Events(); !found || string(got.GetProgress().GetText()) != want || (got.After == nil) != whole {
			t.Fatalf("unrecorded %v, want %q, complete: %v", got, want, whole)
		}
		return part
	}
	writer.Add([]upstream.Event{event(1, "a")})
	part := expectUnrecorded("a", true)
	writer.Add([]upstream.Event{event(2, "b")})
	part.MarkRecorded()
	part = expectUnrecorded("\nb", false)
	part.MarkRecorded()
	if _, found := item.Unrecorded(); found {
		t.Fatal("unrecorded events after all were recorded")
	}
	writer.Add([]upstream.Event{event(3, "c")})
	expectUnrecorded("\nc", false).MarkLost()
	expectUnrecorded("a\nb\nc", true)
}

// TestUnnumberedEventsAreSentAgain: servers resume after a numbered event.
func TestUnnumberedEventsAreSentAgain(t *testing.T) {
	unnumbered := upstream.Event{Data: []byte("bare"), HasData: true}
	item, writer := newOutput()
	writer.Add([]upstream.Event{unnumbered})
	writer = item.NewWriter(0)
	writer.Add([]upstream.Event{unnumbered, event(1, "a"), unnumbered})
	part, found := item.Unrecorded()
	if got := string(part.Events().GetProgress().GetText()); !found || got != "bare\na" {
		t.Fatalf("unrecorded %q", got)
	}
	part.MarkRecorded()
	writer = item.NewWriter(0)
	writer.Add([]upstream.Event{unnumbered, event(2, "b")})
	if part, _ = item.Unrecorded(); string(part.Events().GetProgress().GetText()) != "\nbare\nb" {
		t.Fatalf("unrecorded %q", part.Events().GetProgress().GetText())
	}
	writer.Add([]upstream.Event{unnumbered})
	if string(item.Text()) != "bare\na\nbare\nb\nbare" {
		t.Fatalf("received %q", item.Text())
	}
}

// TestNewLeaderRecordsOnlyNewEvents: a new leader must not record again what the shard holds.
func TestNewLeaderRecordsOnlyNewEvents(t *testing.T) {
	machine := jobstore.New()
	apply := func(command *rockwindpb.JobStoreCommand) { machine.Apply(0, encode(t, command)) }
	apply(&rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: &rockwindpb.StoredJob{Id: "job", Items: []*rockwindpb.StoredItem{{}}}}})
	apply(&rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Progress{Progress: &rockwindpb.RecordProgress{
		Jobs: []*rockwindpb.JobProgress{{Job: "job", Items: []*rockwindpb.ReceivedEvents{{Progress: &rockwindpb.ItemProgress{Term: 1, Run: 1, Last: 2, Text: []byte("a\nb")}}}}},
	}}})
	part := machine.OpenItems(func(string, uint32) bool { return true })[0].PartialOutput
	item := output.New(&output.RunCounter{}, part)
	writer := item.NewWriter(0)
	if _, found := item.Unrecorded(); found || writer.ResumeAfter() != "2" {
		t.Fatalf("unrecorded events, or the attempt resumes after %q", writer.ResumeAfter())
	}
	writer.Add([]upstream.Event{event(3, "c")})
	record, found := item.Unrecorded()
	if got := record.Events(); !found || got.After != nil || string(got.GetProgress().GetText()) != "a\nb\nc" {
		t.Fatalf("unrecorded %v", got)
	}
	if text, _ := part.Text(); string(text) != "a\nb" {
		t.Fatalf("the recorded text was changed to %q", text)
	}
}

// Guards against an output whose recorded version is not that of its events, which would let the next leader continue
// it at another one, and against events of an earlier run after a restart.
func TestVersionOfOutputIsRecorded(t *testing.T) {
	item, _ := newOutput()
	if _, begun := item.Origin(); begun {
		t.Fatal("a new output has begun")
	}
	unnumbered := item.NewWriterAt(0, "v1")
	unnumbered.Add([]upstream.Event{{Data: []byte("x"), HasData: true}})
	if _, begun := item.Origin(); begun {
		t.Fatal("an output without numbered events has begun")
	}
	first := item.NewWriterAt(0, "v2")
	first.Add([]upstream.Event{event(1, "a"), event(2, "b")})
	expect := func(version, text string) {
		t.Helper()
		origin, begun := item.Origin()
		part, found := item.Unrecorded()
		if progress := part.Events().GetProgress(); !begun || origin.Version != version || !found || progress.GetVersion() != version || string(progress.GetText()) != text {
			t.Fatalf("begun %v at %+v, to record: %v", begun, origin, part.Events())
		}
	}
	expect("v2", "a\nb")
	item.Restart()
	first.Add([]upstream.Event{event(3, "late")})
	if _, begun := item.Origin(); begun {
		t.Fatal("an output that was restarted has begun")
	}
	item.NewWriterAt(0, "v3").Add([]upstream.Event{event(1, "c")})
	expect("v3", "c")
}
