package placement

// sequenceBits is how many bits of a fence count the orders of one term.
const sequenceBits = 32

// Fence returns the fence of an order: terms of the root group rise over all its
// leaders, sequences over the orders of one leader. An engine refuses a fence
// that is not above the last it accepted, so that the orders of an earlier leader
// are void once a later one has ordered.
func Fence(term uint64, sequence uint32) uint64 {
	return term<<sequenceBits | uint64(sequence)
}

// FenceTerm returns the term of a fence, and FenceSequence its sequence.
func FenceTerm(fence uint64) uint64 { return fence >> sequenceBits }

// FenceSequence returns the sequence of a fence within its term.
func FenceSequence(fence uint64) uint32 { return uint32(fence) }
