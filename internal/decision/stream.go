package decision

import (
	"fmt"
	"io"
	"sync/atomic"
)

// streamLines is how many lines may wait to be written.
const streamLines = 2048

// Stream is a writer of lines that never blocks: lines wait in a bounded buffer
// and are dropped, and counted, while it is full.
type Stream struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewStream returns a stream that writes to the target on a goroutine of its own,
// for as long as the process lives.
func NewStream(target io.Writer) *Stream {
	created := &Stream{lines: make(chan []byte, streamLines)}
	go created.run(target)
	return created
}

// Write implements io.Writer. Each call is one line.
func (s *Stream) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case s.lines <- kept:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that were dropped so far.
func (s *Stream) Dropped() uint64 { return s.dropped.Load() }

func (s *Stream) run(target io.Writer) {
	told := uint64(0)
	for line := range s.lines {
		if _, err := target.Write(line); err != nil {
			s.dropped.Add(1)
		}
		if dropped := s.Dropped(); dropped > told {
			told = dropped
			_, _ = fmt.Fprintf(target, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"fields\":{\"total\":%d}}\n", dropped)
		}
	}
}
