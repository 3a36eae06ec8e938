package jobstore_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// part is a piece of the output of an item as a leader tells it.
func part(item uint32, term, run, last uint64, text string) *rockwindpb.ReceivedEvents {
	return &rockwindpb.ReceivedEvents{Progress: &rockwindpb.ItemProgress{Item: item, Term: term, Run: run, Last: last, Text: []byte(text)}}
}

// after makes it one that follows an event.
func after(event uint64, events *rockwindpb.ReceivedEvents) *rockwindpb.ReceivedEvents {
	events.After = proto.Uint64(event)
	return events
}

func progress(job string, items ...*rockwindpb.ReceivedEvents) *rockwindpb.JobStoreCommand {
	return &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Progress{Progress: &rockwindpb.RecordProgress{
		Jobs: []*rockwindpb.JobProgress{{Job: job, Items: items}},
	}}}
}

func done(job string, item uint32, text string) *rockwindpb.JobStoreCommand {
	result := &rockwindpb.StoredResult{Item: item, Outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE, Text: []byte(text)}
	return &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Record{Record: &rockwindpb.RecordResults{
		Job: job, Results: []*rockwindpb.StoredResult{result},
	}}}
}

func ended(job string) *rockwindpb.JobStoreCommand {
	return &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_End{End: &rockwindpb.EndStoredJobRequest{Id: job}}}
}

// holds checks what a shard holds of an open item; last is zero where it holds nothing.
func holds(t *testing.T, machine *jobstore.Machine, item uint32, last uint64, text string) {
	t.Helper()
	for _, open := range machine.OpenItems(func(string, uint32) bool { return true }) {
		if open.Index != item {
			continue
		}
		gotLast, known := open.PartialOutput.LastEvent()
		gotText, _ := open.PartialOutput.Text()
		if gotLast != last || known != (last > 0) || string(gotText) != text {
			t.Fatalf("item %d: held are %d events (%v) with %q, want %d with %q", item, gotLast, known, gotText, last, text)
		}
		return
	}
	t.Fatalf("item %d is not open", item)
}

func restart(t *testing.T, machine *jobstore.Machine) *jobstore.Machine {
	t.Helper()
	snapshot, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := jobstore.New()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	return restored
}

// TestProgressOfItemsOutlivesItsLeader: a leader kept what it received in its memory, so that the
// next one began each running item anew.
func TestProgressOfItemsOutlivesItsLeader(t *testing.T) {
	machine := jobstore.New()
	apply(t, machine, submitted("job", "/p/", 1, 1, 1))
	apply(t, machine, progress("job", part(2, 1, 2, 1, "x"), part(0, 1, 1, 2, "a\nb")))
	apply(t, machine, progress("job", after(2, part(0, 1, 1, 4, "\nc\nd"))))
	for range 2 {
		holds(t, machine, 0, 4, "a\nb\nc\nd")
		holds(t, machine, 1, 0, "")
		holds(t, machine, 2, 1, "x")
		machine = restart(t, machine)
	}
}

// TestProgressWithoutTextIsTold: events may have numbers and no data, or empty data.
func TestProgressWithoutTextIsTold(t *testing.T) {
	machine := jobstore.New()
	apply(t, machine, submitted("job", "/p/", 1))
	bare := part(0, 1, 1, 3, "")
	bare.Progress.Text = nil
	apply(t, machine, progress("job", bare))
	received := func() jobstore.PartialOutput {
		return machine.OpenItems(func(string, uint32) bool { return true })[0].PartialOutput
	}
	if _, found := received().Text(); found {
		t.Fatal("events without data have a text")
	}
	apply(t, machine, progress("job", after(3, part(0, 1, 1, 4, ""))))
	machine = restart(t, machine)
	if text, found := received().Text(); !found || len(text) != 0 {
		t.Fatalf("an event with empty data gives %q, %v", text, found)
	}
	holds(t, machine, 0, 4, "")
}

// TestLateProgressChangesNothing, whatever it comes late for.
func TestLateProgressChangesNothing(t *testing.T) {
	for name, late := range map[string]*rockwindpb.ReceivedEvents{
		"events that are known":                part(0, 2, 5, 2, "a\nb"),
		"further events that are known":        after(1, part(0, 2, 5, 3, "\nb\nc")),
		"events behind a gap":                  after(4, part(0, 2, 5, 5, "\ne")),
		"no further event":                     after(3, part(0, 2, 5, 3, "\nc")),
		"the output of an earlier term":        part(0, 1, 9, 9, "old"),
		"events of an earlier term":            after(3, part(0, 1, 5, 4, "\nold")),
		"the output of an earlier run":         part(0, 2, 4, 9, "old"),
		"events of an earlier run":             after(3, part(0, 2, 4, 4, "\nold")),
		"events of a later run without a head": after(3, part(0, 2, 6, 4, "\nd")),
		"an item that the job does not have":   part(7, 2, 5, 1, "a"),
		"nothing":                              {},
	} {
		t.Run(name, func(t *testing.T) {
			machine := jobstore.New()
			apply(t, machine, submitted("job", "/p/", 1))
			apply(t, machine, progress("job", part(0, 2, 5, 3, "a\nb\nc")))
			apply(t, machine, progress("job", late))
			holds(t, machine, 0, 3, "a\nb\nc")
		})
	}
}

// TestLaterRunTellsItsWholeOutput: a leader that began the item anew, since it did not know what
// the shard holds, is the one that goes on.
func TestLaterRunTellsItsWholeOutput(t *testing.T) {
	machine := jobstore.New()
	apply(t, machine, submitted("job", "/p/", 1))
	apply(t, machine, progress("job", part(0, 2, 5, 3, "a\nb\nc")))
	apply(t, machine, progress("job", part(0, 3, 1, 1, "A")))
	holds(t, machine, 0, 1, "A")
	apply(t, machine, progress("job", after(3, part(0, 2, 5, 4, "\nd"))))
	apply(t, machine, progress("job", after(1, part(0, 3, 1, 2, "\nB"))))
	holds(t, machine, 0, 2, "A\nB")
}

// TestProgressIsGivenBackWithTheResult and with the job, also where it arrives later.
func TestProgressIsGivenBackWithTheResult(t *testing.T) {
	late := progress("job", part(0, 9, 9, 3, "late"), part(1, 9, 9, 3, "late"))
	for name, command := range map[string]*rockwindpb.JobStoreCommand{"a result": done("job", 0, "whole"), "the end of the job": ended("job")} {
		t.Run(name, func(t *testing.T) {
			machine, untouched := jobstore.New(), jobstore.New()
			for _, each := range []*jobstore.Machine{machine, untouched} {
				apply(t, each, submitted("job", "/p/", 1, 1))
			}
			apply(t, machine, progress("job", part(0, 1, 1, 2, "a\nb")))
			for _, each := range []*jobstore.Machine{machine, untouched} {
				apply(t, each, command)
			}
			apply(t, machine, progress("job", part(0, 9, 9, 3, "late")))
			apply(t, machine, progress("no-job", part(0, 9, 9, 3, "late")))
			got, _ := machine.Snapshot()
			want, _ := untouched.Snapshot()
			if string(got) != string(want) {
				t.Fatalf("the state keeps %d bytes, %d without progress", len(got), len(want))
			}
		})
	}
	machine := jobstore.New()
	apply(t, machine, submitted("job", "/p/", 1, 1))
	apply(t, machine, done("job", 0, "whole"))
	apply(t, machine, late)
	read, err := machine.Read("job", "", 0, 1<<10)
	if err != nil || len(read.GetResults()) != 1 || string(read.GetResults()[0].GetText()) != "whole" {
		t.Fatalf("the result is %v, %v", read, err)
	}
	holds(t, machine, 1, 3, "late")
}

// TestFailedRunIsNotGoneOnWith, nor is what comes late from it.
func TestFailedRunIsNotGoneOnWith(t *testing.T) {
	machine := jobstore.New()
	apply(t, machine, submitted("job", "/p/", 1))
	apply(t, machine, progress("job", part(0, 1, 1, 2, "a\nb")))
	apply(t, machine, failure("job", 0))
	holds(t, machine, 0, 0, "")
	apply(t, machine, progress("job", part(0, 1, 1, 3, "a\nb\nc")))
	holds(t, machine, 0, 0, "")
	next := part(0, 1, 2, 1, "A")
	next.Progress.Failures = 1
	apply(t, machine, progress("job", next))
	holds(t, machine, 0, 1, "A")
}

// TestProgressBesideAVersionThatDoesNotKnowIt: such a replica keeps what a snapshot brought it
// beside the results and failures that it applies, and hands it on in its own snapshots.
func TestProgressBesideAVersionThatDoesNotKnowIt(t *testing.T) {
	stale := &rockwindpb.StoredJob{
		Id:       "job",
		Items:    []*rockwindpb.StoredItem{{Id: "a"}, {Id: "b"}, {Id: "c"}},
		Results:  []*rockwindpb.StoredResult{{Item: 0, Outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE}},
		Failures: []*rockwindpb.ItemFailures{{Item: 1, Count: 1}},
	}
	for item := range uint32(4) {
		stale.Progress = append(stale.Progress, part(item, 1, 1, 2, "a\nb").GetProgress())
	}
	snapshot, err := proto.Marshal(&rockwindpb.JobStoreSnapshot{Jobs: []*rockwindpb.StoredJob{stale}})
	if err != nil {
		t.Fatal(err)
	}
	machine := jobstore.New()
	if err := machine.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	holds(t, machine, 1, 0, "")
	holds(t, machine, 2, 2, "a\nb")
	// Replicas of which one did not know what was recorded hold the same after the next leader's
	// first record.
	other := jobstore.New()
	stale.Progress = nil
	if snapshot, err = proto.Marshal(&rockwindpb.JobStoreSnapshot{Jobs: []*rockwindpb.StoredJob{stale}}); err != nil {
		t.Fatal(err)
	}
	if err := other.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for _, each := range []*jobstore.Machine{machine, other} {
		apply(t, each, progress("job", after(2, part(2, 1, 1, 3, "\nc"))))
		apply(t, each, progress("job", part(2, 2, 1, 1, "A")))
		holds(t, each, 2, 1, "A")
	}
}
