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

// The packed encoding is a head byte for each of consecutive items, followed by
// what the head announces:
//
//	bits 0-2  outcome; zero where the item has none
//	bit  3    a reference follows
//	bit  4    the reference starts where the one before it ended
//	bits 5-7  tries; seven announces a varint
//
// A reference that does not follow on starts with the zigzag difference of the
// segments; then comes, in the same segment, the zigzag difference to the end of
// the reference before, or else the offset. Length and checksum follow.
const (
	headOutcome    = 0x07
	headReference  = 0x08
	headFollows    = 0x10
	headTriesShift = 5
	headTriesMany  = 7
	checksumBytes  = 4
)

var errPacked = errors.New("the packed results are cut off or out of range")

// packResults encodes the results of consecutive items.
func packResults(results []storedResult) []byte {
	packed := make([]byte, 0, 8*len(results))
	var before storedResult
	for _, stored := range results {
		packed = appendResult(packed, stored, before)
		if stored.hasReference {
			before = stored
		}
	}
	return append(make([]byte, 0, len(packed)), packed...)
}

func appendResult(packed []byte, stored, before storedResult) []byte {
	head := byte(stored.outcome) & headOutcome
	head |= byte(min(stored.tries, headTriesMany)) << headTriesShift
	follows := stored.segment == before.segment && stored.offset == before.end()
	if stored.hasReference {
		head |= headReference
	}
	if stored.hasReference && follows {
		head |= headFollows
	}
	packed = append(packed, head)
	if stored.tries >= headTriesMany {
		packed = binary.AppendUvarint(packed, uint64(stored.tries))
	}
	if !stored.hasReference {
		return packed
	}
	if !follows {
		packed = appendPosition(packed, stored, before)
	}
	packed = binary.AppendUvarint(packed, uint64(stored.length))
	return binary.LittleEndian.AppendUint32(packed, stored.checksum)
}

func appendPosition(packed []byte, stored, before storedResult) []byte {
	packed = binary.AppendVarint(packed, int64(stored.segment-before.segment))
	if stored.segment == before.segment {
		return binary.AppendVarint(packed, int64(stored.offset-before.end()))
	}
	return binary.AppendUvarint(packed, stored.offset)
}

// end is the offset behind the reference.
func (r storedResult) end() uint64 {
	return r.offset + uint64(r.length)
}

// unpackResults decodes the results of exactly count items.
func unpackResults(packed []byte, count uint32) ([]storedResult, error) {
	if uint64(count) > uint64(len(packed)) {
		return nil, errPacked
	}
	reader := packedReader{rest: packed}
	results := make([]storedResult, 0, count)
	for range count {
		results = append(results, reader.next())
	}
	if reader.failed || len(reader.rest) > 0 {
		return nil, errPacked
	}
	return results, nil
}

// packedReader decodes one result after the other. After a failure it returns
// results without meaning.
type packedReader struct {
	rest   []byte
	before storedResult
	failed bool
}

func (p *packedReader) next() storedResult {
	head := p.bytes(1)[0]
	stored := storedResult{
		outcome:      rockwindpb.ItemOutcome(head & headOutcome),
		tries:        uint32(head >> headTriesShift),
		hasReference: head&headReference != 0,
	}
	if stored.tries == headTriesMany {
		stored.tries = p.small()
	}
	if !stored.hasReference {
		return stored
	}
	p.position(&stored, head&headFollows != 0)
	stored.length = p.small()
	stored.checksum = binary.LittleEndian.Uint32(p.bytes(checksumBytes))
	p.before = stored
	return stored
}

func (p *packedReader) position(stored *storedResult, follows bool) {
	if follows {
		stored.segment = p.before.segment
		stored.offset = p.before.end()
		return
	}
	stored.segment = p.before.segment + uint64(p.signed())
	if stored.segment == p.before.segment {
		stored.offset = p.before.end() + uint64(p.signed())
		return
	}
	stored.offset = p.unsigned()
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

func (p *packedReader) unsigned() uint64 {
	value, length := binary.Uvarint(p.rest)
	if !p.pass(length) {
		return 0
	}
	return value
}

func (p *packedReader) signed() int64 {
	value, length := binary.Varint(p.rest)
	if !p.pass(length) {
		return 0
	}
	return value
}

// pass goes on behind a number of so many bytes. It fails where there is none.
func (p *packedReader) pass(length int) bool {
	if length <= 0 {
		p.failed = true
		p.rest = nil
		return false
	}
	p.rest = p.rest[length:]
	return true
}

func (p *packedReader) small() uint32 {
	value := p.unsigned()
	if value > math.MaxUint32 {
		p.failed = true
		return 0
	}
	return uint32(value)
}

// EncodeCommand encodes a command for the log. Reports of items are packed where
// that is shorter; the command itself is not changed.
func EncodeCommand(command *rockwindpb.JobCommand) ([]byte, error) {
	if complete, is := command.Command.(*rockwindpb.JobCommand_Complete); is {
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

// packCompletion returns the shorter of the plain and the packed form. Items end
// in any order, and the order of the reports of different items does not matter,
// so they are packed in the order of the items.
func packCompletion(completion *rockwindpb.LeaseCompletion) *rockwindpb.LeaseCompletion {
	reports := slices.SortedStableFunc(slices.Values(completion.GetItems()), compareItems)
	results, packable := consecutive(reports)
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

// consecutive lays out reports that are sorted by item, with gaps where nothing is
// reported. It declines two reports of an item, reports too far apart, and unknown
// outcomes.
func consecutive(reports []*rockwindpb.ItemCompletion) ([]storedResult, bool) {
	if len(reports) == 0 {
		return nil, false
	}
	first := reports[0].GetItem()
	var results []storedResult
	for _, report := range reports {
		place := uint64(report.GetItem()) - uint64(first)
		if place < uint64(len(results)) || place >= MaxLeaseItems {
			return nil, false
		}
		if checkReport(report) != nil {
			return nil, false
		}
		results = append(results, make([]storedResult, place-uint64(len(results)))...)
		results = append(results, storedResult{outcome: report.Outcome}.withReference(report.Result))
	}
	return results, true
}

// unpackReports returns the reports of a lease in either form.
func unpackReports(completion *rockwindpb.LeaseCompletion) ([]*rockwindpb.ItemCompletion, *fault.Fault) {
	if len(completion.GetPacked()) == 0 {
		return completion.GetItems(), nil
	}
	reports := completion.Items[:len(completion.Items):len(completion.Items)]
	reader := packedReader{rest: completion.Packed}
	for item := uint64(completion.PackedFirstItem); len(reader.rest) > 0; item++ {
		stored := reader.next()
		if reader.failed || item > math.MaxUint32 {
			return nil, fault.New(fault.InvalidArgument, errPacked.Error(), "report the items again")
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
