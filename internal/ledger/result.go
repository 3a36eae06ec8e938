package ledger

import (
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Sizes of the parts of a job's results, in items.
const (
	// chunkItems results are packed together once all of them are recorded.
	chunkItems = 256
	// BlockItems results are sealed together: their references move to a body.
	BlockItems = 4096
	// minimumSealed is the number of results from which sealing saves memory.
	minimumSealed = 64
)

// storedResult is how an item ended and where its result is. The zero value
// means that there is no result.
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

// final tells whether the outcome is one that a recorded item can have.
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

func (r storedResult) describe(item uint32) *rockwindpb.ItemResult {
	return &rockwindpb.ItemResult{Item: item, Outcome: r.outcome, Result: r.reference(), Tries: r.tries}
}

// resultStore holds the results of one job in blocks of BlockItems.
type resultStore struct {
	itemCount uint32
	blocks    []resultBlock
}

// resultBlock holds results in memory, or the reference of the body that does.
type resultBlock struct {
	recorded uint32
	chunks   []resultChunk
	sealed   *rockwindpb.BodyReference
}

// resultChunk holds its results one by one until all are there, then packed.
type resultChunk struct {
	recorded uint32
	open     []storedResult
	packed   []byte
}

func newResultStore(itemCount uint32) resultStore {
	blocks := (itemCount + BlockItems - 1) / BlockItems
	return resultStore{itemCount: itemCount, blocks: make([]resultBlock, blocks)}
}

// blockSize is the number of items of a block; the last one may be shorter.
func (s *resultStore) blockSize(block uint32) uint32 {
	return min(BlockItems, s.itemCount-block*BlockItems)
}

// chunkSize is the number of items of a chunk; the last one may be shorter.
func (s *resultStore) chunkSize(block, chunk uint32) uint32 {
	return min(chunkItems, s.blockSize(block)-chunk*chunkItems)
}

// put stores the result of an item that has none.
func (s *resultStore) put(item uint32, stored storedResult) {
	number := item / BlockItems
	block := &s.blocks[number]
	if block.chunks == nil {
		block.chunks = make([]resultChunk, (s.blockSize(number)+chunkItems-1)/chunkItems)
	}
	place := item % BlockItems / chunkItems
	chunk := &block.chunks[place]
	size := s.chunkSize(number, place)
	if chunk.open == nil {
		chunk.open = make([]storedResult, size)
	}
	chunk.open[item%chunkItems] = stored
	chunk.recorded++
	block.recorded++
	if chunk.recorded == size {
		chunk.packed = packResults(chunk.open)
		chunk.open = nil
	}
}

// read returns the results of a chunk, one for each item.
func (c *resultChunk) read(size uint32) []storedResult {
	if c.open != nil {
		return c.open
	}
	if c.packed == nil {
		return make([]storedResult, size)
	}
	results, err := unpackResults(c.packed, size)
	if err != nil {
		// The bytes were packed or checked by this process.
		return make([]storedResult, size)
	}
	return results
}

// readBlock returns the results of a block that is in memory.
func (s *resultStore) readBlock(number uint32) []storedResult {
	results := make([]storedResult, 0, s.blockSize(number))
	for place := range s.blocks[number].chunks {
		results = append(results, s.blocks[number].chunks[place].read(s.chunkSize(number, uint32(place)))...)
	}
	return results
}

// page returns up to limit results from an item on and where the next page
// starts. Where the page starts in a sealed block, it returns the block instead.
func (s *resultStore) page(from, limit uint32) *rockwindpb.ListResultsResponse {
	response := &rockwindpb.ListResultsResponse{NextItem: from}
	for response.NextItem < s.itemCount && uint32(len(response.Results)) < limit {
		number := response.NextItem / BlockItems
		if s.blocks[number].sealed == nil {
			s.pageBlock(number, limit, response)
			continue
		}
		if len(response.Results) == 0 {
			response.Sealed = s.describeSealed(number)
			response.NextItem = number*BlockItems + s.blockSize(number)
		}
		break
	}
	return response
}

// pageBlock adds the results of a block in memory to a page.
func (s *resultStore) pageBlock(number, limit uint32, response *rockwindpb.ListResultsResponse) {
	block := &s.blocks[number]
	end := number*BlockItems + s.blockSize(number)
	if block.recorded == 0 {
		response.NextItem = end
		return
	}
	for response.NextItem < end && uint32(len(response.Results)) < limit {
		place := response.NextItem % BlockItems / chunkItems
		results := block.chunks[place].read(s.chunkSize(number, place))
		for _, stored := range results[response.NextItem%chunkItems:] {
			if uint32(len(response.Results)) == limit {
				return
			}
			if stored.recorded() {
				response.Results = append(response.Results, stored.describe(response.NextItem))
			}
			response.NextItem++
		}
	}
}

func (s *resultStore) describeSealed(number uint32) *rockwindpb.SealedResults {
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

// unsealed counts the results whose references are held in memory.
func (s *resultStore) unsealed() uint32 {
	total := uint32(0)
	for index := range s.blocks {
		if s.blocks[index].sealed == nil {
			total += s.blocks[index].recorded
		}
	}
	return total
}
