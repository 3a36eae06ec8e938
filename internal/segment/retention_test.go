package segment_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// TestOnlyUnusedSegmentsAreRemoved checks that an unreferenced old segment is removed
// on all machines and not copied back, but only once all shards have reported, and
// that old segments with inputs and newer segments are kept.
func TestOnlyUnusedSegmentsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3, 1)
		defer c.end()
		input := c.storeOne(t, "input")
		time.Sleep(repairTimeout)
		unused := c.storeOne(t, "unused")
		time.Sleep(repairTimeout)
		time.Sleep(24 * time.Hour)
		horizon := time.Now().Add(-time.Hour).UnixMilli()
		kept := c.storeOne(t, "kept")
		time.Sleep(repairTimeout)

		c.report(1, horizon, input)
		for _, read := range []*rockwindpb.BodyReference{input, unused, kept} {
			c.expectHolders(t, read, 3)
		}
		c.report(2, horizon, input)
		c.expectHolders(t, input, 3)
		c.expectHolders(t, unused, 0)
		c.expectHolders(t, kept, 3)
	})
}

func (c *cluster) storeOne(t *testing.T, body string) *rockwindpb.BodyReference {
	t.Helper()
	references, err := c.machines[0].node.Store(context.Background(), [][]byte{[]byte(body)})
	if err != nil {
		t.Fatal(err)
	}
	return references[0]
}

// report sends the reports of the first shards, every minute for two hours.
func (c *cluster) report(shards uint32, horizon int64, input *rockwindpb.BodyReference) {
	for range 120 {
		for shard := uint32(1); shard <= shards; shard++ {
			for _, receiver := range c.machines {
				_, _ = receiver.node.SegmentService().Retain(context.Background(), &rockwindpb.RetainSegmentsRequest{
					Shard: shard, Shards: 2, OldestUnixMs: horizon, InputSegments: []uint64{input.GetSegment()},
				})
			}
		}
		time.Sleep(time.Minute)
	}
}

func (c *cluster) expectHolders(t *testing.T, reference *rockwindpb.BodyReference, expected int) {
	t.Helper()
	if holders := c.holders(t, reference); holders != expected {
		t.Fatalf("%d machines hold segment %x, want %d", holders, reference.GetSegment(), expected)
	}
}

// holders counts the machines with a synced copy of a body.
func (c *cluster) holders(t *testing.T, reference *rockwindpb.BodyReference) int {
	t.Helper()
	holders := 0
	for _, asked := range c.machines {
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
