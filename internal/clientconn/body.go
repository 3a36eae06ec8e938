package clientconn

import (
	"errors"
	"io"
)

// bodyStep is by how much memory is asked for a body as it is read, in bytes.
const bodyStep = 8 << 10

// ErrMemoryFull tells that there is no memory for a body.
var ErrMemoryFull = errors.New("the memory for bodies is full")

// Body is the memory of one body, of a request or an answer that is read whole, from before
// it is read until GiveBack. It is not safe for concurrent use.
type Body struct {
	buffers *Buffers
	taken   int64
}

// NewBody returns the memory of a body that was not read.
func (b *Buffers) NewBody() Body { return Body{buffers: b} }

// Read reads a body of the given length, negative where it is not known. It fails with
// ErrFull where there is no memory for it: before it is read where the announced length shows
// it, else with what was read. Memory is taken as the body comes, whatever was announced.
func (m *Body) Read(source io.Reader, length int64) ([]byte, error) {
	if length > 0 && !m.buffers.hasRoomForBody(length) {
		return nil, ErrMemoryFull
	}
	return io.ReadAll(&countedBody{memory: m, source: source, length: length})
}

// Release tells that the body is not kept any more.
func (m *Body) Release() {
	if m.taken > 0 {
		m.buffers.ReleaseBody(m.taken)
		m.taken = 0
	}
}

// take asks for so many bytes more of a body of the given size.
func (m *Body) take(bytes, size int64) bool {
	if !m.buffers.ReserveBody(bytes, size) {
		return false
	}
	m.taken += bytes
	return true
}

// countedBody asks for memory as the body is read.
type countedBody struct {
	memory *Body
	source io.Reader
	// length is the announced one, negative where there is none.
	length, read int64
}

// Read implements io.Reader.
func (c *countedBody) Read(p []byte) (int, error) {
	n, err := c.source.Read(p)
	c.read += int64(n)
	for c.read > c.memory.taken {
		step := int64(bodyStep)
		if left := c.length - c.memory.taken; left > 0 {
			step = min(step, left)
		}
		if !c.memory.take(step, max(c.length, c.memory.taken+step)) {
			return n, ErrMemoryFull
		}
	}
	return n, err
}
