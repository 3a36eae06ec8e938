// Package segment stores bodies, the inputs and results of batch items, in
// append-only files that are replicated to other machines and synced before a
// body is acknowledged. A reference to a body consists of its segment, offset,
// length and checksum; the checksum is verified on every read.
//
// The bytes at an offset of a segment never change once written: only the
// segment's writer appends, and after a restart or a failed append it starts a new
// segment. Intact copies of a segment therefore differ only in length, and each is
// a prefix of the longest one.
package segment

import (
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/cockroachdb/errors"
)

// Sizes of the parts of a segment file.
const (
	// fileHeaderBytes: magic, segment id, creation time, CRC, padding.
	fileHeaderBytes = 32
	// recordHeaderBytes: magic, body length, CRC of the body, CRC of the header.
	recordHeaderBytes = 16
	// MaximumBodyBytes bounds the size of a body.
	MaximumBodyBytes = 64 << 20
)

const (
	fileMagic   = uint64(0x52574b5345473031)
	recordMagic = uint32(0xb0d1e5a7)
	// scanBufferBytes is the size of a scan's reads.
	scanBufferBytes = 64 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of data.
func checksum(data []byte) uint32 {
	return crc32.Checksum(data, castagnoli)
}

// fileHeader is the start of a segment file; it is the same in all copies.
type fileHeader struct {
	segment uint64
	// createdUnixMs determines when the segment may be removed, on all machines.
	createdUnixMs int64
}

func (h fileHeader) encode() []byte {
	encoded := make([]byte, fileHeaderBytes)
	binary.BigEndian.PutUint64(encoded[0:], fileMagic)
	binary.BigEndian.PutUint64(encoded[8:], h.segment)
	binary.BigEndian.PutUint64(encoded[16:], uint64(h.createdUnixMs))
	binary.BigEndian.PutUint32(encoded[24:], checksum(encoded[:24]))
	return encoded
}

func decodeFileHeader(encoded []byte) (fileHeader, bool) {
	if len(encoded) < fileHeaderBytes || binary.BigEndian.Uint64(encoded) != fileMagic {
		return fileHeader{}, false
	}
	if binary.BigEndian.Uint32(encoded[24:]) != checksum(encoded[:24]) {
		return fileHeader{}, false
	}
	return fileHeader{
		segment:       binary.BigEndian.Uint64(encoded[8:]),
		createdUnixMs: int64(binary.BigEndian.Uint64(encoded[16:])),
	}, true
}

// recordHeader precedes each body.
type recordHeader struct {
	length   uint32
	checksum uint32
}

// appendRecord appends the encoded record of a body.
func appendRecord(to, body []byte) []byte {
	header := make([]byte, recordHeaderBytes)
	binary.BigEndian.PutUint32(header[0:], recordMagic)
	binary.BigEndian.PutUint32(header[4:], uint32(len(body)))
	binary.BigEndian.PutUint32(header[8:], checksum(body))
	binary.BigEndian.PutUint32(header[12:], checksum(header[:12]))
	return append(append(to, header...), body...)
}

func decodeRecordHeader(encoded []byte) (recordHeader, bool) {
	if len(encoded) < recordHeaderBytes || binary.BigEndian.Uint32(encoded) != recordMagic {
		return recordHeader{}, false
	}
	if binary.BigEndian.Uint32(encoded[12:]) != checksum(encoded[:12]) {
		return recordHeader{}, false
	}
	header := recordHeader{
		length:   binary.BigEndian.Uint32(encoded[4:]),
		checksum: binary.BigEndian.Uint32(encoded[8:]),
	}
	return header, header.length <= MaximumBodyBytes
}

// span is a range of a segment file: complete valid records, or damaged bytes.
type span struct {
	start int64
	end   int64
	valid bool
}

// scan divides [start, end) of a segment file into alternating valid and damaged
// spans. From a start of zero, the file header is checked as well.
func scan(source io.ReaderAt, start, end int64) ([]span, error) {
	var spans []span
	position := start
	if position == 0 && end > 0 {
		next, valid, err := scanFileHeader(source, end)
		if err != nil {
			return nil, err
		}
		spans = appendSpan(spans, span{start: 0, end: next, valid: valid})
		position = next
	}
	for position < end {
		next, valid, err := scanRecord(source, position, end)
		if err != nil {
			return nil, err
		}
		spans = appendSpan(spans, span{start: position, end: next, valid: valid})
		position = next
	}
	return spans, nil
}

func scanFileHeader(source io.ReaderAt, end int64) (next int64, valid bool, err error) {
	if end < fileHeaderBytes {
		return end, false, nil
	}
	encoded := make([]byte, fileHeaderBytes)
	if err := readFull(source, encoded, 0); err != nil {
		return 0, false, err
	}
	_, valid = decodeFileHeader(encoded)
	return fileHeaderBytes, valid, nil
}

// scanRecord checks the record at position and returns the position to continue
// from.
func scanRecord(source io.ReaderAt, position, end int64) (next int64, valid bool, err error) {
	if end-position < recordHeaderBytes {
		return end, false, nil
	}
	encoded := make([]byte, recordHeaderBytes)
	if err := readFull(source, encoded, position); err != nil {
		return 0, false, err
	}
	header, intact := decodeRecordHeader(encoded)
	if !intact {
		next, err = findNextHeader(source, position+1, end)
		return next, false, err
	}
	bodyStart := position + recordHeaderBytes
	bodyEnd := bodyStart + int64(header.length)
	if bodyEnd > end {
		next, err = findNextHeader(source, bodyStart, end)
		return next, false, err
	}
	actual, err := checksumRange(source, bodyStart, bodyEnd)
	return bodyEnd, actual == header.checksum, err
}

// findNextHeader searches forward for the next intact record header.
func findNextHeader(source io.ReaderAt, position, end int64) (int64, error) {
	window := make([]byte, scanBufferBytes)
	for position+recordHeaderBytes <= end {
		part := window[:min(int64(len(window)), end-position)]
		if err := readFull(source, part, position); err != nil {
			return 0, err
		}
		for offset := 0; offset+recordHeaderBytes <= len(part); offset++ {
			if _, intact := decodeRecordHeader(part[offset:]); intact {
				return position + int64(offset), nil
			}
		}
		position += int64(len(part)) - recordHeaderBytes + 1
	}
	return end, nil
}

func checksumRange(source io.ReaderAt, start, end int64) (uint32, error) {
	sum := uint32(0)
	window := make([]byte, min(scanBufferBytes, end-start))
	for start < end {
		part := window[:min(int64(len(window)), end-start)]
		if err := readFull(source, part, start); err != nil {
			return 0, err
		}
		sum = crc32.Update(sum, castagnoli, part)
		start += int64(len(part))
	}
	return sum, nil
}

func readFull(source io.ReaderAt, into []byte, position int64) error {
	count, err := source.ReadAt(into, position)
	if count == len(into) {
		return nil
	}
	return errors.Wrapf(err, "read %d bytes at offset %d", len(into), position)
}

// appendSpan appends a span, merged with the last one if both are valid or both
// damaged.
func appendSpan(spans []span, next span) []span {
	last := len(spans) - 1
	if last >= 0 && spans[last].valid == next.valid {
		spans[last].end = next.end
		return spans
	}
	return append(spans, next)
}

// intactPrefix returns the end of the valid span at the start, or start if there
// is none.
func intactPrefix(spans []span, start int64) int64 {
	if len(spans) == 0 || !spans[0].valid {
		return start
	}
	return spans[0].end
}

// damagedSpans returns the damaged ones of the spans.
func damagedSpans(spans []span) []span {
	var damaged []span
	for _, candidate := range spans {
		if !candidate.valid {
			damaged = append(damaged, candidate)
		}
	}
	return damaged
}
