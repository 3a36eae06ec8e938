package ledger

import (
	"encoding/binary"
	"math/bits"
)

// bitmap is a set of item numbers, stored least significant bit first.
type bitmap []byte

// newBitmap returns an empty set for the items [0, count).
func newBitmap(count uint32) bitmap {
	return make(bitmap, (count+7)/8)
}

func (b bitmap) has(item uint32) bool {
	return b[item/8]&(1<<(item%8)) != 0
}

func (b bitmap) add(item uint32) {
	b[item/8] |= 1 << (item % 8)
}

func (b bitmap) remove(item uint32) {
	b[item/8] &^= 1 << (item % 8)
}

// count returns the size of the set.
func (b bitmap) count() uint32 {
	const wordBytes = 8
	total := 0
	rest := b
	for ; len(rest) >= wordBytes; rest = rest[wordBytes:] {
		total += bits.OnesCount64(binary.LittleEndian.Uint64(rest))
	}
	for _, last := range rest {
		total += bits.OnesCount8(last)
	}
	return uint32(total)
}

// countBlock returns the number of members in [first, first+size). first must be a
// multiple of 8, and size too unless the range ends at the last item.
func (b bitmap) countBlock(first, size uint32) uint32 {
	return b[first/8 : (first+size+7)/8].count()
}

// valid reports whether the bitmap has the length for count items and has no bit set
// beyond them.
func (b bitmap) valid(count uint32) bool {
	if uint32(len(b)) != (count+7)/8 {
		return false
	}
	unused := uint32(len(b))*8 - count
	return unused == 0 || b[len(b)-1]>>(8-unused) == 0
}

// each calls visit for each member in ascending order.
func (b bitmap) each(visit func(item uint32)) {
	for index, members := range b {
		for members != 0 {
			visit(uint32(index*8 + bits.TrailingZeros8(members)))
			members &= members - 1
		}
	}
}

func (b bitmap) clone() bitmap {
	return append(bitmap(nil), b...)
}
