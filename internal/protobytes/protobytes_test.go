package protobytes_test

import (
	"bytes"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	"rockwind.example/rockwind/internal/protobytes"
	"rockwind.example/rockwind/internal/rockwindpb"
)

const minimum = 64

func sample() *rockwindpb.SendRequest {
	large := bytes.Repeat([]byte("large"), 100)
	message := &rockwindpb.SendRequest{
		ClusterId: "cluster", Machine: "store-1", Address: "127.0.0.1:1", TakesReplies: true,
		Messages: []*rockwindpb.GroupMessage{
			{Group: 1, Message: &rockwindpb.Message{From: 1, To: 2, Term: 3, Commit: 9, Entries: []*rockwindpb.Entry{
				{Term: 3, Index: 10, Data: []byte("small")},
				{Term: 3, Index: 11, Kind: rockwindpb.EntryKind_ENTRY_KIND_COMMAND, Data: large},
				{Term: 3, Index: 12},
			}}},
			{Group: 2, Message: &rockwindpb.Message{Snapshot: &rockwindpb.SnapshotMetadata{Index: 4, Membership: &rockwindpb.Membership{
				Members: []*rockwindpb.Member{{Id: 7, Machine: "a"}},
			}}}},
			{},
		},
	}
	// A field of a later version.
	message.ProtoReflect().SetUnknown([]byte{0xf8, 0x3f, 0x01})
	return message
}

func join(t *testing.T, parts protobytes.Parts) []byte {
	t.Helper()
	encoded, err := io.ReadAll(parts.Reader())
	if err != nil {
		t.Fatal(err)
	}
	if len(encoded) != parts.Size() {
		t.Fatalf("%d bytes were read, the size is %d", len(encoded), parts.Size())
	}
	return encoded
}

// TestEncodingIsTheUsualOne guards against fields that are lost or reordered between a process that uses this
// package and one that uses package proto, in both directions.
func TestEncodingIsTheUsualOne(t *testing.T) {
	message := sample()
	parts, err := protobytes.Marshal(message, minimum)
	if err != nil {
		t.Fatal(err)
	}
	encoded := join(t, parts)
	if len(encoded) != proto.Size(message) {
		t.Errorf("encoded size %d, want %d", len(encoded), proto.Size(message))
	}
	decoded := &rockwindpb.SendRequest{}
	if err := proto.Unmarshal(encoded, decoded); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(message, decoded) {
		t.Errorf("decoded %v, want %v", decoded, message)
	}
	if encoded, err = proto.Marshal(message); err != nil {
		t.Fatal(err)
	}
	decoded = &rockwindpb.SendRequest{ClusterId: "replaced"}
	if err := protobytes.Unmarshal(encoded, decoded, minimum); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(message, decoded) {
		t.Errorf("decoded %v, want %v", decoded, message)
	}
}

// TestLargeFieldsAreShared guards against copies of large fields, and against fields that can be overwritten by
// appending to the one before them.
func TestLargeFieldsAreShared(t *testing.T) {
	message := sample()
	large := message.GetMessages()[0].GetMessage().GetEntries()[1].GetData()
	parts, err := protobytes.Marshal(message, minimum)
	if err != nil {
		t.Fatal(err)
	}
	shared := 0
	for _, part := range parts {
		if len(part) == len(large) && &part[0] == &large[0] {
			shared++
		}
	}
	if shared != 1 {
		t.Errorf("the large field is a part of its own %d times, want once", shared)
	}
	encoded, at := join(t, parts), 0
	decoded := &rockwindpb.SendRequest{}
	if err := protobytes.Unmarshal(encoded, decoded, minimum); err != nil {
		t.Fatal(err)
	}
	if at = bytes.Index(encoded, large); at < 0 {
		t.Fatal("the large field is missing")
	}
	entries := decoded.GetMessages()[0].GetMessage().GetEntries()
	if found := entries[1].GetData(); &found[0] != &encoded[at] || cap(found) != len(found) {
		t.Errorf("the large field is not shared, or has capacity %d for %d bytes", cap(found), len(found))
	}
	small := bytes.Index(encoded, []byte("small"))
	encoded[small] = 'x'
	if got := string(entries[0].GetData()); got != "small" {
		t.Errorf("the small field is shared: %q", got)
	}
}

// FuzzUnmarshal guards against messages that this package decodes differently from package proto.
func FuzzUnmarshal(f *testing.F) {
	encoded, err := proto.Marshal(sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded, 64)
	f.Add(encoded, 1)
	// The same field twice: the last value counts.
	f.Add([]byte{0x0a, 0x02, 'a', 'b', 0x0a, 0x01, 'c'}, 2)
	f.Fuzz(func(t *testing.T, encoded []byte, minimum int) {
		for _, kind := range []proto.Message{&rockwindpb.SendRequest{}, &rockwindpb.JobStoreCommand{}} {
			usual, shared := kind.ProtoReflect().New().Interface(), kind.ProtoReflect().New().Interface()
			usualErr := proto.Unmarshal(encoded, usual)
			sharedErr := protobytes.Unmarshal(bytes.Clone(encoded), shared, minimum)
			if (usualErr == nil) != (sharedErr == nil) {
				t.Fatalf("%T: %v, package proto: %v", kind, sharedErr, usualErr)
			}
			if usualErr == nil && !proto.Equal(usual, shared) {
				t.Fatalf("%T: decoded\n%v\npackage proto:\n%v", kind, shared, usual)
			}
		}
	})
}
