package routing

// MaxPrefixBlocks is the number of leading blocks of a prompt whose prefixes
// are looked up.
const MaxPrefixBlocks = 64

// affinityPrefixBlocks is the number of leading blocks of a prompt that
// identify its conversation or document.
const affinityPrefixBlocks = 4

// Prefix is a prefix of a prompt.
type Prefix struct {
	// Block is the chained hash of the prefix's last block.
	Block uint64
	// Tokens is the length of the prefix.
	Tokens int32
}

// PrefixesOf appends the prefixes of a prompt whose lengths in blocks are
// powers of two, longest first. blocks holds the chained hashes of the prompt's
// complete blocks.
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

// AffinityKeyOf returns a key that identifies the conversation or document of a
// prompt by its leading blocks. It returns zero for prompts too short for
// affinity to matter.
func AffinityKeyOf(blocks []uint64) uint64 {
	if len(blocks) < affinityPrefixBlocks {
		return 0
	}
	return blocks[affinityPrefixBlocks-1]
}
