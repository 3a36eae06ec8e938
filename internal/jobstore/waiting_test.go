package jobstore_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
)

func apply(t *testing.T, machine *jobstore.Machine, command *rockwindpb.JobStoreCommand) {
	t.Helper()
	encoded, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	if outcome := machine.Apply(0, encoded).(jobstore.Outcome); outcome.Fault != nil {
		t.Fatal(outcome.Fault)
	}
}

func submitted(id, path string, tokens ...uint64) *rockwindpb.JobStoreCommand {
	job := &rockwindpb.StoredJob{Id: id, Host: "h", Path: path}
	for i, each := range tokens {
		job.Items = append(job.Items, &rockwindpb.StoredItem{Id: string(rune('a' + i)), Tokens: each})
	}
	return &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: job}}
}

// TestWaitingTokensAreThoseOfItemsWithoutAResult checks the tokens of open jobs, also after a
// restart from a snapshot.
func TestWaitingTokensAreThoseOfItemsWithoutAResult(t *testing.T) {
	machine := jobstore.New()
	of := func(m *jobstore.Machine, path string) uint64 {
		return m.WaitingTokens("", func(_, jobPath string) bool { return jobPath == path })
	}
	apply(t, machine, submitted("one", "/p/", 10, 20, 30))
	apply(t, machine, submitted("two", "/p/", 5))
	apply(t, machine, submitted("other", "/q/", 1000))
	result := func(item uint32) *rockwindpb.JobStoreCommand {
		return &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Record{Record: &rockwindpb.RecordResults{
			Job: "one", Results: []*rockwindpb.StoredResult{{Item: item, Outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE}},
		}}}
	}
	apply(t, machine, result(1))
	apply(t, machine, result(1))
	if got := of(machine, "/p/"); got != 45 {
		t.Errorf("%d waiting tokens, want 45", got)
	}
	restored := restart(t, machine)
	if got := of(restored, "/p/"); got != 45 {
		t.Errorf("%d waiting tokens after the restart, want 45", got)
	}
	apply(t, machine, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_End{End: &rockwindpb.EndStoredJobRequest{Id: "one"}}})
	if got := of(machine, "/p/"); got != 5 {
		t.Errorf("%d waiting tokens after the end of a job, want 5", got)
	}
	if !machine.Has("one") || machine.Has("none") {
		t.Error("Has does not match the submitted jobs")
	}
}

// TestSizesFollowTheState guards against gauges that keep counting bodies and partial outputs of items that have
// results.
func TestSizesFollowTheState(t *testing.T) {
	machine := jobstore.New()
	apply(t, machine, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: &rockwindpb.StoredJob{
		Id: "job", Items: []*rockwindpb.StoredItem{{Id: "a", Body: make([]byte, 100)}},
	}}})
	apply(t, machine, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Progress{Progress: &rockwindpb.RecordProgress{
		Jobs: []*rockwindpb.JobProgress{{Job: "job", Items: []*rockwindpb.ReceivedEvents{{
			Progress: &rockwindpb.ItemProgress{Term: 1, Run: 1, Last: 1, Text: make([]byte, 40)},
		}}}},
	}}})
	if got := machine.Sizes(); got.Bodies != 100 || got.PartialOutputs < 40 || got.Results != 0 {
		t.Errorf("got %+v", got)
	}
	apply(t, machine, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Record{Record: &rockwindpb.RecordResults{
		Job: "job", Results: []*rockwindpb.StoredResult{{Outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE, Text: make([]byte, 70)}},
	}}})
	if got := machine.Sizes(); got != (jobstore.Sizes{Results: 70}) {
		t.Errorf("got %+v", got)
	}
}
