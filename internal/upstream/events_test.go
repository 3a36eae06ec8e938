package upstream

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
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
			if !bytes.HasSuffix(joined[:length], []byte("\n\n")) && !bytes.HasSuffix(joined[:length], []byte("\n\r\n")) {
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
	for line := range bytes.FieldsFuncSeq(event, func(r rune) bool { return r == '\n' || r == '\r' }) {
		field, value, _ := bytes.Cut(line, []byte(":"))
		if string(field) == "data" && bytes.HasPrefix(bytes.TrimPrefix(value, []byte(" ")), []byte("[DONE]")) {
			return true
		}
	}
	return false
}

// Guards against events that are found only with one kind of line ending, or only if they arrive in one piece.
func TestEventsAreFoundWithEachLineEnding(t *testing.T) {
	for _, ending := range []string{"\n", "\r\n"} {
		stream := []byte(strings.ReplaceAll("id: 1\ndata: a\ndata: b\n\n: comment\nid: 2\ndata: c\n\n", "\n", ending))
		for first := range len(stream) + 1 {
			var splitter EventSplitter
			var found []Event
			var relayed []byte
			for _, piece := range [][]byte{stream[:first], stream[first:]} {
				whole := bytes.Clone(splitter.Add(piece))
				relayed = append(relayed, whole...)
				found = append(found, Events(whole)...)
			}
			if splitter.InEvent() || string(append(relayed, splitter.Rest()...)) != string(stream) {
				t.Fatalf("ending %q, first piece %d: in an event %v, relayed %q", ending, first, splitter.InEvent(), relayed)
			}
			var data []string
			for _, event := range found {
				if event.HasSequence {
					data = append(data, fmt.Sprintf("%d %s", event.Sequence, event.Data))
				}
			}
			if want := []string{"1 a\nb", "2 c"}; !slices.Equal(data, want) {
				t.Fatalf("ending %q, first piece %d: found %q", ending, first, data)
			}
		}
	}
}

// Guards against a stream that counts as complete at another place than between two events.
func TestStreamIsInEventUntilBlankLine(t *testing.T) {
	for _, ending := range []string{"\n", "\r\n", "\r"} {
		for stream, inEvent := range map[string]bool{
			"": false, "\n": false, "\n\n\n": false, ": c": false, ": c\n": false, "d": true, "data: a\n": true, "data: a\n: c": true,
			"data: a\n: c\n": true, "data: a\n\n": false, "data: a\n\n: c": false, "data: a\n\n\n": false, "data: a\n\ni": true,
		} {
			stream = strings.ReplaceAll(stream, "\n", ending)
			var splitter EventSplitter
			for index := range len(stream) {
				splitter.Add([]byte{stream[index]})
			}
			if splitter.InEvent() != inEvent {
				t.Errorf("%q: in an event is %v", stream, splitter.InEvent())
			}
		}
	}
}
