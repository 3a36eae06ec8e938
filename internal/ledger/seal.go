package ledger

import (
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// SealableBlock is a block of results that will not change any more. Its body is
// to be stored, and then named by a SealResultsCommand.
type SealableBlock struct {
	// JobID is the job of the block.
	JobID string
	// FirstItem and ItemCount are the items of the block.
	FirstItem uint32
	ItemCount uint32
	// Body holds the results in the packed encoding.
	Body []byte
}

// Command returns the command that seals the block, once its body is stored
// under the given reference.
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

// SealableBlocks returns at most limit blocks that are worth sealing.
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

// sealable tells whether a block is worth sealing.
func (j *job) sealable(number uint32) bool {
	block := &j.results.blocks[number]
	return block.sealed == nil && block.recorded >= minimumSealed && j.settled(number)
}

// settled tells whether a block will not change any more.
func (j *job) settled(number uint32) bool {
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

// seal replaces the results of a block by the reference of the body that holds
// them, provided that the body is right.
func (l *Ledger) seal(command *rockwindpb.SealResultsCommand) (*rockwindpb.SealResultsResponse, *fault.Fault) {
	found, refused := l.findJob(command.GetJobId(), "")
	if refused != nil {
		return nil, refused
	}
	first := command.GetBlock().GetFirstItem()
	number := first / BlockItems
	misplaced := first%BlockItems != 0 || first >= found.definition.ItemCount ||
		command.Block.ItemCount != found.results.blockSize(number) || command.Block.Index == nil
	if misplaced {
		return nil, fault.Newf(fault.InvalidArgument, "seal the blocks that the ledger offers",
			"items from %d on are no block of job %s", first, command.JobId)
	}
	block := &found.results.blocks[number]
	if block.sealed != nil {
		return &rockwindpb.SealResultsResponse{}, nil
	}
	if block.recorded == 0 || !found.settled(number) || !matches(packResults(found.results.readBlock(number)), command) {
		return nil, fault.Newf(fault.Conflict, "seal the block that the ledger offers now",
			"the body for items from %d on does not hold the results of job %s", first, command.JobId)
	}
	block.sealed = cloneReference(command.Block.Index)
	block.chunks = nil
	return &rockwindpb.SealResultsResponse{Sealed: true}, nil
}

// matches tells whether a stored body is the one that the ledger computes.
func matches(body []byte, command *rockwindpb.SealResultsCommand) bool {
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

// ExpandSealed turns a page that names a sealed block into one that holds its
// results, given the block's body. A page without a sealed block is returned as
// it is. It fails with fault.Corrupt where the body does not fit the block.
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
			"read it from another copy: run 'rockwind verify' on the machine"))
	}
	limit := pageLimit(request.Limit)
	expanded := &rockwindpb.ListResultsResponse{NextItem: max(request.FromItem, page.Sealed.FirstItem)}
	end := page.Sealed.FirstItem + page.Sealed.ItemCount
	for expanded.NextItem < end && uint32(len(expanded.Results)) < limit {
		stored := results[expanded.NextItem-page.Sealed.FirstItem]
		if stored.recorded() {
			expanded.Results = append(expanded.Results, stored.describe(expanded.NextItem))
		}
		expanded.NextItem++
	}
	return expanded, nil
}
