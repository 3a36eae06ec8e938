package jobstore_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// newEvents returns events at the start of a run's output.
func newEvents(item uint32, term, run, last uint64, text string) *rockwindpb.ReceivedEvents {
	return &rockwindpb.ReceivedEvents{Progress: &rockwindpb.ItemProgress{Item: item, Term: term, Run: run, Last: last, Text: []byte(text)}}
}

// after turns events into those that follow a numbered event.
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

// checkRecorded compares the recorded output of an open item; last is zero if none is expected.
func checkRecorded(t *testing.T, machine *jobstore.Machine, item uint32, last uint64, text string) {
	t.Helper()
	for _, open := range machine.OpenItems(func(string, uint32) bool { return true }) {
		if open.Index != item {
			continue
		}
		gotLast, known := open.PartialOutput.LastEvent()
		gotText, _ := open.PartialOutput.Text()
		if gotLast != last || known != (last > 0) || string(gotText) != text {
			t.Fatalf("item %d: recorded up to event %d (%v) with %q, want %d with %q", item, gotLast, known, gotText, last, text)
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

// TestProgressSurvivesLeaderChange: without replicated progress a new leader starts every
// running item over.
func TestProgressSurvivesLeaderChange(t *testing.T) {
	machine := jobstore.New()
	apply(t, machine, submitted("job", "/p/", 1, 1, 1))
	apply(t, machine, progress("job", newEvents(2, 1, 2, 1, "x"), newEvents(0, 1, 1, 2, "a\nb")))
	apply(t, machine, progress("job", after(2, newEvents(0, 1, 1, 4, "\nc\nd"))))
	for range 2 {
		checkRecorded(t, machine, 0, 4, "a\nb\nc\nd")
		checkRecorded(t, machine, 1, 0, "")
		checkRecorded(t, machine, 2, 1, "x")
		machine = restart(t, machine)
	}
}

// TestProgressWithoutText covers events without data or with empty data.
func TestProgressWithoutText(t *testing.T) {
	machine := jobstore.New()
	apply(t, machine, submitted("job", "/p/", 1))
	noData := newEvents(0, 1, 1, 3, "")
	noData.Progress.Text = nil
	apply(t, machine, progress("job", noData))
	received := func() jobstore.PartialOutput {
		return machine.OpenItems(func(string, uint32) bool { return true })[0].PartialOutput
	}
	if _, found := received().Text(); found {
		t.Fatal("text recorded for events without data")
	}
	apply(t, machine, progress("job", after(3, newEvents(0, 1, 1, 4, ""))))
	machine = restart(t, machine)
	if text, found := received().Text(); !found || len(text) != 0 {
		t.Fatalf("text after an event with empty data: %q, %v", text, found)
	}
	checkRecorded(t, machine, 0, 4, "")
}

// TestStaleProgressIsIgnored covers duplicates, gaps, and earlier terms and runs.
func TestStaleProgressIsIgnored(t *testing.T) {
	for name, late := range map[string]*rockwindpb.ReceivedEvents{
		"known events":                            newEvents(0, 2, 5, 2, "a\nb"),
		"known further events":                    after(1, newEvents(0, 2, 5, 3, "\nb\nc")),
		"events after a gap":                      after(4, newEvents(0, 2, 5, 5, "\ne")),
		"no further event":                        after(3, newEvents(0, 2, 5, 3, "\nc")),
		"the output of an earlier term":           newEvents(0, 1, 9, 9, "old"),
		"events of an earlier term":               after(3, newEvents(0, 1, 5, 4, "\nold")),
		"the output of an earlier run":            newEvents(0, 2, 4, 9, "old"),
		"events of an earlier run":                after(3, newEvents(0, 2, 4, 4, "\nold")),
		"events of a later run without its start": after(3, newEvents(0, 2, 6, 4, "\nd")),
		"an item that the job does not have":      newEvents(7, 2, 5, 1, "a"),
		"no progress":                             {},
	} {
		t.Run(name, func(t *testing.T) {
			machine := jobstore.New()
			apply(t, machine, submitted("job", "/p/", 1))
			apply(t, machine, progress("job", newEvents(0, 2, 5, 3, "a\nb\nc")))
			apply(t, machine, progress("job", late))
			checkRecorded(t, machine, 0, 3, "a\nb\nc")
		})
	}
}

// TestLaterRunReplacesOutput: a leader that did not know the recorded output started the item
// over, and its run is the one that continues.
func TestLaterRunReplacesOutput(t *testing.T) {
	machine := jobstore.New()
	apply(t, machine, submitted("job", "/p/", 1))
	apply(t, machine, progress("job", newEvents(0, 2, 5, 3, "a\nb\nc")))
	apply(t, machine, progress("job", newEvents(0, 3, 1, 1, "A")))
	checkRecorded(t, machine, 0, 1, "A")
	apply(t, machine, progress("job", after(3, newEvents(0, 2, 5, 4, "\nd"))))
	apply(t, machine, progress("job", after(1, newEvents(0, 3, 1, 2, "\nB"))))
	checkRecorded(t, machine, 0, 2, "A\nB")
}

// TestResultDropsProgress: progress is dropped with a result and with the end of the job, and
// ignored after that.
func TestResultDropsProgress(t *testing.T) {
	late := progress("job", newEvents(0, 9, 9, 3, "late"), newEvents(1, 9, 9, 3, "late"))
	for name, command := range map[string]*rockwindpb.JobStoreCommand{"a result": done("job", 0, "whole"), "the end of the job": ended("job")} {
		t.Run(name, func(t *testing.T) {
			machine, untouched := jobstore.New(), jobstore.New()
			for _, each := range []*jobstore.Machine{machine, untouched} {
				apply(t, each, submitted("job", "/p/", 1, 1))
			}
			apply(t, machine, progress("job", newEvents(0, 1, 1, 2, "a\nb")))
			for _, each := range []*jobstore.Machine{machine, untouched} {
				apply(t, each, command)
			}
			apply(t, machine, progress("job", newEvents(0, 9, 9, 3, "late")))
			apply(t, machine, progress("no-job", newEvents(0, 9, 9, 3, "late")))
			got, _ := machine.Snapshot()
			want, _ := untouched.Snapshot()
			if string(got) != string(want) {
				t.Fatalf("snapshot has %d bytes, %d without progress", len(got), len(want))
			}
		})
	}
	machine := jobstore.New()
	apply(t, machine, submitted("job", "/p/", 1, 1))
	apply(t, machine, done("job", 0, "whole"))
	apply(t, machine, late)
	read, err := machine.Read("job", "", 0, 1<<10)
	if err != nil || len(read.GetResults()) != 1 || string(read.GetResults()[0].GetText()) != "whole" {
		t.Fatalf("results: %v, %v", read, err)
	}
	checkRecorded(t, machine, 1, 3, "late")
}

// TestFailureDropsProgress: late progress of the failed run is ignored too.
func TestFailureDropsProgress(t *testing.T) {
	machine := jobstore.New()
	apply(t, machine, submitted("job", "/p/", 1))
	apply(t, machine, progress("job", newEvents(0, 1, 1, 2, "a\nb")))
	apply(t, machine, failure("job", 0))
	checkRecorded(t, machine, 0, 0, "")
	apply(t, machine, progress("job", newEvents(0, 1, 1, 3, "a\nb\nc")))
	checkRecorded(t, machine, 0, 0, "")
	next := newEvents(0, 1, 2, 1, "A")
	next.Progress.Failures = 1
	apply(t, machine, progress("job", next))
	checkRecorded(t, machine, 0, 1, "A")
}

// TestRestoreDropsStaleProgress: a replica of a version without progress records keeps progress
// next to results and failures, and puts it into its snapshots.
func TestRestoreDropsStaleProgress(t *testing.T) {
	stale := &rockwindpb.StoredJob{
		Id:       "job",
		Items:    []*rockwindpb.StoredItem{{Id: "a"}, {Id: "b"}, {Id: "c"}},
		Results:  []*rockwindpb.StoredResult{{Item: 0, Outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE}},
		Failures: []*rockwindpb.ItemFailures{{Item: 1, Count: 1}},
	}
	for item := range uint32(4) {
		stale.Progress = append(stale.Progress, newEvents(item, 1, 1, 2, "a\nb").GetProgress())
	}
	snapshot, err := proto.Marshal(&rockwindpb.JobStoreSnapshot{Jobs: []*rockwindpb.StoredJob{stale}})
	if err != nil {
		t.Fatal(err)
	}
	machine := jobstore.New()
	if err := machine.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	checkRecorded(t, machine, 1, 0, "")
	checkRecorded(t, machine, 2, 2, "a\nb")
	// Replicas that differ in their progress agree after the first record of the next leader.
	other := jobstore.New()
	stale.Progress = nil
	if snapshot, err = proto.Marshal(&rockwindpb.JobStoreSnapshot{Jobs: []*rockwindpb.StoredJob{stale}}); err != nil {
		t.Fatal(err)
	}
	if err := other.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for _, each := range []*jobstore.Machine{machine, other} {
		apply(t, each, progress("job", after(2, newEvents(2, 1, 1, 3, "\nc"))))
		apply(t, each, progress("job", newEvents(2, 2, 1, 1, "A")))
		checkRecorded(t, each, 2, 1, "A")
	}
}
