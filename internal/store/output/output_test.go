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

func begin() (*output.Output, output.Writer) {
	begun := output.New(&output.RunCounter{}, jobstore.PartialOutput{})
	return begun, begun.NewWriter(0)
}

// TestNextTryGoesOnAfterWhatWasReceived, and events that come again are passed over.
func TestNextTryGoesOnAfterWhatWasReceived(t *testing.T) {
	item, first := begin()
	if first.ResumeAfter() != "" {
		t.Fatalf("a new output goes on after %q", first.ResumeAfter())
	}
	first.Add([]upstream.Event{event(1, "a"), event(2, "b")})
	second := item.NewWriter(0)
	if second.ResumeAfter() != "2" {
		t.Fatalf("the next try goes on after %q", second.ResumeAfter())
	}
	second.Add([]upstream.Event{event(2, "b"), event(3, "c")})
	if string(item.Text()) != "a\nb\nc" || item.LastEvent() != 3 {
		t.Fatalf("received are %d events, %q", item.LastEvent(), item.Text())
	}
}

// TestDroppedTryAddsNothing, neither beside the next one nor before it: its events may be those
// of another run.
func TestDroppedTryAddsNothing(t *testing.T) {
	item, first := begin()
	first.Add([]upstream.Event{event(1, "a")})
	item.RevokeWriter()
	first.Add([]upstream.Event{event(2, "late")})
	second := item.NewWriter(0)
	first.Add([]upstream.Event{event(2, "late")})
	first.Discard()
	second.Add([]upstream.Event{event(2, "b")})
	if string(item.Text()) != "a\nb" {
		t.Fatalf("received is %q", item.Text())
	}
}

// TestOutputOfAFailedRunIsNotGoneOnWith.
func TestOutputOfAFailedRunIsNotGoneOnWith(t *testing.T) {
	item, first := begin()
	first.Add([]upstream.Event{event(1, "a")})
	first.Discard()
	if _, some := item.Unrecorded(); some {
		t.Fatal("the output of a failed run is recorded")
	}
	if next := item.NewWriter(1); next.ResumeAfter() != "" || len(item.Text()) != 0 {
		t.Fatalf("the next try goes on after %q with %q", next.ResumeAfter(), item.Text())
	}
}

// TestEachEventIsRecordedOnce: the first record of a run is whole, the next ones tell what came
// since, and one whose fate is not known has all told again.
func TestEachEventIsRecordedOnce(t *testing.T) {
	item, writer := begin()
	if _, some := item.Unrecorded(); some {
		t.Fatal("nothing was received")
	}
	told := func(want string, whole bool) output.Unrecorded {
		t.Helper()
		part, some := item.Unrecorded()
		if got := part.Events(); !some || string(got.GetProgress().GetText()) != want || (got.After == nil) != whole {
			t.Fatalf("told is %v, want %q, whole: %v", got, want, whole)
		}
		return part
	}
	writer.Add([]upstream.Event{event(1, "a")})
	part := told("a", true)
	writer.Add([]upstream.Event{event(2, "b")})
	part.MarkRecorded()
	part = told("\nb", false)
	part.MarkRecorded()
	if _, some := item.Unrecorded(); some {
		t.Fatal("all was recorded")
	}
	writer.Add([]upstream.Event{event(3, "c")})
	told("\nc", false).MarkLost()
	told("a\nb\nc", true)
}

// TestEventsWithoutANumberComeAgain: the next try goes on after a number, and the server sends
// what follows it.
func TestEventsWithoutANumberComeAgain(t *testing.T) {
	bare := upstream.Event{Data: []byte("bare"), HasData: true}
	item, writer := begin()
	writer.Add([]upstream.Event{bare})
	writer = item.NewWriter(0)
	writer.Add([]upstream.Event{bare, event(1, "a"), bare})
	part, some := item.Unrecorded()
	if got := string(part.Events().GetProgress().GetText()); !some || got != "bare\na" {
		t.Fatalf("told is %q", got)
	}
	part.MarkRecorded()
	writer = item.NewWriter(0)
	writer.Add([]upstream.Event{bare, event(2, "b")})
	if part, _ = item.Unrecorded(); string(part.Events().GetProgress().GetText()) != "\nbare\nb" {
		t.Fatalf("told is %q", part.Events().GetProgress().GetText())
	}
	writer.Add([]upstream.Event{bare})
	if string(item.Text()) != "bare\na\nbare\nb\nbare" {
		t.Fatalf("received is %q", item.Text())
	}
}

// TestNewLeaderTellsNothingThatTheShardHolds until it has received more.
func TestNewLeaderTellsNothingThatTheShardHolds(t *testing.T) {
	machine := jobstore.New()
	apply := func(command *rockwindpb.JobStoreCommand) { machine.Apply(0, encode(t, command)) }
	apply(&rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: &rockwindpb.StoredJob{Id: "job", Items: []*rockwindpb.StoredItem{{}}}}})
	apply(&rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Progress{Progress: &rockwindpb.RecordProgress{
		Jobs: []*rockwindpb.JobProgress{{Job: "job", Items: []*rockwindpb.ReceivedEvents{{Progress: &rockwindpb.ItemProgress{Term: 1, Run: 1, Last: 2, Text: []byte("a\nb")}}}}},
	}}})
	part := machine.OpenItems(func(string, uint32) bool { return true })[0].PartialOutput
	item := output.New(&output.RunCounter{}, part)
	writer := item.NewWriter(0)
	if _, some := item.Unrecorded(); some || writer.ResumeAfter() != "2" {
		t.Fatalf("something is told, or the try goes on after %q", writer.ResumeAfter())
	}
	writer.Add([]upstream.Event{event(3, "c")})
	told, some := item.Unrecorded()
	if got := told.Events(); !some || got.After != nil || string(got.GetProgress().GetText()) != "a\nb\nc" {
		t.Fatalf("told is %v", got)
	}
	if text, _ := part.Text(); string(text) != "a\nb" {
		t.Fatalf("what the shard holds became %q", text)
	}
}
