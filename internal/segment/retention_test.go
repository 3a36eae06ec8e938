package segment_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// TestOnlyUnusedSegmentsAreRemoved stores an input and a result on one day and
// another result on the next, and reports that everything of the first day but
// the input is unused. It checks that the result's segment is removed on all
// machines and does not come back, and not before all shards have said so.
func TestOnlyUnusedSegmentsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, 1)
		defer w.end()
		input := w.storeOne(t, "input")
		time.Sleep(repairTime)
		unused := w.storeOne(t, "unused")
		time.Sleep(repairTime)
		time.Sleep(24 * time.Hour)
		horizon := time.Now().Add(-time.Hour).UnixMilli()
		kept := w.storeOne(t, "kept")
		time.Sleep(repairTime)

		w.report(1, horizon, input)
		for _, read := range []*rockwindpb.BodyReference{input, unused, kept} {
			w.expectHolders(t, read, 3)
		}
		w.report(2, horizon, input)
		w.expectHolders(t, input, 3)
		w.expectHolders(t, unused, 0)
		w.expectHolders(t, kept, 3)
	})
}

func (w *world) storeOne(t *testing.T, body string) *rockwindpb.BodyReference {
	t.Helper()
	references, err := w.machines[0].node.Store(context.Background(), [][]byte{[]byte(body)})
	if err != nil {
		t.Fatal(err)
	}
	return references[0]
}

// report sends the reports of shards 1 up to a number for two hours.
func (w *world) report(shards uint32, horizon int64, input *rockwindpb.BodyReference) {
	for range 120 {
		for shard := uint32(1); shard <= shards; shard++ {
			for _, receiver := range w.machines {
				_, _ = receiver.node.SegmentService().Retain(context.Background(), &rockwindpb.RetainSegmentsRequest{
					Shard: shard, Shards: 2, OldestUnixMs: horizon, InputSegments: []uint64{input.GetSegment()},
				})
			}
		}
		time.Sleep(time.Minute)
	}
}

func (w *world) expectHolders(t *testing.T, reference *rockwindpb.BodyReference, expected int) {
	t.Helper()
	if holders := w.holders(t, reference); holders != expected {
		t.Fatalf("%d machines hold segment %x, want %d", holders, reference.GetSegment(), expected)
	}
}

// holders counts the machines that hold a body.
func (w *world) holders(t *testing.T, reference *rockwindpb.BodyReference) int {
	t.Helper()
	holders := 0
	for _, asked := range w.machines {
		listed, err := asked.node.SegmentService().List(context.Background(), &rockwindpb.ListSegmentsRequest{})
		if err != nil {
			t.Fatal(err)
		}
		for _, summary := range listed.GetSegments() {
			end := reference.GetOffset() + uint64(reference.GetLength())
			if summary.GetSegment() == reference.GetSegment() && summary.GetLength() >= end {
				holders++
			}
		}
	}
	return holders
}
