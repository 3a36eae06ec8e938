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

// listPage is how many segments one List call returns.
const listPage = 4096

// BodyService returns the service that daemons store and read bodies with.
func (n *Node) BodyService() rockwindpb.BodyService { return bodyService{n} }

// SegmentService returns the service that machines with disks speak.
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

// Append implements rockwindpb.SegmentService. An append that does not follow on
// what is held changes nothing and answers how much is held.
func (s segmentService) Append(_ context.Context, request *rockwindpb.AppendSegmentRequest) (*rockwindpb.AppendSegmentResponse, error) {
	durable, err := s.node.appendCopy(request)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &rockwindpb.AppendSegmentResponse{DurableLength: uint64(durable), DiskId: s.node.options.DiskID}, nil
}

func (n *Node) appendCopy(request *rockwindpb.AppendSegmentRequest) (int64, error) {
	offset := int64(request.GetOffset())
	if err := verifyWhole(request.GetData(), offset); err != nil {
		return 0, err
	}
	held, err := n.heldOrCreated(request)
	if err != nil || held == nil {
		return 0, err
	}
	before := held.extent()
	end := offset + int64(len(request.GetData()))
	if before.sealed && end > before.length {
		return 0, fault.New(fault.Conflict, "the segment is sealed", "go on in another segment")
	}
	if offset > before.length {
		return before.durable, nil
	}
	if err := held.write(offset, request.GetData(), n.options.Now()); err != nil {
		return 0, err
	}
	if err := held.sync(); err != nil {
		return 0, err
	}
	if request.GetSealed() && end == held.extent().length {
		if err := held.seal(); err != nil {
			return 0, err
		}
	}
	return held.extent().durable, nil
}

// heldOrCreated returns the segment of an append, nil where it is unknown and
// the append does not start it.
func (n *Node) heldOrCreated(request *rockwindpb.AppendSegmentRequest) (*localSegment, error) {
	held := n.store.find(request.GetSegment())
	if held != nil || request.GetOffset() != 0 || len(request.GetData()) == 0 {
		return held, nil
	}
	header, valid := decodeFileHeader(request.GetData())
	if !valid || header.segment != request.GetSegment() {
		return nil, fault.New(fault.Corrupt, "the header of the segment is damaged", "send it again")
	}
	return n.store.create(header)
}

// bytesAt is a window of a segment file in memory.
type bytesAt struct {
	base int64
	data []byte
}

// ReadAt implements io.ReaderAt.
func (b bytesAt) ReadAt(into []byte, position int64) (int, error) {
	if position < b.base {
		return 0, io.EOF
	}
	return bytes.NewReader(b.data).ReadAt(into, position-b.base)
}

// verifyWhole checks that data, which stands at an offset, is whole records.
func verifyWhole(data []byte, offset int64) error {
	if len(data) == 0 {
		return nil
	}
	end := offset + int64(len(data))
	spans, err := scan(bytesAt{base: offset, data: data}, offset, end)
	if err != nil {
		return err
	}
	if intactPrefix(spans, offset) != end {
		return fault.New(fault.Corrupt, "the bytes of the segment were damaged on their way", "send them again")
	}
	return nil
}

// Read implements rockwindpb.SegmentService.
func (s segmentService) Read(_ context.Context, request *rockwindpb.ReadSegmentRequest) (*rockwindpb.ReadSegmentResponse, error) {
	held := s.node.store.find(request.GetSegment())
	if held == nil || request.GetLength() > MaximumBodyBytes+recordHeaderBytes {
		return &rockwindpb.ReadSegmentResponse{}, nil
	}
	data, err := held.read(int64(request.GetOffset()), int(request.GetLength()))
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
	if len(response.Segments) > listPage {
		response.Segments = response.Segments[:listPage]
	}
	return response, nil
}

// summaries describes the segments of this disk, in the order of their ids.
func (n *Node) summaries() []*rockwindpb.SegmentSummary {
	var summaries []*rockwindpb.SegmentSummary
	for _, held := range n.store.all() {
		extent := held.extent()
		summaries = append(summaries, &rockwindpb.SegmentSummary{
			Segment:       held.header.segment,
			Length:        uint64(extent.durable),
			WrittenLength: uint64(extent.length),
			Sealed:        extent.sealed,
			CreatedUnixMs: held.header.createdUnixMs,

			Damaged:         len(extent.damaged) > 0 && extent.irreparable == 0,
			IrreparableFrom: uint64(extent.irreparable),
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
