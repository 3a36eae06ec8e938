package upstream

import (
	"bytes"
	"testing"
)

// FuzzEvents splits arbitrary streams that arrive in arbitrary pieces: the events
// must equal those of the whole stream and cover it without gaps, and only a data
// line may be parsed as the end marker.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"a\":\"b\"}\n\nid: 2\ndata: x\n\ndata: [DONE]\n\n"), 3)
	f.Add([]byte(": comment\n\n\n\ndata: not [DONE]\n\ndata:[DONE]\n\nid: 18446744073709551616\n\n"), 1)
	f.Add([]byte("data: cut off\n"), 7)
	f.Fuzz(func(t *testing.T, stream []byte, piece int) {
		if piece < 1 || len(stream) > 1<<12 {
			return
		}
		var joined, held []byte
		for at := 0; at < len(stream); at += piece {
			held = append(held, stream[at:min(at+piece, len(stream))]...)
			whole := completeEvents(held)
			joined = append(joined, held[:whole]...)
			held = held[whole:]
		}
		if !bytes.Equal(joined, stream[:completeEvents(stream)]) {
			t.Fatalf("pieces of %d bytes give %q", piece, joined)
		}
		for len(joined) > 0 {
			length := nextEvent(joined)
			if length < len(eventEnd) || !bytes.HasSuffix(joined[:length], eventEnd) {
				t.Fatalf("event boundary at %d of %q", length, joined)
			}
			if readEvent(joined[:length]).done != hasEndMarker(joined[:length]) {
				t.Fatalf("wrong end marker detection in %q", joined[:length])
			}
			joined = joined[length:]
		}
	})
}

func hasEndMarker(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		field, value, _ := bytes.Cut(line, []byte(":"))
		if string(field) == "data" && bytes.HasPrefix(bytes.TrimPrefix(value, []byte(" ")), []byte("[DONE]")) {
			return true
		}
	}
	return false
}
