package ledger

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// The packed encoding has, for each of consecutive items, a header byte and the
// optional fields that the header indicates:
//
//	bits 0-2  outcome, or zero if the item has no result
//	bit  3    set if a reference is present
//	bit  4    set if the reference is contiguous with the previous reference
//	bits 5-7  tries; the value 7 means that the tries follow as an unsigned varint
//
// A contiguous reference starts at the end of the previous one, in the same segment.
// Any other reference begins with the difference to the previous segment number (zigzag
// varint). If the segment is the same, the difference to the end of the previous
// reference follows (zigzag varint), otherwise the offset (unsigned varint). Each
// reference ends with the length (unsigned varint) and the checksum (32 bits, little
// endian).
const (
	headerOutcomeMask  = 0x07
	headerHasReference = 0x08
	headerContiguous   = 0x10
	headerTriesShift   = 5
	headerTriesVarint  = 7
	checksumBytes      = 4
)

var errMalformedPacking = errors.New("packed results are truncated or out of range")

// packResults encodes the results of consecutive items.
func packResults(results []storedResult) []byte {
	packed := make([]byte, 0, 8*len(results))
	var previous storedResult
	for _, stored := range results {
		packed = appendResult(packed, stored, previous)
		if stored.hasReference {
			previous = stored
		}
	}
	return append(make([]byte, 0, len(packed)), packed...)
}

func appendResult(packed []byte, stored, previous storedResult) []byte {
	header := byte(stored.outcome) & headerOutcomeMask
	header |= byte(min(stored.tries, headerTriesVarint)) << headerTriesShift
	contiguous := stored.segment == previous.segment && stored.offset == previous.end()
	if stored.hasReference {
		header |= headerHasReference
	}
	if stored.hasReference && contiguous {
		header |= headerContiguous
	}
	packed = append(packed, header)
	if stored.tries >= headerTriesVarint {
		packed = binary.AppendUvarint(packed, uint64(stored.tries))
	}
	if !stored.hasReference {
		return packed
	}
	if !contiguous {
		packed = appendPosition(packed, stored, previous)
	}
	packed = binary.AppendUvarint(packed, uint64(stored.length))
	return binary.LittleEndian.AppendUint32(packed, stored.checksum)
}

func appendPosition(packed []byte, stored, previous storedResult) []byte {
	packed = binary.AppendVarint(packed, int64(stored.segment-previous.segment))
	if stored.segment == previous.segment {
		return binary.AppendVarint(packed, int64(stored.offset-previous.end()))
	}
	return binary.AppendUvarint(packed, stored.offset)
}

// end returns the offset after the last byte of the reference.
func (r storedResult) end() uint64 {
	return r.offset + uint64(r.length)
}

// unpackResults decodes the results of exactly count items.
func unpackResults(packed []byte, count uint32) ([]storedResult, error) {
	if uint64(count) > uint64(len(packed)) {
		return nil, errMalformedPacking
	}
	reader := packedReader{rest: packed}
	results := make([]storedResult, 0, count)
	for range count {
		results = append(results, reader.next())
	}
	if reader.failed || len(reader.rest) > 0 {
		return nil, errMalformedPacking
	}
	return results, nil
}

// packedReader decodes results one by one. Once failed is set, the returned results are
// invalid.
type packedReader struct {
	rest     []byte
	previous storedResult
	failed   bool
}

func (p *packedReader) next() storedResult {
	header := p.bytes(1)[0]
	stored := storedResult{
		outcome:      rockwindpb.ItemOutcome(header & headerOutcomeMask),
		tries:        uint32(header >> headerTriesShift),
		hasReference: header&headerHasReference != 0,
	}
	if stored.tries == headerTriesVarint {
		stored.tries = p.uvarint32()
	}
	if !stored.hasReference {
		return stored
	}
	p.position(&stored, header&headerContiguous != 0)
	stored.length = p.uvarint32()
	stored.checksum = binary.LittleEndian.Uint32(p.bytes(checksumBytes))
	p.previous = stored
	return stored
}

func (p *packedReader) position(stored *storedResult, contiguous bool) {
	if contiguous {
		stored.segment = p.previous.segment
		stored.offset = p.previous.end()
		return
	}
	stored.segment = p.previous.segment + uint64(p.varint())
	if stored.segment == p.previous.segment {
		stored.offset = p.previous.end() + uint64(p.varint())
		return
	}
	stored.offset = p.uvarint()
}

func (p *packedReader) bytes(count int) []byte {
	if len(p.rest) < count {
		p.failed = true
		p.rest = nil
		return make([]byte, count)
	}
	taken := p.rest[:count]
	p.rest = p.rest[count:]
	return taken
}

func (p *packedReader) uvarint() uint64 {
	value, length := binary.Uvarint(p.rest)
	if !p.advance(length) {
		return 0
	}
	return value
}

func (p *packedReader) varint() int64 {
	value, length := binary.Varint(p.rest)
	if !p.advance(length) {
		return 0
	}
	return value
}

// advance skips a varint of the given length. A length of zero or less, as package
// binary returns it for an invalid varint, sets failed.
func (p *packedReader) advance(length int) bool {
	if length <= 0 {
		p.failed = true
		p.rest = nil
		return false
	}
	p.rest = p.rest[length:]
	return true
}

func (p *packedReader) uvarint32() uint32 {
	value := p.uvarint()
	if value > math.MaxUint32 {
		p.failed = true
		return 0
	}
	return uint32(value)
}

// EncodeCommand encodes a command for the replicated log. Item reports are packed if
// that is shorter. The command itself is not modified.
func EncodeCommand(command *rockwindpb.JobCommand) ([]byte, error) {
	if complete, ok := command.Command.(*rockwindpb.JobCommand_Complete); ok {
		command = &rockwindpb.JobCommand{
			NowUnixMs: command.NowUnixMs,
			Command:   &rockwindpb.JobCommand_Complete{Complete: packRequest(complete.Complete)},
		}
	}
	encoded, err := proto.Marshal(command)
	return encoded, errors.Wrap(err, "encode a job command")
}

func packRequest(request *rockwindpb.CompleteItemsRequest) *rockwindpb.CompleteItemsRequest {
	packed := &rockwindpb.CompleteItemsRequest{Holder: request.GetHolder()}
	for _, completion := range request.GetCompletions() {
		packed.Completions = append(packed.Completions, packCompletion(completion))
	}
	return packed
}

// packCompletion returns the packed form of a completion, or the completion itself if
// that is not longer. Reports are packed sorted by item, as the order of reports of
// different items does not matter.
func packCompletion(completion *rockwindpb.LeaseCompletion) *rockwindpb.LeaseCompletion {
	reports := slices.SortedStableFunc(slices.Values(completion.GetItems()), compareItems)
	results, packable := layOutReports(reports)
	if !packable || len(completion.GetPacked()) > 0 {
		return completion
	}
	packed := &rockwindpb.LeaseCompletion{
		JobId:           completion.JobId,
		Fence:           completion.Fence,
		Release:         completion.Release,
		PackedFirstItem: reports[0].GetItem(),
		Packed:          packResults(results),
	}
	if proto.Size(packed) >= proto.Size(completion) {
		return completion
	}
	return packed
}

func compareItems(left, right *rockwindpb.ItemCompletion) int {
	return cmp.Compare(left.GetItem(), right.GetItem())
}

// layOutReports converts reports sorted by item into results of consecutive items, with
// zero values for items without a report. It returns false for duplicate items, invalid
// reports, and reports that span more than MaxLeaseItems items.
func layOutReports(reports []*rockwindpb.ItemCompletion) ([]storedResult, bool) {
	if len(reports) == 0 {
		return nil, false
	}
	first := reports[0].GetItem()
	var results []storedResult
	for _, report := range reports {
		index := uint64(report.GetItem()) - uint64(first)
		if index < uint64(len(results)) || index >= MaxLeaseItems {
			return nil, false
		}
		if checkReport(report) != nil {
			return nil, false
		}
		results = append(results, make([]storedResult, index-uint64(len(results)))...)
		results = append(results, storedResult{outcome: report.Outcome}.withReference(report.Result))
	}
	return results, true
}

// unpackReports returns the reports of a completion, including the packed ones.
func unpackReports(completion *rockwindpb.LeaseCompletion) ([]*rockwindpb.ItemCompletion, *fault.Fault) {
	if len(completion.GetPacked()) == 0 {
		return completion.GetItems(), nil
	}
	reports := completion.Items[:len(completion.Items):len(completion.Items)]
	reader := packedReader{rest: completion.Packed}
	for item := uint64(completion.PackedFirstItem); len(reader.rest) > 0; item++ {
		stored := reader.next()
		if reader.failed || item > math.MaxUint32 {
			return nil, fault.New(fault.InvalidArgument, errMalformedPacking.Error(), "send the reports again")
		}
		if !stored.recorded() {
			continue
		}
		reports = append(reports, &rockwindpb.ItemCompletion{
			Item:    uint32(item),
			Outcome: stored.outcome,
			Result:  stored.reference(),
		})
	}
	return reports, nil
}
