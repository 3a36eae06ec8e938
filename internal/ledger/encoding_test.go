package ledger

import (
	"bytes"
	"flag"
	"hash/crc32"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// fuzzSeeds runs random commands and returns the largest snapshot seen, with the
// commands that led to it.
func fuzzSeeds(f *testing.F) (snapshot []byte, commands [][]byte) {
	checks := flag.Lookup("rapid.checks").Value.String()
	if err := flag.Set("rapid.checks", "10"); err != nil {
		f.Fatal(err)
	}
	defer func() { _ = flag.Set("rapid.checks", checks) }()
	rapid.Check(f, func(t *rapid.T) {
		s := newHarness(defects{})
		t.Repeat(rapid.StateMachineActions(s))
		state, err := s.subject.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if len(state) < len(snapshot) {
			return
		}
		snapshot = state
		commands = nil
		for _, command := range s.history {
			encoded, err := EncodeCommand(command)
			if err != nil {
				t.Fatal(err)
			}
			commands = append(commands, encoded)
		}
	})
	return snapshot, commands
}

// FuzzLedger restores and applies arbitrary bytes. Either must yield a *fault.Fault or a
// state whose snapshot can be restored, and must not panic.
func FuzzLedger(f *testing.F) {
	snapshot, commands := fuzzSeeds(f)
	for _, command := range commands {
		f.Add(snapshot, command)
	}
	f.Fuzz(func(t *testing.T, snapshot, command []byte) {
		l := New(testShard)
		before, _ := l.Snapshot()
		if err := l.Restore(snapshot); err != nil {
			after, _ := l.Snapshot()
			if !fault.Is(err, fault.Corrupt) || !bytes.Equal(before, after) {
				t.Fatalf("a rejected snapshot changed the ledger or failed with %v", err)
			}
		}
		switch answer := l.Apply(1, command).(type) {
		case *fault.Fault:
			if answer.Remedy == "" {
				t.Fatalf("fault without a remedy: %v", answer)
			}
		case proto.Message:
		default:
			t.Fatalf("unexpected response of type %T", answer)
		}
		l.Demand()
		l.NextExpiry(0)
		l.SealableBlocks(1)
		after, err := l.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := New(testShard).Restore(after); err != nil {
			t.Fatalf("the snapshot after the command cannot be restored: %v", err)
		}
	})
}

// TestPackedResultsRoundTrip checks that results with gaps and arbitrary references
// survive packing, and that truncated packed results are rejected.
func TestPackedResultsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		results := rapid.SliceOf(rapid.Custom(func(t *rapid.T) storedResult {
			stored := storedResult{
				outcome: rockwindpb.ItemOutcome(rapid.IntRange(0, 4).Draw(t, "outcome")),
				tries:   rapid.Uint32().Draw(t, "tries"),
			}
			if rapid.Bool().Draw(t, "reference") {
				stored.hasReference = true
				stored.segment = rapid.Uint64().Draw(t, "segment")
				stored.offset = rapid.Uint64().Draw(t, "offset")
				stored.length = rapid.Uint32().Draw(t, "length")
				stored.checksum = rapid.Uint32().Draw(t, "checksum")
			}
			return stored
		})).Draw(t, "results")
		packed := packResults(results)
		unpacked, err := unpackResults(packed, uint32(len(results)))
		if err != nil {
			t.Fatal(err)
		}
		for index := range results {
			if results[index] != unpacked[index] {
				t.Fatalf("result %d: got %+v, want %+v", index, unpacked[index], results[index])
			}
		}
		if len(packed) > 0 {
			if _, err := unpackResults(packed[:len(packed)-1], uint32(len(results))); err == nil {
				t.Fatal("truncated results were unpacked")
			}
		}
	})
}

// TestEncodedSizeIgnoresReportOrder guards against log entries that grow if items end
// out of order.
func TestEncodedSizeIgnoresReportOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ordered []*rockwindpb.ItemCompletion
		for item := range rapid.Uint32Range(2, 200).Draw(t, "items") {
			ordered = append(ordered, itemReport(item, "cfry"[item%4], uint64(item)))
		}
		shuffled := rapid.Permutation(ordered).Draw(t, "shuffled")
		first, err := EncodeCommand(completionOf(ordered))
		if err != nil {
			t.Fatal(err)
		}
		second, err := EncodeCommand(completionOf(shuffled))
		if err != nil {
			t.Fatal(err)
		}
		if len(first) != len(second) {
			t.Fatalf("%d bytes in order, %d bytes shuffled", len(first), len(second))
		}
	})
}

func completionOf(reports []*rockwindpb.ItemCompletion) *rockwindpb.JobCommand {
	completion := &rockwindpb.LeaseCompletion{JobId: JobID(testShard, 1), Fence: 1, Items: reports}
	return &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Complete{Complete: &rockwindpb.CompleteItemsRequest{
		Holder: "g1", Completions: []*rockwindpb.LeaseCompletion{completion},
	}}}
}

// TestWholeJobIsSealed completes and seals a job of three blocks, and reads the results
// after a restore.
func TestWholeJobIsSealed(t *testing.T) {
	const items = 2*BlockItems + 100
	l := New(testShard)
	apply(t, l, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Submit{Submit: &rockwindpb.SubmitJobRequest{Job: &rockwindpb.Job{
		Id: JobID(testShard, 1), Tenant: "t1", Group: "a", Model: "m1:adapter", ItemCount: items,
	}}}})
	for l.HasWork([]string{"m1"}, 0) {
		completeLeases(t, l)
	}
	blocks := l.SealableBlocks(10)
	bodies := map[uint64][]byte{}
	for number, block := range blocks {
		bodies[uint64(number)] = block.Body
		reference := &rockwindpb.BodyReference{Segment: uint64(number), Length: uint32(len(block.Body)), Checksum: crc32.Checksum(block.Body, castagnoli)}
		apply(t, l, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Seal{Seal: block.Command(reference)}})
	}
	if stats := l.Stats(); len(blocks) != 3 || stats.ItemsUnsealed != 0 || stats.JobsCompleted != 1 {
		t.Fatalf("%d blocks, %+v", len(blocks), stats)
	}
	snapshot, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New(testShard)
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	read := 0
	request := &rockwindpb.ListResultsRequest{JobId: JobID(testShard, 1), Limit: 999}
	for request.FromItem < items {
		page, err := restored.ListResults(request)
		if err != nil {
			t.Fatal(err)
		}
		page, err = ExpandSealed(request, page, bodies[page.Sealed.Index.Segment])
		if err != nil {
			t.Fatal(err)
		}
		for _, result := range page.Results {
			if int(result.Item) != read || result.Result.Offset != uint64(result.Item) {
				t.Fatalf("result %d: got %v", read, result)
			}
			read++
		}
		request.FromItem = page.NextItem
	}
	if read != items {
		t.Fatalf("got %d results, want %d", read, items)
	}
}

func apply(t *testing.T, l *Ledger, command *rockwindpb.JobCommand) any {
	t.Helper()
	encoded, err := EncodeCommand(command)
	if err != nil {
		t.Fatal(err)
	}
	answer := l.Apply(1, encoded)
	if failure, ok := answer.(*fault.Fault); ok {
		t.Fatal(failure)
	}
	return answer
}

func completeLeases(t *testing.T, l *Ledger) {
	t.Helper()
	acquire := &rockwindpb.AcquireLeasesRequest{Holder: "g1", MaxItems: 5000, Models: []string{"m1"}}
	answer := apply(t, l, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Acquire{Acquire: acquire}})
	for _, grant := range answer.(*rockwindpb.AcquireLeasesResponse).Grants {
		completion := &rockwindpb.LeaseCompletion{JobId: grant.Lease.JobId, Fence: grant.Lease.Fence}
		for item := grant.Lease.FirstItem; item < grant.Lease.FirstItem+grant.Lease.ItemCount; item++ {
			completion.Items = append(completion.Items, &rockwindpb.ItemCompletion{
				Item:    item,
				Outcome: rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED,
				Result:  &rockwindpb.BodyReference{Segment: 1, Offset: uint64(item), Length: 1000},
			})
		}
		request := &rockwindpb.CompleteItemsRequest{Holder: "g1", Completions: []*rockwindpb.LeaseCompletion{completion}}
		apply(t, l, &rockwindpb.JobCommand{Command: &rockwindpb.JobCommand_Complete{Complete: request}})
	}
}
