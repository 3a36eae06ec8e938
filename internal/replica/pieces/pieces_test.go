package pieces_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"rockwind.example/rockwind/internal/replica/pieces"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// drawData draws an entry's data from random bytes, runs of one byte and parts of earlier entries.
func drawData(t *rapid.T, entries [][]byte) []byte {
	var data []byte
	for range rapid.IntRange(0, 6).Draw(t, "parts") {
		switch {
		case len(entries) > 0 && rapid.Bool().Draw(t, "repeated"):
			from := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			begin := rapid.IntRange(0, len(from)).Draw(t, "begin")
			data = append(data, from[begin:rapid.IntRange(begin, len(from)).Draw(t, "end")]...)
		case rapid.Bool().Draw(t, "uniform"):
			data = append(data, bytes.Repeat([]byte{rapid.Byte().Draw(t, "byte")}, rapid.IntRange(0, 300).Draw(t, "times"))...)
		default:
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			for range rapid.IntRange(0, 800).Draw(t, "length") {
				data = append(data, byte(random.Uint32()))
			}
		}
	}
	return data
}

// TestEncodeDecodeRoundTrip checks that entries are restored from the restored entries before them,
// and that decoding fails if one is missing.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		encoder := &pieces.Encoder{}
		first := rapid.Uint64Range(1, 1000).Draw(t, "first")
		var sent, held [][]byte
		for range rapid.IntRange(1, 12).Draw(t, "entries") {
			index := first + uint64(len(sent))
			data := drawData(t, sent)
			encoded, oldest := encoder.Encode(index, data)
			sent = append(sent, data)
			again, same := encoder.Encode(index, data)
			if len(again) != len(encoded) || same != oldest {
				t.Fatalf("entry %d is encoded differently the second time", index)
			}
			if oldest == 0 {
				if encoded != nil {
					t.Fatal("Encode returned pieces without a reference")
				}
				held = append(held, data)
				continue
			}
			if oldest < first || oldest >= index {
				t.Fatalf("entry %d refers to entry %d", index, oldest)
			}
			missing := false
			decoded, found := pieces.Decode(index, encoded, func(wanted uint64) ([]byte, bool) {
				if wanted < oldest {
					t.Fatalf("entry %d refers to entry %d, before %d", index, wanted, oldest)
				}
				return held[wanted-first], true
			})
			if !found || !bytes.Equal(decoded, data) {
				t.Fatalf("entry %d was decoded to different data, found: %v", index, found)
			}
			_, found = pieces.Decode(index, encoded, func(wanted uint64) ([]byte, bool) {
				missing = missing || wanted == oldest
				return held[wanted-first], wanted != oldest
			})
			if found || !missing {
				t.Fatalf("entry %d was decoded without entry %d", index, oldest)
			}
			held = append(held, decoded)
		}
	})
}

// TestDecodeRejectsInvalidReferences guards against panics and wrong data from corrupt references.
func TestDecodeRejectsInvalidReferences(t *testing.T) {
	earlier := func(index uint64) ([]byte, bool) { return []byte("0123456789"), index >= 3 }
	for name, piece := range map[string]*rockwindpb.Piece{
		"an entry before the first":     {Back: 5, Length: 1},
		"an entry that isn't held":      {Back: 3, Length: 1},
		"beyond the end":                {Back: 1, Offset: 8, Length: 3},
		"an offset beyond the end":      {Back: 1, Offset: 11},
		"the largest numbers there are": {Back: 1, Offset: 1<<32 - 1, Length: 1<<32 - 1},
		"a distance beyond all":         {Back: 1<<64 - 1, Length: 1},
	} {
		if data, found := pieces.Decode(5, []*rockwindpb.Piece{{Literal: []byte("a")}, piece}, earlier); found {
			t.Errorf("%s decodes to %q", name, data)
		}
	}
	data, found := pieces.Decode(5, []*rockwindpb.Piece{{Literal: []byte("a")}, {Back: 2, Offset: 4, Length: 3}}, earlier)
	if !found || string(data) != "a456" {
		t.Errorf("decoded %q, found: %v", data, found)
	}
}

// TestWindowIsBounded checks that entries beyond the window are not referenced.
func TestWindowIsBounded(t *testing.T) {
	encoder := &pieces.Encoder{}
	random := rand.New(rand.NewPCG(1, 1))
	first := []byte(words(random, 4000))
	encoder.Encode(1, first)
	if _, oldest := encoder.Encode(2, first); oldest != 1 {
		t.Fatal("an entry in the window is not referenced")
	}
	index := uint64(3)
	for size := 0; size <= pieces.WindowBytes; size += 100_000 {
		encoder.Encode(index, []byte(words(random, 100_000)))
		index++
	}
	if _, oldest := encoder.Encode(index, first); oldest != 0 {
		t.Fatalf("entry %d is referenced beyond the window", oldest)
	}
}

func words(random *rand.Rand, length int) string {
	var text strings.Builder
	for text.Len() < length {
		fmt.Fprintf(&text, "%x ", random.Uint64())
	}
	return text.String()[:length]
}

// byteCounter sums the sizes of entries, complete and encoded.
type byteCounter struct {
	encoder                 pieces.Encoder
	index                   uint64
	fullBytes, encodedBytes int
}

func (c *byteCounter) send(t *testing.T, command *rockwindpb.JobStoreCommand) {
	t.Helper()
	data, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	c.index++
	entry := &rockwindpb.Entry{Term: 3, Index: c.index, Kind: rockwindpb.EntryKind_ENTRY_KIND_COMMAND, Data: data}
	c.fullBytes += proto.Size(entry)
	encoded, oldest := c.encoder.Encode(c.index, data)
	if oldest == 0 {
		c.encodedBytes += proto.Size(entry)
		return
	}
	c.encodedBytes += proto.Size(&rockwindpb.ShortEntry{Term: 3, Index: c.index, Kind: entry.Kind, Pieces: encoded, Checksum: 1 << 31})
}

// TestResultReferencesItsProgress checks that an item's result is encoded as references to the
// progress recorded before. A quarter of the text is allowed for the references and for records too
// short to contain an anchor.
func TestResultReferencesItsProgress(t *testing.T) {
	const items, seconds = 5, 5.0
	for _, size := range []struct{ events, bytes int }{{140, 20}, {140, 50}, {268, 55}} {
		for _, interval := range []float64{0, 0.25, 0.5, 1, 2} {
			c := &byteCounter{index: 1000}
			random := rand.New(rand.NewPCG(3, 3))
			var texts [items]string
			for item := range texts {
				var lines []string
				for range size.events {
					lines = append(lines, words(random, size.bytes))
				}
				texts[item] = strings.Join(lines, "\n")
			}
			recorded := 0
			// On average, an item starts half an interval before the next record.
			for at := interval / 2; interval > 0 && at < seconds; at += interval {
				record := &rockwindpb.JobProgress{Job: "5f2c9a41d7e04b6c"}
				until := int(at / seconds * float64(size.events))
				for item, text := range texts {
					progress := &rockwindpb.ReceivedEvents{Progress: &rockwindpb.ItemProgress{
						Item: uint32(item), Term: 3, Run: uint64(item) + 1, Last: uint64(until), Text: []byte(text[recorded*(size.bytes+1) : until*(size.bytes+1)]),
					}}
					if recorded > 0 {
						progress.After = proto.Uint64(uint64(recorded))
					}
					record.Items = append(record.Items, progress)
				}
				recorded = until
				c.send(t, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Progress{Progress: &rockwindpb.RecordProgress{Jobs: []*rockwindpb.JobProgress{record}}}})
			}
			progress, progressEncoded := c.fullBytes, c.encodedBytes
			for item, text := range texts {
				c.send(t, &rockwindpb.JobStoreCommand{Command: &rockwindpb.JobStoreCommand_Record{Record: &rockwindpb.RecordResults{
					Job: "5f2c9a41d7e04b6c", Results: []*rockwindpb.StoredResult{{Item: uint32(item), Outcome: rockwindpb.StoredOutcome_STORED_OUTCOME_DONE, Text: []byte(text)}},
				}}})
			}
			t.Logf("%d events of %d B, every %.2f s: an item's progress %d B (%d by reference), its result %d B (%d by reference), both %d B (%d)",
				size.events, size.bytes, interval, progress/items, progressEncoded/items, (c.fullBytes-progress)/items, (c.encodedBytes-progressEncoded)/items, c.fullBytes/items, c.encodedBytes/items)
			unrecorded := float64(size.events-recorded) * float64(size.bytes+1)
			if result := float64(c.encodedBytes-progressEncoded) / items; interval > 0 && result > unrecorded+0.25*float64(len(texts[0])) {
				t.Errorf("%d events of %d B, every %.2f s: a result of %d B takes %.0f B, %.0f B were not recorded before", size.events, size.bytes, interval, len(texts[0]), result, unrecorded)
			}
		}
	}
}

// BenchmarkEncode measures encoding of commands with few repetitions.
func BenchmarkEncode(b *testing.B) {
	random := rand.New(rand.NewPCG(4, 4))
	data := []byte(words(random, 8000))
	encoder := &pieces.Encoder{}
	b.SetBytes(int64(len(data)))
	index := uint64(0)
	for b.Loop() {
		index++
		data[index%8000]++
		encoder.Encode(index, bytes.Clone(data))
	}
}
