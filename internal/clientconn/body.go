package clientconn

import (
	"errors"
	"io"
)

// bodyStep is by how much memory is asked for a body whose length is not known, in bytes.
const bodyStep = 8 << 10

// ErrFull tells that there is no memory for a body.
var ErrFull = errors.New("the memory for bodies is full")

// Body is the memory of one body, of a request or an answer that is read whole, from before
// it is read until GiveBack. It is not safe for concurrent use.
type Body struct {
	buffers *Buffers
	taken   int64
}

// NewBody returns the memory of a body that was not read.
func (b *Buffers) NewBody() Body { return Body{buffers: b} }

// Read reads a body of the given length, negative where it is not known. It fails with
// ErrFull where there is no memory for it: before it is read where its length is known, else
// with what was read.
func (m *Body) Read(source io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		source = &countedBody{memory: m, source: source}
	} else if !m.take(length, length) {
		return nil, ErrFull
	}
	return io.ReadAll(source)
}

// GiveBack tells that the body is not kept any more.
func (m *Body) GiveBack() {
	if m.taken > 0 {
		m.buffers.ReturnBody(m.taken)
		m.taken = 0
	}
}

// take asks for so many bytes more of a body of the given size.
func (m *Body) take(bytes, size int64) bool {
	if bytes == 0 {
		return true
	}
	if !m.buffers.TakeBody(bytes, size) {
		return false
	}
	m.taken += bytes
	return true
}

// countedBody asks for memory as the body is read.
type countedBody struct {
	memory *Body
	source io.Reader
	read   int64
}

// Read implements io.Reader.
func (c *countedBody) Read(p []byte) (int, error) {
	n, err := c.source.Read(p)
	c.read += int64(n)
	for c.read > c.memory.taken {
		if !c.memory.take(bodyStep, c.memory.taken+bodyStep) {
			return n, ErrFull
		}
	}
	return n, err
}
