package batch

import (
	"bytes"
	"container/list"
	"context"
	"sync"
	"time"

	"rockwind.example/rockwind/internal/rockwindpb"
)

// Limits for reading input.
const (
	// maximumCachedInput bounds the size of the cached chunks in bytes.
	maximumCachedInput = 16 << 20
	// readTimeout bounds one read.
	readTimeout = 10 * time.Second
	// readPause is the pause after a failed read.
	readPause = 500 * time.Millisecond
	// maximumReadTries bounds the attempts to read the input of a lease, which is then released.
	maximumReadTries = 5
)

// loadedInput is the input of a lease; lines is nil if it could not be read.
type loadedInput struct {
	key   leaseKey
	lines map[uint32][]byte
}

// loadInput reads the request lines of the items, with retries.
func (e *Executor) loadInput(ctx context.Context, key leaseKey, job *rockwindpb.Job, items []uint32) {
	lines, err := e.input.lines(ctx, job.GetInput(), items)
	for try := 1; err != nil && try < maximumReadTries; try++ {
		select {
		case <-time.After(readPause):
		case <-ctx.Done():
			return
		}
		lines, err = e.input.lines(ctx, job.GetInput(), items)
	}
	if err != nil {
		e.options.Log.WithError(err).WithField("job", key.job).Warn("failed to read the input of a lease")
	}
	select {
	case e.loaded <- loadedInput{key: key, lines: lines}:
	case <-ctx.Done():
	}
}

// inputLoaded sets the request lines of a lease, or drops its items if they could
// not be read.
func (e *Executor) inputLoaded(input loadedInput) {
	held := e.leases[input.key]
	if held == nil {
		return
	}
	held.lines = input.lines
	if input.lines == nil {
		held.pending = nil
		e.releaseIfDone(held)
	}
}

// inputReader reads input chunks through an LRU cache, because one chunk holds the
// input of several leases. It is safe for concurrent use.
type inputReader struct {
	bodies  rockwindpb.BodyService
	mutex   sync.Mutex
	order   *list.List
	entries map[chunkKey]*list.Element
	size    int
}

// chunkKey identifies a stored chunk.
type chunkKey struct {
	segment, offset uint64
}

type cachedChunk struct {
	key  chunkKey
	body []byte
}

func newInputReader(bodies rockwindpb.BodyService) *inputReader {
	return &inputReader{bodies: bodies, order: list.New(), entries: make(map[chunkKey]*list.Element)}
}

// lines returns the request lines of the items by item number.
func (r *inputReader) lines(ctx context.Context, chunks []*rockwindpb.InputChunk, items []uint32) (map[uint32][]byte, error) {
	lines := make(map[uint32][]byte, len(items))
	wanted := make(map[uint32]bool, len(items))
	for _, item := range items {
		wanted[item] = true
	}
	for _, chunk := range chunks {
		body, err := r.chunk(ctx, chunk.GetBody())
		if err != nil {
			return nil, err
		}
		item := chunk.GetFirstItem()
		for line := range bytes.Lines(body) {
			line = bytes.TrimSpace(line)
			if len(line) == 0 {
				continue
			}
			if wanted[item] {
				lines[item] = line
			}
			item++
		}
	}
	return lines, nil
}

func (r *inputReader) chunk(ctx context.Context, reference *rockwindpb.BodyReference) ([]byte, error) {
	key := chunkKey{segment: reference.GetSegment(), offset: reference.GetOffset()}
	if body := r.lookup(key); body != nil {
		return body, nil
	}
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	response, err := r.bodies.Read(bounded, &rockwindpb.ReadBodiesRequest{References: []*rockwindpb.BodyReference{reference}})
	if err != nil {
		return nil, err
	}
	if len(response.GetBodies()) != 1 {
		return nil, errBodyCount
	}
	r.store(key, response.GetBodies()[0])
	return response.GetBodies()[0], nil
}

func (r *inputReader) lookup(key chunkKey) []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	element := r.entries[key]
	if element == nil {
		return nil
	}
	r.order.MoveToFront(element)
	return element.Value.(*cachedChunk).body
}

func (r *inputReader) store(key chunkKey, body []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.entries[key] != nil {
		return
	}
	r.entries[key] = r.order.PushFront(&cachedChunk{key: key, body: body})
	r.size += len(body)
	for r.size > maximumCachedInput && r.order.Len() > 1 {
		oldest := r.order.Remove(r.order.Back()).(*cachedChunk)
		delete(r.entries, oldest.key)
		r.size -= len(oldest.body)
	}
}
