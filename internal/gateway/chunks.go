package gateway

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"hash"
	"io"

	"rockwind.example/rockwind/internal/batch"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Limits of uploaded files and of the chunks in which they are stored.
const (
	// chunkBytes is the size at which a chunk ends after the current line.
	chunkBytes = 256 << 10
	// chunksPerStore is the number of chunks in one call to the body store.
	chunksPerStore    = 8
	maximumLineBytes  = 16 << 20
	maximumBatchItems = 1 << 20
)

// chunkWriter splits a file into chunks of complete lines and stores them while the
// upload is still being read.
type chunkWriter struct {
	ctx     context.Context
	bodies  rockwindpb.BodyService
	digest  hash.Hash
	size    uint64
	items   uint32
	current bytes.Buffer
	// firstItem is the index of the first item in the current chunk.
	firstItem     uint32
	pending       []*rockwindpb.InputChunk
	pendingBodies [][]byte
	stored        []*rockwindpb.InputChunk
	checker       lineChecker
}

func newChunkWriter(ctx context.Context, bodies rockwindpb.BodyService) *chunkWriter {
	return &chunkWriter{ctx: ctx, bodies: bodies, digest: sha256.New(), checker: newLineChecker()}
}

// copy stores the file that source returns.
func (c *chunkWriter) copy(source io.Reader) error {
	reader := bufio.NewReaderSize(source, chunkBytes)
	for {
		line, err := readLine(reader)
		if len(line) > 0 {
			if addErr := c.add(line); addErr != nil {
				return addErr
			}
		}
		if err == io.EOF {
			return c.flush()
		}
		if err != nil {
			return err
		}
	}
}

// readLine returns the next line, including its newline.
func readLine(reader *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maximumLineBytes {
			return nil, invalid("split the line", "a line is longer than %d bytes", maximumLineBytes)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil && err != io.EOF {
			return nil, invalid("send the whole file, of at most 256 MiB", "the file can't be read: %v", err)
		}
		return line, err
	}
}

func (c *chunkWriter) add(line []byte) error {
	c.digest.Write(line)
	c.size += uint64(len(line))
	c.current.Write(line)
	if trimmed := bytes.TrimSpace(line); len(trimmed) > 0 {
		c.checker.check(c.items, trimmed)
		c.items++
	}
	if c.current.Len() >= chunkBytes && c.items > c.firstItem {
		return c.endChunk()
	}
	return nil
}

// endChunk queues the current chunk and stores the queue once it is full.
func (c *chunkWriter) endChunk() error {
	c.pending = append(c.pending, &rockwindpb.InputChunk{FirstItem: c.firstItem, ItemCount: c.items - c.firstItem})
	c.pendingBodies = append(c.pendingBodies, bytes.Clone(c.current.Bytes()))
	c.current.Reset()
	c.firstItem = c.items
	if len(c.pendingBodies) < chunksPerStore {
		return nil
	}
	return c.store()
}

func (c *chunkWriter) flush() error {
	if c.current.Len() > 0 {
		if err := c.endChunk(); err != nil {
			return err
		}
	}
	return c.store()
}

// store writes the queued chunks to the body store.
func (c *chunkWriter) store() error {
	if len(c.pendingBodies) == 0 {
		return nil
	}
	response, err := c.bodies.Store(c.ctx, &rockwindpb.StoreBodiesRequest{Bodies: c.pendingBodies})
	if err != nil {
		return err
	}
	if len(response.GetReferences()) != len(c.pendingBodies) {
		return fault.New(fault.Internal, "the store returned a different number of references than bodies", "report this with the output of 'rockwind logs'")
	}
	for index, reference := range response.GetReferences() {
		c.pending[index].Body = reference
	}
	c.stored = append(c.stored, c.pending...)
	c.pending, c.pendingBodies = nil, nil
	return nil
}

// finish fills in size, digest and chunks of the stored file. It fails if the
// file is the input of a batch and a line is not a valid item.
func (c *chunkWriter) finish(file *rockwindpb.StoredFile) (*rockwindpb.StoredFile, error) {
	if file.GetPurpose() == purposeBatch {
		if err := c.checker.result(c.items); err != nil {
			return nil, err
		}
	}
	file.Bytes = c.size
	file.Digest = c.digest.Sum(nil)
	file.LineCount = c.items
	file.Chunks = c.stored
	return file, nil
}

// lineChecker verifies that the lines of a file are valid items of one batch.
type lineChecker struct {
	customIDs  map[string]struct{}
	model      string
	url        string
	firstFault error
}

func newLineChecker() lineChecker {
	return lineChecker{customIDs: make(map[string]struct{})}
}

// check validates one line. Only the first fault of the file is kept.
func (l *lineChecker) check(item uint32, line []byte) {
	if l.firstFault != nil || item >= maximumBatchItems {
		return
	}
	parsed, model, err := parseItem(line)
	switch {
	case err != nil:
		l.reject(item, "the line is not a request: "+err.Error())
	case parsed.CustomID == "":
		l.reject(item, "the line has no custom_id")
	case l.isDuplicate(parsed.CustomID):
		l.reject(item, "the custom_id "+parsed.CustomID+" is used twice")
	case parsed.Method != "POST":
		l.reject(item, "the method is not POST")
	case parsed.URL != pathChatCompletions && parsed.URL != pathCompletions:
		l.reject(item, "the url is neither "+pathChatCompletions+" nor "+pathCompletions)
	case model == "":
		l.reject(item, "the request names no model")
	case l.url != "" && (l.url != parsed.URL || l.model != model):
		l.reject(item, "the url or the model is not that of the first line")
	}
	l.url, l.model = parsed.URL, model
}

func (l *lineChecker) isDuplicate(id string) bool {
	_, seen := l.customIDs[id]
	l.customIDs[id] = struct{}{}
	return seen
}

func (l *lineChecker) reject(item uint32, message string) {
	l.firstFault = invalid("correct the line and upload the file again", "item %d of the file: %s", item+1, message)
}

// result returns the first fault of a file with the given number of items.
func (l *lineChecker) result(items uint32) error {
	switch {
	case l.firstFault != nil:
		return l.firstFault
	case items == 0:
		return invalid("give at least one line", "the file holds no items")
	case items > maximumBatchItems:
		return invalid("split the file", "the file holds %d items, more than %d", items, maximumBatchItems)
	}
	return nil
}

// parseItem parses an input line and returns it with the model of its request.
func parseItem(line []byte) (batch.InputLine, string, error) {
	var parsed batch.InputLine
	if err := json.Unmarshal(line, &parsed); err != nil {
		return parsed, "", err
	}
	var body struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if err := json.Unmarshal(parsed.Body, &body); err != nil {
		return parsed, "", err
	}
	if body.Stream {
		return parsed, "", invalid("leave stream out", "items of a batch are not streamed")
	}
	return parsed, body.Model, nil
}
