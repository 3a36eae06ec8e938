package jobstore

import (
	"bytes"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// shares reports whether part is memory of whole.
func shares(whole, part []byte) bool {
	at := bytes.Index(whole, part)
	return at >= 0 && &whole[at] == &part[0]
}

func applyShared(t *testing.T, m *Machine, command *rockwindpb.JobStoreCommand) (encoded []byte) {
	t.Helper()
	encoded, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	if outcome := m.Apply(1, encoded).(Outcome); outcome.Fault != nil {
		t.Fatal(outcome.Fault)
	}
	return encoded
}

// TestLargeContentsShareMemoryWithTheirCommands guards against a second copy of bodies and results, which the log
// holds already, and against bodies that keep the command of a job in memory until its last item is done.
func TestLargeContentsShareMemoryWithTheirCommands(t *testing.T) {
	m := New()
	const items = 4
	job := &rockwindpb.StoredJob{Id: "job"}
	for item := range items {
		job.Items = append(job.Items, &rockwindpb.StoredItem{Id: string(rune('a' + item)), Body: []byte(strings.Repeat(string(rune('a'+item)), sharedBytes))})
	}
	submitted := applyShared(t, m, submit(job))
	body := func(item int) []byte {
		t.Helper()
		found, err := m.Body("job", "", string(rune('a'+item)))
		if err != nil || !bytes.Equal(found, job.GetItems()[item].GetBody()) {
			t.Fatalf("body of item %d: %d bytes, %v", item, len(found), err)
		}
		return found
	}
	for done := range items - 1 {
		for item := done; item < items; item++ {
			if shared := shares(submitted, body(item)); shared != (done < items/2) {
				t.Errorf("after %d results the body of item %d is shared: %v", done, item, shared)
			}
		}
		result := &rockwindpb.StoredResult{Item: uint32(done), Text: bytes.Repeat([]byte{byte(done)}, sharedBytes)}
		recorded := applyShared(t, m, record("job", result))
		response, err := m.Read("job", "", uint32(done), 1)
		if err != nil || len(response.GetResults()) != 1 || !shares(recorded, response.GetResults()[0].GetText()) {
			t.Fatalf("result %d is not shared: %v", done, err)
		}
	}
}

// TestPartialOutputDoesNotShareMemoryWithItsCommand guards against commands that are overwritten or kept in memory
// by partial outputs, which are appended to.
func TestPartialOutputDoesNotShareMemoryWithItsCommand(t *testing.T) {
	m := New()
	applyShared(t, m, submit(testJob(t, "job", 1, "body")))
	text := bytes.Repeat([]byte("p"), sharedBytes)
	for run := range uint64(2) {
		recorded := applyShared(t, m, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Progress{Progress: &rockwindpb.RecordProgress{
			Jobs: []*rockwindpb.JobProgress{{Job: "job", Items: []*rockwindpb.ReceivedEvents{
				{Progress: &rockwindpb.ItemProgress{Term: 1, Run: run + 1, Last: 1, Text: text}},
			}}},
		}}})
		output := m.jobs["job"].partialOutput(0)
		if held, found := output.Text(); !found || !bytes.Equal(held, text) || shares(recorded, held) {
			t.Errorf("run %d: %d bytes, found %v, shared %v", run+1, len(held), found, shares(recorded, held))
		}
	}
}
