package ledger

import (
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// SealableBlock is a block of results that can no longer change. To seal it, store its
// body and apply the command that Command returns.
type SealableBlock struct {
	JobID string
	// FirstItem and ItemCount are the range of items of the block.
	FirstItem uint32
	ItemCount uint32
	// Body holds the results in the packed encoding.
	Body []byte
}

// Command returns the command that seals the block after its body was stored under the
// given reference.
func (b SealableBlock) Command(index *rockwindpb.BodyReference) *rockwindpb.SealResultsCommand {
	return &rockwindpb.SealResultsCommand{
		JobId: b.JobID,
		Block: &rockwindpb.SealedResults{
			FirstItem: b.FirstItem,
			ItemCount: b.ItemCount,
			Index:     index,
		},
		Digest: xxhash.Sum64(b.Body),
	}
}

// SealableBlocks returns up to limit blocks that are worth sealing.
func (l *Ledger) SealableBlocks(limit int) []SealableBlock {
	var blocks []SealableBlock
	for id, found := range l.jobs {
		for number := range found.results.blocks {
			if len(blocks) >= limit {
				return blocks
			}
			if found.sealable(uint32(number)) {
				blocks = append(blocks, found.sealableBlock(id, uint32(number)))
			}
		}
	}
	return blocks
}

// sealable reports whether a block is worth sealing.
func (j *job) sealable(number uint32) bool {
	block := &j.results.blocks[number]
	return block.sealed == nil && block.recorded >= minimumSealedResults && j.immutable(number)
}

// immutable reports whether the results of a block can no longer change.
func (j *job) immutable(number uint32) bool {
	return !j.running() || j.results.blocks[number].recorded == j.results.blockSize(number)
}

func (j *job) sealableBlock(id string, number uint32) SealableBlock {
	return SealableBlock{
		JobID:     id,
		FirstItem: number * BlockItems,
		ItemCount: j.results.blockSize(number),
		Body:      packResults(j.results.readBlock(number)),
	}
}

// seal replaces the results of a block in memory with the reference of their stored
// body. It fails with fault.Conflict if the results can still change or if the body does
// not match them.
func (l *Ledger) seal(command *rockwindpb.SealResultsCommand) (*rockwindpb.SealResultsResponse, *fault.Fault) {
	found, failure := l.findJob(command.GetJobId(), "")
	if failure != nil {
		return nil, failure
	}
	first := command.GetBlock().GetFirstItem()
	number := first / BlockItems
	misplaced := first%BlockItems != 0 || first >= found.definition.ItemCount ||
		command.Block.ItemCount != found.results.blockSize(number) || command.Block.Index == nil
	if misplaced {
		return nil, fault.Newf(fault.InvalidArgument, "seal only blocks that SealableBlocks returned",
			"the range of items at %d is not a block of job %s", first, command.JobId)
	}
	block := &found.results.blocks[number]
	if block.sealed != nil {
		return &rockwindpb.SealResultsResponse{}, nil
	}
	if block.recorded == 0 || !found.immutable(number) || !bodyMatches(packResults(found.results.readBlock(number)), command) {
		return nil, fault.Newf(fault.Conflict, "read the block from SealableBlocks again",
			"the block at item %d of job %s is not ready to be sealed, or its body does not match the results", first, command.JobId)
	}
	block.sealed = cloneReference(command.Block.Index)
	block.chunks = nil
	return &rockwindpb.SealResultsResponse{Sealed: true}, nil
}

// bodyMatches reports whether the stored body described by a command equals body.
func bodyMatches(body []byte, command *rockwindpb.SealResultsCommand) bool {
	index := command.Block.Index
	return uint64(index.Length) == uint64(len(body)) &&
		index.Checksum == crc32.Checksum(body, castagnoli) &&
		command.Digest == xxhash.Sum64(body)
}

func cloneReference(reference *rockwindpb.BodyReference) *rockwindpb.BodyReference {
	return &rockwindpb.BodyReference{
		Segment:  reference.Segment,
		Offset:   reference.Offset,
		Length:   reference.Length,
		Checksum: reference.Checksum,
	}
}

// ExpandSealed converts a page that refers to a sealed block into a page with the
// results, decoded from the body of the block. A page without a sealed block is
// returned unchanged. It fails with fault.Corrupt if the body does not match the block.
func ExpandSealed(
	request *rockwindpb.ListResultsRequest,
	page *rockwindpb.ListResultsResponse,
	body []byte,
) (*rockwindpb.ListResultsResponse, error) {
	if page.Sealed == nil {
		return page, nil
	}
	results, err := unpackResults(body, page.Sealed.ItemCount)
	if err != nil {
		return nil, errors.WithStack(fault.New(fault.Corrupt, "a sealed block of results cannot be decoded",
			"run 'rockwind verify' on the machine and read the block from another replica"))
	}
	limit := pageLimit(request.Limit)
	expanded := &rockwindpb.ListResultsResponse{NextItem: max(request.FromItem, page.Sealed.FirstItem)}
	end := page.Sealed.FirstItem + page.Sealed.ItemCount
	for expanded.NextItem < end && uint32(len(expanded.Results)) < limit {
		stored := results[expanded.NextItem-page.Sealed.FirstItem]
		if stored.recorded() {
			expanded.Results = append(expanded.Results, stored.toProto(expanded.NextItem))
		}
		expanded.NextItem++
	}
	return expanded, nil
}
