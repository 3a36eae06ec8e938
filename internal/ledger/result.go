package ledger

import (
	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// chunkItems is the number of items whose results are packed together once all of
	// them are recorded.
	chunkItems = 256
	// BlockItems is the number of items whose results are sealed together, that is,
	// moved from memory to a stored body.
	BlockItems = 4096
	// minimumSealedResults is the number of results from which sealing a block saves
	// memory.
	minimumSealedResults = 64
)

// storedResult is the outcome of an item and the reference of its result body. The zero
// value stands for an item without a result.
type storedResult struct {
	segment      uint64
	offset       uint64
	length       uint32
	checksum     uint32
	tries        uint32
	outcome      rockwindpb.ItemOutcome
	hasReference bool
}

func (r storedResult) withReference(reference *rockwindpb.BodyReference) storedResult {
	if reference == nil {
		return r
	}
	r.segment = reference.Segment
	r.offset = reference.Offset
	r.length = reference.Length
	r.checksum = reference.Checksum
	r.hasReference = true
	return r
}

func (r storedResult) recorded() bool {
	return r.outcome != rockwindpb.ItemOutcome_ITEM_OUTCOME_UNSPECIFIED
}

// final reports whether the outcome is valid for a recorded item.
func (r storedResult) final() bool {
	return r.outcome == rockwindpb.ItemOutcome_ITEM_OUTCOME_COMPLETED ||
		r.outcome == rockwindpb.ItemOutcome_ITEM_OUTCOME_FAILED
}

func (r storedResult) reference() *rockwindpb.BodyReference {
	if !r.hasReference {
		return nil
	}
	return &rockwindpb.BodyReference{
		Segment:  r.segment,
		Offset:   r.offset,
		Length:   r.length,
		Checksum: r.checksum,
	}
}

func (r storedResult) toProto(item uint32) *rockwindpb.ItemResult {
	return &rockwindpb.ItemResult{Item: item, Outcome: r.outcome, Result: r.reference(), Tries: r.tries}
}

// resultStore holds the results of one job in blocks of BlockItems items.
type resultStore struct {
	itemCount uint32
	blocks    []resultBlock
}

// resultBlock holds the results of a block in memory or, once sealed, the reference of
// the stored body with the results.
type resultBlock struct {
	recorded uint32
	chunks   []resultChunk
	sealed   *rockwindpb.BodyReference
}

// resultChunk holds results unpacked until all of its items have one, then packed.
type resultChunk struct {
	recorded uint32
	unpacked []storedResult
	packed   []byte
}

func newResultStore(itemCount uint32) resultStore {
	blocks := (itemCount + BlockItems - 1) / BlockItems
	return resultStore{itemCount: itemCount, blocks: make([]resultBlock, blocks)}
}

// blockSize returns the number of items of a block. The last block may be shorter.
func (s *resultStore) blockSize(block uint32) uint32 {
	return min(BlockItems, s.itemCount-block*BlockItems)
}

// chunkSize returns the number of items of a chunk. The last chunk may be shorter.
func (s *resultStore) chunkSize(block, chunk uint32) uint32 {
	return min(chunkItems, s.blockSize(block)-chunk*chunkItems)
}

// put stores the result of an item that has none yet.
func (s *resultStore) put(item uint32, stored storedResult) {
	number := item / BlockItems
	block := &s.blocks[number]
	if block.chunks == nil {
		block.chunks = make([]resultChunk, (s.blockSize(number)+chunkItems-1)/chunkItems)
	}
	index := item % BlockItems / chunkItems
	chunk := &block.chunks[index]
	size := s.chunkSize(number, index)
	if chunk.unpacked == nil {
		chunk.unpacked = make([]storedResult, size)
	}
	chunk.unpacked[item%chunkItems] = stored
	chunk.recorded++
	block.recorded++
	if chunk.recorded == size {
		chunk.packed = packResults(chunk.unpacked)
		chunk.unpacked = nil
	}
}

// read returns the results of a chunk, one for each item.
func (c *resultChunk) read(size uint32) []storedResult {
	if c.unpacked != nil {
		return c.unpacked
	}
	if c.packed == nil {
		return make([]storedResult, size)
	}
	results, err := unpackResults(c.packed, size)
	if err != nil {
		// Unreachable: this process packed the results.
		return make([]storedResult, size)
	}
	return results
}

// readBlock returns the results of an unsealed block.
func (s *resultStore) readBlock(number uint32) []storedResult {
	results := make([]storedResult, 0, s.blockSize(number))
	for index := range s.blocks[number].chunks {
		results = append(results, s.blocks[number].chunks[index].read(s.chunkSize(number, uint32(index)))...)
	}
	return results
}

// page returns up to limit results starting at an item, and the start of the next page.
// If the page starts in a sealed block, it returns the reference of the block instead.
func (s *resultStore) page(from, limit uint32) *rockwindpb.ListResultsResponse {
	response := &rockwindpb.ListResultsResponse{NextItem: from}
	for response.NextItem < s.itemCount && uint32(len(response.Results)) < limit {
		number := response.NextItem / BlockItems
		if s.blocks[number].sealed == nil {
			s.pageBlock(number, limit, response)
			continue
		}
		if len(response.Results) == 0 {
			response.Sealed = s.sealedToProto(number)
			response.NextItem = number*BlockItems + s.blockSize(number)
		}
		break
	}
	return response
}

// pageBlock appends the results of an unsealed block to a page.
func (s *resultStore) pageBlock(number, limit uint32, response *rockwindpb.ListResultsResponse) {
	block := &s.blocks[number]
	end := number*BlockItems + s.blockSize(number)
	if block.recorded == 0 {
		response.NextItem = end
		return
	}
	for response.NextItem < end && uint32(len(response.Results)) < limit {
		index := response.NextItem % BlockItems / chunkItems
		results := block.chunks[index].read(s.chunkSize(number, index))
		for _, stored := range results[response.NextItem%chunkItems:] {
			if uint32(len(response.Results)) == limit {
				return
			}
			if stored.recorded() {
				response.Results = append(response.Results, stored.toProto(response.NextItem))
			}
			response.NextItem++
		}
	}
}

func (s *resultStore) sealedToProto(number uint32) *rockwindpb.SealedResults {
	sealed := s.blocks[number].sealed
	return &rockwindpb.SealedResults{
		FirstItem: number * BlockItems,
		ItemCount: s.blockSize(number),
		Index: &rockwindpb.BodyReference{
			Segment:  sealed.Segment,
			Offset:   sealed.Offset,
			Length:   sealed.Length,
			Checksum: sealed.Checksum,
		},
	}
}

// unsealed returns the number of results whose references are in memory.
func (s *resultStore) unsealed() uint32 {
	total := uint32(0)
	for index := range s.blocks {
		if s.blocks[index].sealed == nil {
			total += s.blocks[index].recorded
		}
	}
	return total
}
