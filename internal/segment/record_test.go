package segment

import (
	"bytes"
	"testing"
)

// FuzzScan checks that scan covers any file without gaps in alternating valid and
// damaged spans, and that the records of valid spans encode to the same bytes.
func FuzzScan(f *testing.F) {
	whole := fileHeader{segment: 7, createdUnixMs: 9}.encode()
	whole = appendRecord(whole, []byte("first"))
	whole = appendRecord(whole, nil)
	whole = appendRecord(whole, bytes.Repeat([]byte("x"), 300))
	f.Add(whole)
	f.Add(whole[:len(whole)-5])
	f.Add(append(bytes.Clone(whole[:40]), whole...))
	f.Fuzz(func(t *testing.T, content []byte) {
		source := bytes.NewReader(content)
		spans, err := scan(source, 0, int64(len(content)))
		if err != nil {
			t.Fatal(err)
		}
		position := int64(0)
		for index, found := range spans {
			if found.start != position || found.end <= found.start {
				t.Fatalf("span %d is [%d, %d), expected to start at %d", index, found.start, found.end, position)
			}
			if index > 0 && spans[index-1].valid == found.valid {
				t.Fatalf("adjacent spans %d and %d have the same validity", index-1, index)
			}
			if found.valid {
				checkEncoding(t, content, found)
			}
			position = found.end
		}
		if position != int64(len(content)) {
			t.Fatalf("spans end at %d of %d", position, len(content))
		}
	})
}

// checkEncoding compares the records of a valid span with their re-encoding.
func checkEncoding(t *testing.T, content []byte, found span) {
	t.Helper()
	position := int(found.start)
	if position == 0 {
		header, valid := decodeFileHeader(content)
		if !valid || !bytes.Equal(header.encode()[:28], content[:28]) {
			t.Fatal("the accepted file header encodes to different bytes")
		}
		position = fileHeaderBytes
	}
	for position < int(found.end) {
		header, valid := decodeRecordHeader(content[position:])
		next := position + recordHeaderBytes + int(header.length)
		if !valid || next > int(found.end) {
			t.Fatalf("no whole record at %d of a valid span", position)
		}
		encoded := appendRecord(nil, content[position+recordHeaderBytes:next])
		if !bytes.Equal(encoded, content[position:next]) {
			t.Fatalf("the record at %d encodes to different bytes", position)
		}
		position = next
	}
}
