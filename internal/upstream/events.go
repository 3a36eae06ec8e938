package upstream

import (
	"bytes"
)

var (
	eventEnd    = []byte("\n\n")
	idField     = []byte("id:")
	dataDone    = []byte("data: [DONE]")
	dataDoneRaw = []byte("data:[DONE]")
)

// wholeEvents returns the length of the longest prefix of p that holds whole
// server-sent events only. It does not depend on the pieces in which p arrives.
func wholeEvents(p []byte) int {
	end := 0
	for {
		at := bytes.Index(p[end:], eventEnd)
		if at < 0 {
			return end
		}
		end += at + len(eventEnd)
	}
}

// nextEvent returns the length of the first event of p, which holds whole
// events only.
func nextEvent(p []byte) int {
	at := bytes.Index(p, eventEnd)
	if at < 0 {
		return len(p)
	}
	return at + len(eventEnd)
}

// event is one server-sent event.
type event struct {
	// sequence is the number in its id line, 0 when it has none.
	sequence uint64
	// hasSequence tells whether there is an id line.
	hasSequence bool
	// done tells that it is the end marker.
	done bool
}

// readEvent reads the fields that the relay needs of one event.
func readEvent(p []byte) event {
	var found event
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
		case bytes.HasPrefix(line, dataDone), bytes.HasPrefix(line, dataDoneRaw):
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

// position is how far a stream was relayed: the sequence number of the last
// token, and how many events carried that number (the chunk with the token, and
// chunks such as the usage that follow it).
type position struct {
	sequence uint64
	events   int
	// leading counts events without a sequence number before the first one with.
	leading int
	done    bool
}

// pass is the judgement on one event of a further stream.
type pass int

const (
	// passRelay: the event is new.
	passRelay pass = iota
	// passSkip: the event was relayed before.
	passSkip
	// passTorn: the event holds tokens that were relayed and tokens that were
	// not, or leaves some out.
	passTorn
)

// advance moves the position over an event that is relayed.
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

// replayed is the position of a stream that runs again from its start, as it
// catches up with what was relayed.
type replayed struct {
	position
	// caughtUp is set once an event past the relayed position was seen.
	caughtUp bool
}

// judge decides on the next event of a stream that runs again, and moves on.
func (r *replayed) judge(e event, relayed *position) pass {
	if r.caughtUp {
		return passRelay
	}
	before := r.position
	r.advance(e)
	if !e.done && r.covers(relayed) {
		return passSkip
	}
	r.caughtUp = true
	if before.sequence != relayed.sequence {
		return passTorn
	}
	return passRelay
}

// covers tells whether what was relayed includes everything up to here.
func (r *replayed) covers(relayed *position) bool {
	if r.sequence != relayed.sequence {
		return r.sequence < relayed.sequence
	}
	if r.sequence == 0 {
		return r.leading <= relayed.leading
	}
	return r.events <= relayed.events
}
