package segment

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"slices"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// listPageSize is the maximum number of segments that one List call returns.
const listPageSize = 4096

// BodyService returns the service for storing and reading bodies.
func (n *Node) BodyService() rockwindpb.BodyService { return bodyService{n} }

// SegmentService returns the service that the machines with disks use among each
// other.
func (n *Node) SegmentService() rockwindpb.SegmentService { return segmentService{n} }

type bodyService struct{ node *Node }

// Store implements rockwindpb.BodyService.
func (s bodyService) Store(ctx context.Context, request *rockwindpb.StoreBodiesRequest) (*rockwindpb.StoreBodiesResponse, error) {
	references, err := s.node.Store(ctx, request.GetBodies())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.StoreBodiesResponse{References: references}, nil
}

// Read implements rockwindpb.BodyService.
func (s bodyService) Read(ctx context.Context, request *rockwindpb.ReadBodiesRequest) (*rockwindpb.ReadBodiesResponse, error) {
	bodies, err := s.node.Read(ctx, request.GetReferences())
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.ReadBodiesResponse{Bodies: bodies}, nil
}

type segmentService struct{ node *Node }

// Append implements rockwindpb.SegmentService. An append that would leave a gap
// changes nothing; the response has the length held.
func (s segmentService) Append(_ context.Context, request *rockwindpb.AppendSegmentRequest) (*rockwindpb.AppendSegmentResponse, error) {
	durable, err := s.node.appendCopy(request)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.AppendSegmentResponse{DurableLength: uint64(durable), DiskId: s.node.options.DiskID}, nil
}

func (n *Node) appendCopy(request *rockwindpb.AppendSegmentRequest) (int64, error) {
	offset := int64(request.GetOffset())
	if err := verifyRecords(request.GetData(), offset); err != nil {
		return 0, err
	}
	local, err := n.findOrCreate(request)
	if err != nil || local == nil {
		return 0, err
	}
	before := local.state()
	end := offset + int64(len(request.GetData()))
	if before.sealed && end > before.length {
		return 0, fault.New(fault.Conflict, "the segment is sealed", "continue in another segment")
	}
	if offset > before.length {
		return before.durable, nil
	}
	if err := local.write(offset, request.GetData(), n.options.Now()); err != nil {
		return 0, err
	}
	if err := local.sync(); err != nil {
		return 0, err
	}
	if request.GetSealed() && end == local.state().length {
		if err := local.seal(); err != nil {
			return 0, err
		}
	}
	return local.state().durable, nil
}

// findOrCreate returns the segment of an append, or nil if there is none and the
// append does not contain its start.
func (n *Node) findOrCreate(request *rockwindpb.AppendSegmentRequest) (*localSegment, error) {
	local := n.store.find(request.GetSegment())
	if local != nil || request.GetOffset() != 0 || len(request.GetData()) == 0 {
		return local, nil
	}
	header, valid := decodeFileHeader(request.GetData())
	if !valid || header.segment != request.GetSegment() {
		return nil, fault.New(fault.Corrupt, "the segment header is damaged", "send it again")
	}
	return n.store.create(header)
}

// offsetReader is an io.ReaderAt for a part of a segment file in memory.
type offsetReader struct {
	base int64
	data []byte
}

// ReadAt implements io.ReaderAt.
func (b offsetReader) ReadAt(into []byte, position int64) (int, error) {
	if position < b.base {
		return 0, io.EOF
	}
	return bytes.NewReader(b.data).ReadAt(into, position-b.base)
}

// verifyRecords checks that data, read at offset, consists of complete valid records.
func verifyRecords(data []byte, offset int64) error {
	if len(data) == 0 {
		return nil
	}
	end := offset + int64(len(data))
	spans, err := scan(offsetReader{base: offset, data: data}, offset, end)
	if err != nil {
		return err
	}
	if intactPrefix(spans, offset) != end {
		return fault.New(fault.Corrupt, "the segment data was damaged in transit", "send them again")
	}
	return nil
}

// Read implements rockwindpb.SegmentService.
func (s segmentService) Read(_ context.Context, request *rockwindpb.ReadSegmentRequest) (*rockwindpb.ReadSegmentResponse, error) {
	local := s.node.store.find(request.GetSegment())
	if local == nil || request.GetLength() > MaximumBodyBytes+recordHeaderBytes {
		return &rockwindpb.ReadSegmentResponse{}, nil
	}
	data, err := local.read(int64(request.GetOffset()), int(request.GetLength()))
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.ReadSegmentResponse{Data: data}, nil
}

// List implements rockwindpb.SegmentService.
func (s segmentService) List(_ context.Context, request *rockwindpb.ListSegmentsRequest) (*rockwindpb.ListSegmentsResponse, error) {
	response := &rockwindpb.ListSegmentsResponse{DiskId: s.node.options.DiskID}
	for _, summary := range s.node.summaries() {
		if summary.GetSegment() > request.GetAfter() {
			response.Segments = append(response.Segments, summary)
		}
	}
	if len(response.Segments) > listPageSize {
		response.Segments = response.Segments[:listPageSize]
	}
	return response, nil
}

// summaries returns summaries of the segments of this disk, ordered by id.
func (n *Node) summaries() []*rockwindpb.SegmentSummary {
	var summaries []*rockwindpb.SegmentSummary
	for _, local := range n.store.all() {
		state := local.state()
		summaries = append(summaries, &rockwindpb.SegmentSummary{
			Segment:       local.header.segment,
			Length:        uint64(state.durable),
			WrittenLength: uint64(state.length),
			Sealed:        state.sealed,
			CreatedUnixMs: local.header.createdUnixMs,

			Damaged:         len(state.damaged) > 0 && state.irreparable == 0,
			IrreparableFrom: uint64(state.irreparable),
		})
	}
	slices.SortFunc(summaries, func(left, right *rockwindpb.SegmentSummary) int {
		return cmp.Compare(left.GetSegment(), right.GetSegment())
	})
	return summaries
}

// Copies implements rockwindpb.SegmentService.
func (s segmentService) Copies(ctx context.Context, _ *rockwindpb.CopiesRequest) (*rockwindpb.CopiesResponse, error) {
	return s.node.Copies(ctx), nil
}

// Retain implements rockwindpb.SegmentService.
func (s segmentService) Retain(_ context.Context, request *rockwindpb.RetainSegmentsRequest) (*rockwindpb.RetainSegmentsResponse, error) {
	s.node.retain(request)
	return &rockwindpb.RetainSegmentsResponse{}, nil
}
