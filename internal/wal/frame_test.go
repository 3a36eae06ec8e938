package wal

import (
	"bytes"
	"testing"
)

// FuzzDecodeRecords checks that the decoder never panics, and that records that it
// accepts survive being encoded and decoded again.
func FuzzDecodeRecords(f *testing.F) {
	sample := appendNumber(nil, recordSegment, 0, 77)
	sample = appendNumber(sample, recordTruncation, 300, 12)
	sample = appendRecord(sample, record{kind: recordEntry, group: 2, body: []byte{8, 1, 16, 2}})
	f.Add(sample)
	f.Add(appendFrame(nil, sample))
	f.Add(sample[:len(sample)-1])
	f.Add([]byte{})
	f.Add([]byte{2, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f, 1})
	f.Fuzz(func(t *testing.T, content []byte) {
		_, _, _ = readFrame(content, 0)
		_ = hasValidFrameAfter(content, 0)
		records, err := decodeRecords(content)
		if err != nil {
			return
		}
		var encoded []byte
		for _, r := range records {
			encoded = appendRecord(encoded, r)
			_, _ = r.entry()
			_, _ = r.hardState()
			_, _ = r.snapshot()
			_, _ = r.number()
		}
		again, err := decodeRecords(encoded)
		if err != nil || len(again) != len(records) {
			t.Fatalf("%d records decode as %d: %v", len(records), len(again), err)
		}
		for position := range again {
			if !bytes.Equal(again[position].body, records[position].body) {
				t.Fatalf("record %d changed", position)
			}
		}
	})
}

// decodeRecords returns the records of a frame's payload.
func decodeRecords(payload []byte) ([]record, error) {
	var records []record
	err := forEachRecord(payload, func(r record) error {
		records = append(records, r)
		return nil
	})
	return records, err
}
