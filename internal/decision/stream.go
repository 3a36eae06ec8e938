package decision

import (
	"fmt"
	"io"
	"sync/atomic"
)

// streamCapacity is how many lines may wait to be written.
const streamCapacity = 2048

// Stream is a writer of lines that never blocks. Lines wait in a bounded buffer; while it is full
// they are dropped and counted.
type Stream struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewStream returns a stream that writes to the target in a goroutine, which runs until the
// process ends.
func NewStream(target io.Writer) *Stream {
	stream := &Stream{lines: make(chan []byte, streamCapacity)}
	go stream.run(target)
	return stream
}

// Write implements io.Writer. Each call is one line.
func (s *Stream) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case s.lines <- copied:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Stream) Dropped() uint64 { return s.dropped.Load() }

func (s *Stream) run(target io.Writer) {
	reported := uint64(0)
	for line := range s.lines {
		if _, err := target.Write(line); err != nil {
			s.dropped.Add(1)
		}
		if dropped := s.Dropped(); dropped > reported {
			reported = dropped
			_, _ = fmt.Fprintf(target, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"fields\":{\"total\":%d}}\n", dropped)
		}
	}
}
