package control_test

import (
	"context"
	"testing"
	"testing/synctest"

	"rockwind.example/rockwind/internal/control"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// silentSegments stands for a machine that is cut off in silence.
type silentSegments struct{ rockwindpb.SegmentService }

func (silentSegments) Retain(ctx context.Context, _ *rockwindpb.RetainSegmentsRequest) (*rockwindpb.RetainSegmentsResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// reachedSegments notes that a report came before its deadline.
type reachedSegments struct {
	rockwindpb.SegmentService
	reached bool
}

func (r *reachedSegments) Retain(ctx context.Context, _ *rockwindpb.RetainSegmentsRequest) (*rockwindpb.RetainSegmentsResponse, error) {
	r.reached = ctx.Err() == nil
	return &rockwindpb.RetainSegmentsResponse{}, ctx.Err()
}

// TestSilentMachineKeepsNoOtherFromRemoving reports references past a machine that
// does not answer.
func TestSilentMachineKeepsNoOtherFromRemoving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := &reachedSegments{}
		control.RetainSegments(t.Context(), []rockwindpb.SegmentService{silentSegments{}, other}, &rockwindpb.RetainSegmentsRequest{})
		if !other.reached {
			t.Fatal("the report did not reach the machine after the silent one")
		}
	})
}
