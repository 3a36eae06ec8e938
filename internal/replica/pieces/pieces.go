// Package pieces delta-encodes log entries for replication: parts that repeat earlier entries are
// sent as references to them. Logs, state and snapshots store complete entries. This avoids sending
// an item's output twice, as progress and as its result, or the prompts that a job shares with
// another.
//
// An Encoder splits data into pieces at the leader, and Decode restores it at the follower from the
// entries of its own log. Replicas whose logs agree on an entry agree on all entries before it, so
// references mean the same on both sides. The package is pure; an Encoder is not safe for
// concurrent use.
package pieces

import (
	"cmp"
	"slices"

	"rockwind.example/rockwind/internal/rockwindpb"
)

const (
	// WindowBytes limits the memory of the entries that an Encoder refers to, including overhead. A
	// follower with the smallest log keeps as much before its newest snapshot: half of 1 MiB
	// (site.LogBytes).
	WindowBytes = 512 << 10
	// maxEntries limits the number of entries that an Encoder refers to. It equals the number of
	// trailing entries that the write-ahead log keeps in memory before its newest snapshot, so that
	// the Encoder retains no entry that the log has released.
	maxEntries = 2048
	// entryOverhead and pieceOverhead are the bytes that an entry and a piece occupy besides their
	// data: their structs and the pointers to them. Without them, many small entries would exceed
	// the memory limit: a Coder full of entries of 20 B took 2.2 MB.
	entryOverhead = 128
	pieceOverhead = 120
	// minMatch is the minimum length of a match in bytes. A reference takes about 12 bytes and
	// splits the surrounding literal.
	minMatch = 32
	// anchorBits sets the density of anchors, the positions at which matches are looked up: one in
	// 64 bytes on average. Anchors are content-defined, so the same text has the same anchors
	// anywhere.
	anchorBits = 6
	// tableBits sets the size of the anchor table: one slot for each anchor of a full window.
	tableBits = 13
)

// entry is a log entry in the window, with its encoding.
type entry struct {
	index  uint64
	data   []byte
	pieces []*rockwindpb.Piece
	oldest uint64
}

// size is the memory that the entry occupies, in bytes.
func (e entry) size() int { return entryOverhead + len(e.data) + pieceOverhead*len(e.pieces) }

// anchor is a position in an entry of the window, after the byte at offset-1. The zero value means
// none.
type anchor struct {
	index  uint64
	offset uint32
}

// Encoder encodes the entries of one leadership term. The zero value has an empty window.
type Encoder struct {
	// entries is the window, ordered by index.
	entries []entry
	// last is the index of the newest entry, and size the memory that all occupy.
	last  uint64
	size  int
	table [1 << tableBits]anchor
}

// gear is the table of the Gear rolling hash, whose upper bits depend on the last 32 bytes.
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

// Encode splits the data of the entry at an index into pieces and adds the entry to the window. The
// data must not be modified afterwards. oldest is the index of the oldest entry referred to; if
// there are no references, it is zero and there are no pieces. An entry in the window is not
// encoded again. An older entry that is not in the window is not encoded at all.
func (e *Encoder) Encode(index uint64, data []byte) (pieces []*rockwindpb.Piece, oldest uint64) {
	if index <= e.last {
		if position, found := e.find(index); found {
			return e.entries[position].pieces, e.entries[position].oldest
		}
		return nil, 0
	}
	pieces, oldest = e.cut(index, data)
	e.add(entry{index: index, data: data, pieces: pieces, oldest: oldest})
	return pieces, oldest
}

// cut finds the parts of the data that occur in the window and records the anchors of the data.
func (e *Encoder) cut(index uint64, data []byte) (pieces []*rockwindpb.Piece, oldest uint64) {
	encoded, hash := 0, uint32(0)
	for position, value := range data {
		hash = hash<<1 + gear[value]
		if hash>>(32-anchorBits) != 0 {
			continue
		}
		slot := &e.table[hash>>(32-anchorBits-tableBits)&(1<<tableBits-1)]
		end := position + 1
		candidate := *slot
		*slot = anchor{index: index, offset: uint32(end)}
		if end <= encoded {
			continue
		}
		found, matched := e.extend(candidate, data, encoded, end)
		if !matched {
			continue
		}
		if found.begin > encoded {
			pieces = append(pieces, &rockwindpb.Piece{Literal: data[encoded:found.begin]})
		}
		pieces = append(pieces, &rockwindpb.Piece{Back: index - candidate.index, Offset: found.offset, Length: uint32(found.end - found.begin)})
		encoded = found.end
		if oldest == 0 || candidate.index < oldest {
			oldest = candidate.index
		}
	}
	if oldest != 0 && encoded < len(data) {
		pieces = append(pieces, &rockwindpb.Piece{Literal: data[encoded:]})
	}
	return pieces, oldest
}

// match is a part of the data, from begin to end, that an earlier entry contains at offset.
type match struct {
	begin, end int
	offset     uint32
}

// extend extends a match at a candidate anchor in both directions, but not into data already
// encoded.
func (e *Encoder) extend(candidate anchor, data []byte, encoded, end int) (match, bool) {
	position, known := e.find(candidate.index)
	if !known {
		return match{}, false
	}
	earlier := e.entries[position].data
	at := int(candidate.offset)
	before := 0
	for before < at && end-before > encoded && earlier[at-before-1] == data[end-before-1] {
		before++
	}
	after := commonPrefix(earlier[at:], data[end:])
	if before+after < minMatch {
		return match{}, false
	}
	return match{begin: end - before, end: end + after, offset: uint32(at - before)}, true
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

// find returns the position of an entry in the window.
func (e *Encoder) find(index uint64) (position int, found bool) {
	return slices.BinarySearchFunc(e.entries, index, func(each entry, wanted uint64) int {
		return cmp.Compare(each.index, wanted)
	})
}

// add appends an entry to the window and removes the oldest ones beyond its limits.
func (e *Encoder) add(newest entry) {
	e.last = newest.index
	e.entries = append(e.entries, newest)
	e.size += newest.size()
	for (e.size > WindowBytes || len(e.entries) > maxEntries) && len(e.entries) > 1 {
		e.size -= e.entries[0].size()
		e.entries[0] = entry{}
		e.entries = e.entries[1:]
	}
}

// Decode restores the data of the entry at an index. earlier returns the data of an earlier entry.
// found is false if an entry is missing or a reference is invalid.
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
