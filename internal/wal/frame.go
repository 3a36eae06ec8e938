package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is what one sync makes durable: a header and a payload of records.
// The next frame is written only after the sync of the one before it, so that
// at most the last frame of a log can be incomplete.
//
//	payload length (4) | CRC-32C of payload (4) | CRC-32C of the 8 bytes before (4) | payload
const (
	frameHeaderBytes = 12
	// sectorBytes is the unit that a disk writes whole.
	sectorBytes = 512
	// MaximumFrameBytes bounds the payload of a frame.
	MaximumFrameBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum is the CRC-32C of content.
func Checksum(content []byte) uint32 {
	return crc32.Checksum(content, castagnoli)
}

func appendFrame(target, payload []byte) []byte {
	start := len(target)
	target = binary.LittleEndian.AppendUint32(target, uint32(len(payload)))
	target = binary.LittleEndian.AppendUint32(target, Checksum(payload))
	target = binary.LittleEndian.AppendUint32(target, Checksum(target[start:]))
	return append(target, payload...)
}

// frameState says what was found where a frame is expected.
type frameState int

const (
	// frameWhole: the frame's checksums hold.
	frameWhole frameState = iota
	// frameEnd: the content ends here.
	frameEnd
	// frameTorn: the frame was not wholly written before a crash.
	frameTorn
	// frameDamaged: the frame was written and changed afterwards.
	frameDamaged
)

// readFrame reads the frame at offset. It returns the payload and the offset
// of the next frame when the frame is whole.
func readFrame(content []byte, offset int64) (payload []byte, next int64, state frameState) {
	rest := content[offset:]
	if len(rest) == 0 {
		return nil, offset, frameEnd
	}
	if len(rest) < frameHeaderBytes {
		return nil, offset, frameTorn
	}
	header := rest[:frameHeaderBytes]
	if Checksum(header[:8]) != binary.LittleEndian.Uint32(header[8:]) {
		return nil, offset, judgeDamage(content, offset, offset+frameHeaderBytes)
	}
	length := int64(binary.LittleEndian.Uint32(header))
	end := offset + frameHeaderBytes + length
	if end > int64(len(content)) {
		return nil, offset, frameTorn
	}
	payload = content[offset+frameHeaderBytes : end]
	if Checksum(payload) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, offset, judgeDamage(content, offset, end)
	}
	return payload, end, frameWhole
}

// judgeDamage tells a torn write from a changed one. Sectors of a file that
// grew but whose bytes did not reach the disk read as zeros; changed bytes
// leave no sector of the frame empty.
func judgeDamage(content []byte, from, to int64) frameState {
	for start := from; start < to; {
		end := min((start/sectorBytes+1)*sectorBytes, to)
		if allZero(content[start:end]) {
			return frameTorn
		}
		start = end
	}
	return frameDamaged
}

func allZero(content []byte) bool {
	for _, b := range content {
		if b != 0 {
			return false
		}
	}
	return true
}

// wholeFrameAfter tells whether a whole frame starts anywhere behind offset,
// which proves that what stands at offset had been synced.
func wholeFrameAfter(content []byte, offset int64) bool {
	for start := offset + 1; start+frameHeaderBytes <= int64(len(content)); start++ {
		payload, _, state := readFrameHeaderFirst(content, start)
		if state == frameWhole && len(payload) > 0 {
			return true
		}
	}
	return false
}

// readFrameHeaderFirst is readFrame without the judgement of damage.
func readFrameHeaderFirst(content []byte, offset int64) ([]byte, int64, frameState) {
	header := content[offset : offset+frameHeaderBytes]
	if Checksum(header[:8]) != binary.LittleEndian.Uint32(header[8:]) {
		return nil, offset, frameDamaged
	}
	return readFrame(content, offset)
}
