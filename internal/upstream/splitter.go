package upstream

import "bytes"

// EventSplitter splits a stream of server-sent events into complete events,
// regardless of how the bytes arrive. The zero value is ready to use.
type EventSplitter struct {
	rest []byte
}

// Add appends bytes and returns the complete events. The result is valid until the
// next call.
func (s *EventSplitter) Add(p []byte) []byte {
	s.rest = append(s.rest, p...)
	end := completeEvents(s.rest)
	complete := s.rest[:end:end]
	s.rest = s.rest[end:]
	return complete
}

// Rest returns the bytes after the last complete event.
func (s *EventSplitter) Rest() []byte { return s.rest }

// MaximumEvent bounds the bytes of an event. A process holds an incomplete event for each of its streams.
const MaximumEvent = 256 << 10

// TooLong reports whether the incomplete event exceeds MaximumEvent.
func (s *EventSplitter) TooLong() bool { return len(s.rest) > MaximumEvent }

// InEvent reports whether these are part of an event, rather than blank lines and comments alone.
func (s *EventSplitter) InEvent() bool {
	var tail eventTail
	tail.add(s.rest)
	return tail.inEvent
}

// Event is one complete server-sent event.
type Event struct {
	// Raw holds the bytes of the event including the blank line at its end.
	Raw []byte
	// Sequence is the number in its id line if HasSequence is set.
	Sequence    uint64
	HasSequence bool
	// Data holds the contents of its data lines, joined by line feeds, if HasData is
	// set.
	Data    []byte
	HasData bool
}

// Events splits the complete events that EventSplitter returns.
func Events(complete []byte) []Event {
	var events []Event
	for len(complete) > 0 {
		length := nextEvent(complete)
		raw := complete[:length]
		complete = complete[length:]
		read := readEvent(raw)
		data, found := eventData(raw)
		events = append(events, Event{Raw: raw, Sequence: read.sequence, HasSequence: read.hasSequence, Data: data, HasData: found})
	}
	return events
}

var dataField = []byte("data:")

// eventData joins the contents of the data lines. A single space after the colon is
// not part of the content.
func eventData(raw []byte) (data []byte, found bool) {
	for _, line := range bytes.Split(normalizeLines(raw), []byte("\n")) {
		content, isData := bytes.CutPrefix(line, dataField)
		if !isData {
			continue
		}
		if found {
			data = append(data, '\n')
		}
		found = true
		data = append(data, bytes.TrimPrefix(content, []byte(" "))...)
	}
	return data, found
}
