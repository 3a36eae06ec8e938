package wal

import (
	"encoding/binary"
	"hash/crc32"

	"rockwind.example/rockwind/internal/protobytes"
)

// A frame is the unit of a sync: a header and a payload of records. A frame is
// written only after the previous one was synced, so at most the last frame of a
// log can be incomplete.
//
//	payload length (4) | CRC-32C of payload (4) | CRC-32C of the 8 bytes before (4) | payload
const (
	frameHeaderBytes = 12
	// sectorBytes is the unit that a disk writes atomically.
	sectorBytes = 512
	// MaximumFrameBytes limits the payload of a frame.
	MaximumFrameBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C of content.
func Checksum(content []byte) uint32 {
	return crc32.Checksum(content, castagnoli)
}

func appendFrame(target, payload []byte) []byte {
	return append(appendFrameHeader(target, protobytes.Parts{payload}), payload...)
}

func appendFrameHeader(target []byte, payload protobytes.Parts) []byte {
	start := len(target)
	checksum := uint32(0)
	for _, part := range payload {
		checksum = crc32.Update(checksum, castagnoli, part)
	}
	target = binary.LittleEndian.AppendUint32(target, uint32(payload.Size()))
	target = binary.LittleEndian.AppendUint32(target, checksum)
	return binary.LittleEndian.AppendUint32(target, Checksum(target[start:]))
}

// frameState is the result of reading a frame.
type frameState int

const (
	// frameValid: the checksums of the frame match.
	frameValid frameState = iota
	// frameEnd: the content ends at this offset.
	frameEnd
	// frameTorn: a crash interrupted the write of the frame.
	frameTorn
	// frameCorrupt: the frame changed after it was written.
	frameCorrupt
)

// readFrame reads the frame at offset. If the frame is valid, it returns the
// payload and the offset of the next frame.
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
		return nil, offset, classifyDamage(content, offset, offset+frameHeaderBytes)
	}
	length := int64(binary.LittleEndian.Uint32(header))
	end := offset + frameHeaderBytes + length
	if end > int64(len(content)) {
		return nil, offset, frameTorn
	}
	payload = content[offset+frameHeaderBytes : end]
	if Checksum(payload) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, offset, classifyDamage(content, offset, end)
	}
	return payload, end, frameValid
}

// classifyDamage distinguishes a torn write from corruption. Sectors of a grown file
// that never reached the disk read as zeros, while corruption of a written frame
// leaves no sector of it zero.
func classifyDamage(content []byte, from, to int64) frameState {
	for start := from; start < to; {
		end := min((start/sectorBytes+1)*sectorBytes, to)
		if allZero(content[start:end]) {
			return frameTorn
		}
		start = end
	}
	return frameCorrupt
}

func allZero(content []byte) bool {
	for _, b := range content {
		if b != 0 {
			return false
		}
	}
	return true
}

// hasValidFrameAfter reports whether a valid frame starts anywhere after offset,
// which proves that the content at offset was synced.
func hasValidFrameAfter(content []byte, offset int64) bool {
	for start := offset + 1; start+frameHeaderBytes <= int64(len(content)); start++ {
		payload, _, state := readFrameIfHeaderValid(content, start)
		if state == frameValid && len(payload) > 0 {
			return true
		}
	}
	return false
}

// readFrameIfHeaderValid is readFrame for an arbitrary offset. It does not classify
// the damage of a header whose checksum fails.
func readFrameIfHeaderValid(content []byte, offset int64) ([]byte, int64, frameState) {
	header := content[offset : offset+frameHeaderBytes]
	if Checksum(header[:8]) != binary.LittleEndian.Uint32(header[8:]) {
		return nil, offset, frameCorrupt
	}
	return readFrame(content, offset)
}
