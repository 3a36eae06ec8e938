package upstream

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrEndedInEvent means that the body of a stream ended before the end of an event. The server broke off, whatever
// the framing of the response says.
var ErrEndedInEvent = errors.New("the stream ended inside an event")

// ErrEventTooLong means that a stream has an event that exceeds MaximumEvent. The server is faulty.
var ErrEventTooLong = errors.New("the stream has an event without end")

// IsEventStream reports whether the headers of a response announce server-sent events.
func IsEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

var (
	eventEnd        = []byte("\n\n")
	idField         = []byte("id:")
	dataDone        = []byte("data: [DONE]")
	dataDoneNoSpace = []byte("data:[DONE]")
)

// completeEvents returns the length of the longest prefix of p that consists of
// complete server-sent events.
func completeEvents(p []byte) int {
	end := 0
	for {
		length := eventLength(p[end:])
		if length < 0 {
			return end
		}
		end += length
	}
}

// eventLength returns the length of the first event of p including the blank line at its end, or -1 if the event is
// incomplete. Lines end with LF or CR LF.
func eventLength(p []byte) int {
	if bytes.IndexByte(p, '\r') < 0 {
		at := bytes.Index(p, eventEnd)
		if at < 0 {
			return -1
		}
		return at + len(eventEnd)
	}
	for at := 0; ; {
		found := bytes.IndexByte(p[at:], '\n')
		if found < 0 {
			return -1
		}
		at += found + 1
		if rest := bytes.TrimPrefix(p[at:], []byte("\r")); len(rest) > 0 && rest[0] == '\n' {
			return len(p) - len(rest) + 1
		}
	}
}

// normalizeLines returns p with all line endings, also those with a CR alone, replaced by LF.
func normalizeLines(p []byte) []byte {
	if bytes.IndexByte(p, '\r') < 0 {
		return p
	}
	return bytes.ReplaceAll(bytes.ReplaceAll(p, []byte("\r\n"), []byte("\n")), []byte("\r"), []byte("\n"))
}

// eventTail tracks whether the bytes of a stream so far end inside an event. Blank lines and comments between events
// belong to none. The zero value is the start of a stream.
type eventTail struct {
	inEvent     bool
	lineStarted bool
	afterCR     bool
}

// add appends bytes.
func (t *eventTail) add(p []byte) {
	for _, b := range p {
		switch {
		case b == '\n' && t.afterCR:
		case b == '\n' || b == '\r':
			t.inEvent = t.inEvent && t.lineStarted
			t.lineStarted = false
		case !t.lineStarted:
			t.lineStarted = true
			t.inEvent = t.inEvent || b != ':'
		}
		t.afterCR = b == '\r'
	}
}

// nextEvent returns the length of the first event of p, which holds only complete
// events.
func nextEvent(p []byte) int {
	if length := eventLength(p); length >= 0 {
		return length
	}
	return len(p)
}

// event holds the fields of a server-sent event that the relay needs.
type event struct {
	// sequence is the number in its id line, 0 if there is none.
	sequence uint64
	// hasSequence is set if there is an id line with a number.
	hasSequence bool
	// done is set for the end marker.
	done bool
}

// readEvent parses one event.
func readEvent(p []byte) event {
	var found event
	p = normalizeLines(p)
	for len(p) > 0 {
		line := p
		if at := bytes.IndexByte(p, '\n'); at >= 0 {
			line, p = p[:at], p[at+1:]
		} else {
			p = nil
		}
		switch {
		case bytes.HasPrefix(line, idField):
			found.sequence, found.hasSequence = parseSequence(line[len(idField):])
		case bytes.HasPrefix(line, dataDone), bytes.HasPrefix(line, dataDoneNoSpace):
			found.done = true
		}
	}
	return found
}

func parseSequence(p []byte) (uint64, bool) {
	p = bytes.TrimSpace(p)
	var value uint64
	for _, digit := range p {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		value = value*10 + uint64(digit-'0')
	}
	return value, len(p) > 0
}

// position is how far a stream was relayed: the sequence number of the last token
// and how many events had that number (the chunk with the token, and later chunks
// such as the usage).
type position struct {
	sequence uint64
	events   int
	// leading counts the events before the first one with a sequence number.
	leading int
	done    bool
}

// replayAction is what to do with an event of a second run.
type replayAction int

const (
	// replayRelay: the event is new.
	replayRelay replayAction = iota
	// replaySkip: the event was relayed before.
	replaySkip
	// replayMismatch: the event contains both relayed and new tokens, or skips some.
	replayMismatch
)

// advance moves the position past a relayed event.
func (p *position) advance(e event) {
	switch {
	case e.done:
		p.done = true
	case !e.hasSequence && p.sequence == 0:
		p.leading++
	case e.hasSequence && e.sequence > p.sequence:
		p.sequence = e.sequence
		p.events = 1
	default:
		p.events++
	}
}

// rerunPosition is the position of a second run that starts from the beginning and
// catches up with what was relayed.
type rerunPosition struct {
	position
	// caughtUp is set once an event after the relayed position was seen.
	caughtUp bool
}

// classify decides what to do with the next event of a second run, and advances.
func (r *rerunPosition) classify(e event, relayed *position) replayAction {
	if r.caughtUp {
		return replayRelay
	}
	before := r.position
	r.advance(e)
	if !e.done && r.isRelayed(relayed) {
		return replaySkip
	}
	r.caughtUp = true
	if before.sequence != relayed.sequence {
		return replayMismatch
	}
	return replayRelay
}

// isRelayed reports whether everything up to this position was relayed.
func (r *rerunPosition) isRelayed(relayed *position) bool {
	if r.sequence != relayed.sequence {
		return r.sequence < relayed.sequence
	}
	if r.sequence == 0 {
		return r.leading <= relayed.leading
	}
	return r.events <= relayed.events
}
