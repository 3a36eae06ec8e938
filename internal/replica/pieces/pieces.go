// Package pieces tells the data of a log entry by reference to entries before it, for the way
// between replicas alone: logs, states and snapshots hold whole entries. What an item's result
// repeats of its progress, or a job of the prompts of another, goes over a link once.
//
// A Coder cuts data into pieces at the leader, and Join makes it whole at the member, from the
// entries of its own log. Replicas whose logs agree on an entry agree on all before it, so a
// reference means the same on both sides. The package is pure; a Coder belongs to one goroutine.
package pieces

import (
	"cmp"
	"slices"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// WindowBytes is how many bytes of entries a Coder refers to, with what it takes to remember them. A
	// member keeps as much before its newest snapshot on the smallest machines: half of 1 MiB
	// (site.LogBytes).
	WindowBytes = 512 << 10
	// mostEntries is how many entries a Coder refers to: as many as a log keeps in memory before its
	// newest snapshot (wal's trailing entries), so that it pins none that the log let go.
	mostEntries = 2048
	// entryCost and pieceCost are what an entry and a piece take beside the data, in bytes: their
	// structs, and the pointers to them. Counted without them, a Coder full of entries of
	// 20 B took 2.2 MB.
	entryCost = 128
	pieceCost = 120
	// leastMatch is the shortest part that is told by reference, in bytes. A reference takes some
	// 12 bytes, and splits what is around it in two.
	leastMatch = 32
	// anchorBits sets how often there is an anchor, a place where a match may be found: one in 64
	// bytes on average, by content, so that the same text has the same anchors wherever it is.
	anchorBits = 6
	// tableBits is the size of the table of anchors: one slot for each of a full window.
	tableBits = 13
)

// entry is one that may be referred to, with the pieces that it was cut into.
type entry struct {
	index  uint64
	data   []byte
	pieces []*rockwindpb.Piece
	oldest uint64
}

// size is what the entry takes in memory, in bytes.
func (e entry) size() int { return entryCost + len(e.data) + pieceCost*len(e.pieces) }

// anchor is a place in the window, after the byte at offset-1 of an entry. The zero value is none.
type anchor struct {
	index  uint64
	offset uint32
}

// Encoder cuts the entries of one leadership into pieces. The zero value knows no entries.
type Encoder struct {
	// known holds the entries of the window in their order.
	known []entry
	// last is the index of the newest, and size the bytes that all take.
	last  uint64
	size  int
	table [1 << tableBits]anchor
}

// gear scrambles bytes for the rolling hash, whose upper bits depend on the last 32 bytes.
var gear = func() (table [256]uint32) {
	state := uint64(0)
	for i := range table {
		// SplitMix64.
		state += 0x9e3779b97f4a7c15
		mixed := (state ^ state>>30) * 0xbf58476d1ce4e5b9
		mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
		table[i] = uint32(mixed >> 32)
	}
	return table
}()

// Encode cuts the data of the entry at an index into pieces, and remembers it. It must not be
// changed afterwards. Oldest is the index of the oldest entry that is referred to; it is zero, and
// there are no pieces, where none is. An entry that is known is not cut again, and one that is not
// known any more, or that is older than the newest, is not cut.
func (c *Encoder) Encode(index uint64, data []byte) (pieces []*rockwindpb.Piece, oldest uint64) {
	if index <= c.last {
		if place, found := c.find(index); found {
			return c.known[place].pieces, c.known[place].oldest
		}
		return nil, 0
	}
	pieces, oldest = c.cut(index, data)
	c.remember(entry{index: index, data: data, pieces: pieces, oldest: oldest})
	return pieces, oldest
}

// cut finds the parts of the data that the window holds, and notes the anchors of the data.
func (c *Encoder) cut(index uint64, data []byte) (pieces []*rockwindpb.Piece, oldest uint64) {
	told, hash := 0, uint32(0)
	for position, value := range data {
		hash = hash<<1 + gear[value]
		if hash>>(32-anchorBits) != 0 {
			continue
		}
		slot := &c.table[hash>>(32-anchorBits-tableBits)&(1<<tableBits-1)]
		here := position + 1
		candidate := *slot
		*slot = anchor{index: index, offset: uint32(here)}
		if here <= told {
			continue
		}
		found, some := c.match(candidate, data, told, here)
		if !some {
			continue
		}
		if found.begin > told {
			pieces = append(pieces, &rockwindpb.Piece{Literal: data[told:found.begin]})
		}
		pieces = append(pieces, &rockwindpb.Piece{Back: index - candidate.index, Offset: found.offset, Length: uint32(found.end - found.begin)})
		told = found.end
		if oldest == 0 || candidate.index < oldest {
			oldest = candidate.index
		}
	}
	if oldest != 0 && told < len(data) {
		pieces = append(pieces, &rockwindpb.Piece{Literal: data[told:]})
	}
	return pieces, oldest
}

// match is a part of the data, from begin to end, that an earlier entry has at offset.
type match struct {
	begin, end int
	offset     uint32
}

// match widens an anchor that may be the same as the place here, back to what is told at most.
func (c *Encoder) match(candidate anchor, data []byte, told, here int) (match, bool) {
	place, known := c.find(candidate.index)
	if !known {
		return match{}, false
	}
	earlier := c.known[place].data
	at := int(candidate.offset)
	before := 0
	for before < at && here-before > told && earlier[at-before-1] == data[here-before-1] {
		before++
	}
	after := commonPrefix(earlier[at:], data[here:])
	if before+after < leastMatch {
		return match{}, false
	}
	return match{begin: here - before, end: here + after, offset: uint32(at - before)}, true
}

func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// find returns the place of an entry in the window.
func (c *Encoder) find(index uint64) (place int, found bool) {
	return slices.BinarySearchFunc(c.known, index, func(each entry, wanted uint64) int {
		return cmp.Compare(each.index, wanted)
	})
}

// remember keeps the entry, and lets go of the oldest ones beyond the window.
func (c *Encoder) remember(newest entry) {
	c.last = newest.index
	c.known = append(c.known, newest)
	c.size += newest.size()
	for (c.size > WindowBytes || len(c.known) > mostEntries) && len(c.known) > 1 {
		c.size -= c.known[0].size()
		c.known[0] = entry{}
		c.known = c.known[1:]
	}
}

// Decode makes the data of the entry at an index whole. Earlier returns the data of an entry
// before it; found is false where it isn't held, and for references to what is not there.
func Decode(index uint64, pieces []*rockwindpb.Piece, earlier func(index uint64) (data []byte, found bool)) (data []byte, found bool) {
	for _, piece := range pieces {
		if piece.GetBack() == 0 {
			data = append(data, piece.GetLiteral()...)
			continue
		}
		if piece.GetBack() >= index {
			return nil, false
		}
		from, held := earlier(index - piece.GetBack())
		end := uint64(piece.GetOffset()) + uint64(piece.GetLength())
		if !held || end > uint64(len(from)) {
			return nil, false
		}
		data = append(data, from[piece.GetOffset():end]...)
	}
	return data, true
}
