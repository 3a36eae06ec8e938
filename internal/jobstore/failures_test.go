package jobstore_test

import (
	"testing"

	"rockwind.example/rockwind/internal/jobstore"
	"rockwind.example/rockwind/internal/rockwindpb"
)

func failure(job string, item uint32) *rockwindpb.JobStoreCommand {
	return &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Failure{Failure: &rockwindpb.RecordFailure{Job: job, Item: item}}}
}

func failures(machine *jobstore.Machine) map[uint32]int {
	found := make(map[uint32]int)
	for _, item := range machine.OpenItems(func(string, uint32) bool { return true }) {
		found[item.Index] = item.Failures
	}
	return found
}

// TestFailureCountSurvivesLeaderChange: without replicated counts each new leader would run a
// failing item again, beyond its attempts.
func TestFailureCountSurvivesLeaderChange(t *testing.T) {
	machine := jobstore.New()
	apply(t, machine, submitted("job", "/p/", 1, 1, 1))
	for _, item := range []uint32{1, 1, 2, 9} {
		apply(t, machine, failure("job", item))
	}
	restored := restart(t, machine)
	for name, each := range map[string]*jobstore.Machine{"leader": machine, "next leader": restored} {
		if got := failures(each); got[0] != 0 || got[1] != 2 || got[2] != 1 || len(got) != 3 {
			t.Errorf("failures on the %s: %v", name, got)
		}
	}
}

// TestResultDropsFailureCount: later failures of the item are ignored too.
func TestResultDropsFailureCount(t *testing.T) {
	machine := jobstore.New()
	apply(t, machine, submitted("job", "/p/", 1, 1))
	apply(t, machine, failure("job", 0))
	apply(t, machine, failure("job", 1))
	result := &rockwindpb.RecordResults{Job: "job", Results: []*rockwindpb.StoredResult{{Item: 0, Outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DEAD}}}
	apply(t, machine, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Record{Record: result}})
	apply(t, machine, failure("job", 0))
	if got := failures(machine); len(got) != 1 || got[1] != 1 {
		t.Fatalf("failures: %v", got)
	}
	snapshot, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	decoded := jobstore.New()
	if err := decoded.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if got := failures(decoded); len(got) != 1 || got[1] != 1 {
		t.Fatalf("failures after a restart: %v", got)
	}
}
