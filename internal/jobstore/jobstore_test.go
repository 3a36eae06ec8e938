package jobstore

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

func apply(t interface{ Fatal(...any) }, m *Machine, command *rockwindpb.JobStoreCommand) Outcome {
	encoded, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(1, encoded).(Outcome)
}

func submit(job *rockwindpb.StoredJob) *rockwindpb.JobStoreCommand {
	return &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Submit{Submit: job}}
}

func record(job string, results ...*rockwindpb.StoredResult) *rockwindpb.JobStoreCommand {
	return &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Record{Record: &rockwindpb.RecordResults{Job: job, Results: results}}}
}

func end(job string) *rockwindpb.JobStoreCommand {
	return &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_End{End: &rockwindpb.EndStoredJobRequest{Id: job}}}
}

func testJob(t interface{ Fatal(...any) }, id string, items int, body string) *rockwindpb.StoredJob {
	created := &rockwindpb.StoredJob{Id: id, Host: "h", Path: "/p/"}
	for i := range items {
		created.Items = append(created.Items, &rockwindpb.StoredItem{Id: fmt.Sprintf("%s-%d", id, i), Body: []byte(body)})
	}
	digest, err := Digest(created)
	if err != nil {
		t.Fatal(err)
	}
	created.Digest = digest
	return created
}

func TestSubmitIsIdempotent(t *testing.T) {
	m := New()
	if got := apply(t, m, submit(testJob(t, "a", 2, "x"))); got.Fault != nil || got.Resent {
		t.Fatalf("%+v", got)
	}
	if got := apply(t, m, submit(testJob(t, "a", 2, "x"))); got.Fault != nil || !got.Resent {
		t.Fatalf("resubmission: %+v", got)
	}
	if got := apply(t, m, submit(testJob(t, "a", 2, "y"))); got.Fault == nil || got.Fault.Kind != fault.Conflict {
		t.Fatalf("other content under the same identifier: %+v", got)
	}
}

func TestBodiesAreReadWhileAnItemIsOpen(t *testing.T) {
	m := New()
	apply(t, m, submit(testJob(t, "a", 2, "x")))
	apply(t, m, record("a", &rockwindpb.StoredResult{Item: 0, Outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE}))
	if body, err := m.Body("a", "", "a-1"); err != nil || string(body) != "x" {
		t.Fatalf("%q, %v", body, err)
	}
	for _, missing := range []string{"a-0", "a-9"} {
		if _, err := m.Body("a", "", missing); !fault.Is(err, fault.NotFound) {
			t.Errorf("body of %s: %v", missing, err)
		}
	}
	apply(t, m, end("a"))
	if _, err := m.Body("a", "", "a-1"); !fault.Is(err, fault.NotFound) {
		t.Errorf("body of an ended job: %v", err)
	}
}

// oracleJob is the expected state of one job.
type oracleJob struct {
	items    int
	recorded []uint32
	ended    bool
}

// TestResultsKeepTheirPositions compares random commands and restarts from snapshots with the
// expected state.
func TestResultsKeepTheirPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		oracle := map[string]*oracleJob{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job")
			expected := oracle[id]
			switch rapid.IntRange(0, 4).Draw(t, "command") {
			case 0:
				items := rapid.IntRange(1, 5).Draw(t, "items")
				if got := apply(t, m, submit(testJob(t, id, items, "x"))); got.Fault == nil && expected == nil {
					oracle[id] = &oracleJob{items: items}
				}
			case 1, 2:
				item := rapid.Uint32Range(0, 6).Draw(t, "item")
				apply(t, m, record(id, &rockwindpb.StoredResult{Item: item, Outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE}))
				if expected != nil && int(item) < expected.items && !contains(expected.recorded, item) {
					expected.recorded = append(expected.recorded, item)
				}
			case 3:
				apply(t, m, end(id))
				if expected != nil {
					expected.ended = true
				}
			case 4:
				snapshot, err := m.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				m = New()
				if err := m.Restore(snapshot); err != nil {
					t.Fatal(err)
				}
			}
			compare(t, m, oracle)
		}
	})
}

func contains(list []uint32, wanted uint32) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}

func compare(t *rapid.T, m *Machine, oracle map[string]*oracleJob) {
	for id, expected := range oracle {
		got, err := m.Read(id, "", 0, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		if int(got.GetTotal()) != expected.items || len(got.GetResults()) != len(expected.recorded) {
			t.Fatalf("job %s: %v, want %+v", id, got, expected)
		}
		for position, item := range expected.recorded {
			if want := fmt.Sprintf("%s-%d", id, item); got.GetResults()[position].GetId() != want {
				t.Fatalf("position %d of job %s holds %s, want %s", position, id, got.GetResults()[position].GetId(), want)
			}
		}
		for index := range uint32(expected.items) {
			want := !expected.ended && !contains(expected.recorded, index)
			if m.Runnable(id, index) != want {
				t.Fatalf("item %d of job %s runnable: %v", index, id, !want)
			}
		}
	}
}

func TestReadsAreBoundedAndNeverEmptyWhereThereIsAResult(t *testing.T) {
	m := New()
	apply(t, m, submit(testJob(t, "a", 3, "x")))
	for item := range uint32(3) {
		apply(t, m, record("a", &rockwindpb.StoredResult{Item: item, Text: make([]byte, 100)}))
	}
	for from, want := range map[uint32]int{0: 2, 1: 2, 2: 1, 3: 0, 9: 0} {
		if got, err := m.Read("a", "", from, 200); err != nil || len(got.GetResults()) != want {
			t.Errorf("from %d: %d results, %v", from, len(got.GetResults()), err)
		}
	}
	if got, err := m.Read("a", "", 0, 1); err != nil || len(got.GetResults()) != 1 {
		t.Errorf("result larger than the limit: %v, %v", got, err)
	}
}
