package wal

import (
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/protobytes"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// recordKind identifies the content of a record. The values are stored on disk and
// must not be reused.
type recordKind byte

const (
	// recordSegment starts a segment and contains the identity of the disk.
	recordSegment recordKind = 1
	// recordEntry contains the next entry of a group.
	recordEntry recordKind = 2
	// recordHardState contains the term, vote and commit index of a group.
	recordHardState recordKind = 3
	// recordSnapshot contains the metadata of a snapshot file that replaces the entries
	// up to its index.
	recordSnapshot recordKind = 4
	// recordTruncation removes the entries of a group from an index on.
	recordTruncation recordKind = 5
)

// record is one element of a frame's payload:
//
//	kind (1) | group (varint) | body length (varint) | body
type record struct {
	kind  recordKind
	group uint32
	body  []byte
}

var errMalformedRecord = errors.New("malformed record")

// maxRecordHeadBytes is the largest size of a record without its body.
const maxRecordHeadBytes = 1 + 2*binary.MaxVarintLen64

func appendRecord(target []byte, r record) []byte {
	return append(appendRecordHead(target, r.kind, r.group, len(r.body)), r.body...)
}

// largeDataBytes is the size from which the data of an entry is written from the entry itself. The copies of a job
// of 20 MB in the payload and in the frame would take 40 MB.
const largeDataBytes = 64 << 10

// payloadBuffer collects the records of a payload. Large data of entries is a part of its own.
type payloadBuffer struct {
	done    protobytes.Parts
	current []byte
}

func (p *payloadBuffer) appendEntry(group uint32, entry *rockwindpb.Entry) (err error) {
	if len(entry.GetData()) < largeDataBytes {
		p.current, err = appendMessage(p.current, recordEntry, group, entry)
		return err
	}
	body, err := protobytes.Marshal(entry, largeDataBytes)
	if err != nil {
		return errors.Wrap(err, "encode log record")
	}
	p.current = append(appendRecordHead(p.current, recordEntry, group, body.Size()), body[0]...)
	p.done = append(append(p.done, p.current), body[1:len(body)-1]...)
	p.current = body[len(body)-1]
	return nil
}

// parts returns the payload. The first part is the buffer that was current at the start.
func (p *payloadBuffer) parts() protobytes.Parts {
	return append(p.done, p.current)
}

func appendRecordHead(target []byte, kind recordKind, group uint32, size int) []byte {
	target = append(target, byte(kind))
	target = binary.AppendUvarint(target, uint64(group))
	return binary.AppendUvarint(target, uint64(size))
}

func appendMessage(target []byte, kind recordKind, group uint32, message proto.Message) ([]byte, error) {
	size := proto.Size(message)
	target = slices.Grow(target, maxRecordHeadBytes+size)
	target = appendRecordHead(target, kind, group, size)
	target, err := proto.MarshalOptions{}.MarshalAppend(target, message)
	return target, errors.Wrap(err, "encode log record")
}

func appendNumber(target []byte, kind recordKind, group uint32, number uint64) []byte {
	body := binary.LittleEndian.AppendUint64(nil, number)
	return appendRecord(target, record{kind: kind, group: group, body: body})
}

// forEachRecord calls visit for each record of a frame's payload and stops at the
// first error. The record bodies alias the payload.
func forEachRecord(payload []byte, visit func(record) error) error {
	for len(payload) > 0 {
		decoded, rest, err := decodeRecord(payload)
		if err != nil {
			return err
		}
		if err := visit(decoded); err != nil {
			return err
		}
		payload = rest
	}
	return nil
}

func decodeRecord(payload []byte) (record, []byte, error) {
	decoded := record{kind: recordKind(payload[0])}
	if decoded.kind < recordSegment || decoded.kind > recordTruncation {
		return record{}, nil, errors.Wrapf(errMalformedRecord, "unknown record kind %d", decoded.kind)
	}
	group, rest, err := decodeVarint(payload[1:])
	if err != nil {
		return record{}, nil, err
	}
	if group > uint64(^uint32(0)) {
		return record{}, nil, errors.Wrap(errMalformedRecord, "group out of range")
	}
	decoded.group = uint32(group)
	length, rest, err := decodeVarint(rest)
	if err != nil {
		return record{}, nil, err
	}
	if length > uint64(len(rest)) {
		return record{}, nil, errors.Wrap(errMalformedRecord, "record body exceeds its frame")
	}
	decoded.body = rest[:length]
	return decoded, rest[length:], nil
}

func decodeVarint(content []byte) (uint64, []byte, error) {
	value, size := binary.Uvarint(content)
	if size <= 0 {
		return 0, nil, errors.Wrap(errMalformedRecord, "invalid varint")
	}
	return value, content[size:], nil
}

func (r record) number() (uint64, error) {
	if len(r.body) != 8 {
		return 0, errors.Wrap(errMalformedRecord, "number field has the wrong size")
	}
	return binary.LittleEndian.Uint64(r.body), nil
}

func (r record) entry() (*rockwindpb.Entry, error) {
	entry := &rockwindpb.Entry{}
	return entry, proto.Unmarshal(r.body, entry)
}

func (r record) hardState() (*rockwindpb.HardState, error) {
	state := &rockwindpb.HardState{}
	return state, proto.Unmarshal(r.body, state)
}

func (r record) snapshot() (*rockwindpb.SnapshotMetadata, error) {
	metadata := &rockwindpb.SnapshotMetadata{}
	return metadata, proto.Unmarshal(r.body, metadata)
}
