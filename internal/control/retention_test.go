package control_test

import (
	"context"
	"testing"
	"testing/synctest"

	"rockwind.example/rockwind/internal/control"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// unresponsiveSegments is an unresponsive machine.
type unresponsiveSegments struct{ rockwindpb.SegmentService }

func (unresponsiveSegments) Retain(ctx context.Context, _ *rockwindpb.RetainSegmentsRequest) (*rockwindpb.RetainSegmentsResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// reachableSegments records whether a report arrived before its deadline.
type reachableSegments struct {
	rockwindpb.SegmentService
	reached bool
}

func (r *reachableSegments) Retain(ctx context.Context, _ *rockwindpb.RetainSegmentsRequest) (*rockwindpb.RetainSegmentsResponse, error) {
	r.reached = ctx.Err() == nil
	return &rockwindpb.RetainSegmentsResponse{}, ctx.Err()
}

// An unresponsive machine must not keep the report from reaching the others.
func TestUnresponsiveMachineDoesNotBlockReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := &reachableSegments{}
		control.RetainSegments(t.Context(), []rockwindpb.SegmentService{unresponsiveSegments{}, other}, &rockwindpb.RetainSegmentsRequest{})
		if !other.reached {
			t.Fatal("the report did not reach the machine after the unresponsive one")
		}
	})
}
