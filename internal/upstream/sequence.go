package upstream

import "strconv"

// EventDeduplicator accepts each event of a stream once, even if the stream is
// resumed at another server. The zero value has accepted none.
type EventDeduplicator struct {
	last  uint64
	known bool
}

// NewEventDeduplicator returns a deduplicator for a client that resumes a stream
// after the given event number. It ignores a text that is not a number.
func NewEventDeduplicator(text string) EventDeduplicator {
	last, err := strconv.ParseUint(text, 10, 64)
	return EventDeduplicator{last: last, known: err == nil}
}

// Accept reports whether an event is new, and records it. Events without a number
// are always new.
func (d *EventDeduplicator) Accept(event Event) bool {
	if !event.HasSequence {
		return true
	}
	if d.known && event.Sequence <= d.last {
		return false
	}
	d.last, d.known = event.Sequence, true
	return true
}

// Last returns the number of the last accepted event, zero if there is none.
func (d *EventDeduplicator) Last() uint64 { return d.last }

// String returns the event number after which a server should resume, empty at the
// beginning of the stream.
func (d *EventDeduplicator) String() string {
	if !d.known {
		return ""
	}
	return strconv.FormatUint(d.last, 10)
}
