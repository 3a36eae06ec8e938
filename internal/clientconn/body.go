package clientconn

import (
	"errors"
	"io"
)

// bodyStep is the unit in which memory is reserved while a body is read, in bytes.
const bodyStep = 8 << 10

// ErrMemoryFull means that there is no memory for a body.
var ErrMemoryFull = errors.New("body memory is full")

// Body tracks the memory of one body that is read in full, of a request or a response, from
// before it is read until Release. It is not safe for concurrent use.
type Body struct {
	buffers  *Buffers
	reserved int64
}

// NewBody returns a Body without reserved memory.
func (b *Buffers) NewBody() Body { return Body{buffers: b} }

// Read reads a body of the given length, negative if unknown. If there is no memory for it, Read
// returns ErrMemoryFull: before reading if the announced length is too large, otherwise together
// with what was read. Memory is reserved as the body arrives, regardless of the announced
// length.
func (m *Body) Read(source io.Reader, length int64) ([]byte, error) {
	if length > 0 && !m.buffers.hasRoomForBody(length) {
		return nil, ErrMemoryFull
	}
	return io.ReadAll(&countedBody{memory: m, source: source, length: length})
}

// Release releases the memory of the body.
func (m *Body) Release() {
	if m.reserved > 0 {
		m.buffers.ReleaseBody(m.reserved)
		m.reserved = 0
	}
}

// reserve reserves additional bytes for a body of the given size.
func (m *Body) reserve(bytes, size int64) bool {
	if !m.buffers.ReserveBody(bytes, size) {
		return false
	}
	m.reserved += bytes
	return true
}

// countedBody reserves memory as the body is read.
type countedBody struct {
	memory *Body
	source io.Reader
	// length is the announced length, negative if unknown.
	length, read int64
}

// Read implements io.Reader.
func (c *countedBody) Read(p []byte) (int, error) {
	n, err := c.source.Read(p)
	c.read += int64(n)
	for c.read > c.memory.reserved {
		step := int64(bodyStep)
		if left := c.length - c.memory.reserved; left > 0 {
			step = min(step, left)
		}
		if !c.memory.reserve(step, max(c.length, c.memory.reserved+step)) {
			return n, ErrMemoryFull
		}
	}
	return n, err
}
