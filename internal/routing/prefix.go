package routing

// MaxPrefixBlocks bounds the blocks of a prompt whose prefixes are looked
// up.
const MaxPrefixBlocks = 64

// affinityBlocks is the length in blocks of the part of a prompt that names its
// conversation or document.
const affinityBlocks = 4

// Prefix is a leading part of a prompt.
type Prefix struct {
	// Block is the chain hash of the part's last block.
	Block uint64
	// Tokens is the length of the part.
	Tokens int32
}

// PrefixesOf appends the prefixes of a prompt whose lengths are powers of two in
// blocks, longest first. blocks are the chain hashes of the prompt's whole
// blocks.
func PrefixesOf(blocks []uint64, tokensPerBlock int, found []Prefix) []Prefix {
	count := min(len(blocks), MaxPrefixBlocks)
	length := 1
	for 2*length <= count {
		length *= 2
	}
	for ; length > 0 && count > 0; length /= 2 {
		found = append(found, Prefix{Block: blocks[length-1], Tokens: int32(length * tokensPerBlock)})
	}
	return found
}

// AffinityKeyOf names the conversation or document of a prompt by its leading
// blocks; zero for prompts that are too short for it to matter.
func AffinityKeyOf(blocks []uint64) uint64 {
	if len(blocks) < affinityBlocks {
		return 0
	}
	return blocks[affinityBlocks-1]
}
