package placement

// sequenceBits is the number of low bits of a fence that hold the sequence number.
const sequenceBits = 32

// Fence returns the fencing token of an order. Terms of the root group increase from leader to
// leader, sequence numbers from order to order of one leader. An engine refuses a fence that is not
// higher than the last one it accepted, so orders of a former leader are refused once a later one
// has sent an order.
func Fence(term uint64, sequence uint32) uint64 {
	return term<<sequenceBits | uint64(sequence)
}

// FenceTerm returns the term of a fence.
func FenceTerm(fence uint64) uint64 { return fence >> sequenceBits }

// FenceSequence returns the sequence number of a fence within its term.
func FenceSequence(fence uint64) uint32 { return uint32(fence) }
