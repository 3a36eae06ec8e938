package upstream

import "bytes"

// EventSplitter cuts a stream of server-sent events into whole events, however
// the bytes arrive. The zero value is ready to use.
type EventSplitter struct {
	rest []byte
}

// Add appends bytes and returns those that complete events. The result is valid
// until the next call.
func (s *EventSplitter) Add(p []byte) []byte {
	s.rest = append(s.rest, p...)
	end := wholeEvents(s.rest)
	whole := s.rest[:end:end]
	s.rest = s.rest[end:]
	return whole
}

// Rest returns the bytes of an event that is not complete.
func (s *EventSplitter) Rest() []byte { return s.rest }

// Event is one whole server-sent event.
type Event struct {
	// Raw holds its bytes, the blank line at its end included.
	Raw []byte
	// Sequence is the number in its id line, where it has one.
	Sequence    uint64
	HasSequence bool
	// Data holds the content of its data lines, joined by line feeds, where it has
	// any.
	Data    []byte
	HasData bool
}

// Events splits whole events, as EventSplitter returns them.
func Events(whole []byte) []Event {
	var events []Event
	for len(whole) > 0 {
		length := nextEvent(whole)
		raw := whole[:length]
		whole = whole[length:]
		read := readEvent(raw)
		data, found := eventData(raw)
		events = append(events, Event{Raw: raw, Sequence: read.sequence, HasSequence: read.hasSequence, Data: data, HasData: found})
	}
	return events
}

var dataField = []byte("data:")

// eventData joins the content of the data lines. One space after the colon is not
// part of it.
func eventData(raw []byte) (data []byte, found bool) {
	for _, line := range bytes.Split(raw, []byte("\n")) {
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
