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

// Sizes of the chunks in which a file is stored.
const (
	// chunkBytes is the size from which a chunk ends with the current line.
	chunkBytes = 256 << 10
	// chunksPerStore is how many chunks are stored in one call.
	chunksPerStore = 8
	// maximumLine bounds one line in bytes.
	maximumLine = 16 << 20
	// maximumBatchItems bounds the items of a batch.
	maximumBatchItems = 1 << 20
)

// chunkWriter stores a file as chunks of whole lines, as it comes.
type chunkWriter struct {
	ctx     context.Context
	bodies  rockwindpb.BodyService
	digest  hash.Hash
	size    uint64
	items   uint32
	current bytes.Buffer
	// first is the first item of the current chunk.
	first   uint32
	waiting []*rockwindpb.InputChunk
	queued  [][]byte
	stored  []*rockwindpb.InputChunk
	checker lineChecker
}

func newChunkWriter(ctx context.Context, bodies rockwindpb.BodyService) *chunkWriter {
	return &chunkWriter{ctx: ctx, bodies: bodies, digest: sha256.New(), checker: newLineChecker()}
}

// copy reads the file to its end.
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

// readLine reads one line with its end.
func readLine(reader *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maximumLine {
			return nil, invalid("split the line", "a line is longer than %d bytes", maximumLine)
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
	if c.current.Len() >= chunkBytes && c.items > c.first {
		return c.cut()
	}
	return nil
}

// cut ends the current chunk.
func (c *chunkWriter) cut() error {
	c.waiting = append(c.waiting, &rockwindpb.InputChunk{FirstItem: c.first, ItemCount: c.items - c.first})
	c.queued = append(c.queued, bytes.Clone(c.current.Bytes()))
	c.current.Reset()
	c.first = c.items
	if len(c.queued) < chunksPerStore {
		return nil
	}
	return c.store()
}

func (c *chunkWriter) flush() error {
	if c.current.Len() > 0 {
		if err := c.cut(); err != nil {
			return err
		}
	}
	return c.store()
}

// store writes the queued chunks to the store of bodies.
func (c *chunkWriter) store() error {
	if len(c.queued) == 0 {
		return nil
	}
	response, err := c.bodies.Store(c.ctx, &rockwindpb.StoreBodiesRequest{Bodies: c.queued})
	if err != nil {
		return err
	}
	if len(response.GetReferences()) != len(c.queued) {
		return fault.New(fault.Internal, "the store returned another number of references", "report this with the output of 'rockwind logs'")
	}
	for index, reference := range response.GetReferences() {
		c.waiting[index].Body = reference
	}
	c.stored = append(c.stored, c.waiting...)
	c.waiting, c.queued = nil, nil
	return nil
}

// finish describes the stored file. The lines of a batch's input must be
// whole items.
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

// lineChecker checks that the lines of a file are items of one batch.
type lineChecker struct {
	seen  map[string]struct{}
	model string
	url   string
	found error
}

func newLineChecker() lineChecker {
	return lineChecker{seen: make(map[string]struct{})}
}

// check notes the first fault of the file.
func (l *lineChecker) check(item uint32, line []byte) {
	if l.found != nil || item >= maximumBatchItems {
		return
	}
	parsed, model, err := parseItem(line)
	switch {
	case err != nil:
		l.fault(item, "the line is not a request: "+err.Error())
	case parsed.CustomID == "":
		l.fault(item, "the line has no custom_id")
	case l.repeated(parsed.CustomID):
		l.fault(item, "the custom_id "+parsed.CustomID+" is used twice")
	case parsed.Method != "POST":
		l.fault(item, "the method is not POST")
	case parsed.URL != pathChatCompletions && parsed.URL != pathCompletions:
		l.fault(item, "the url is neither "+pathChatCompletions+" nor "+pathCompletions)
	case model == "":
		l.fault(item, "the request names no model")
	case l.url != "" && (l.url != parsed.URL || l.model != model):
		l.fault(item, "the url or the model is not that of the first line")
	}
	l.url, l.model = parsed.URL, model
}

func (l *lineChecker) repeated(id string) bool {
	_, seen := l.seen[id]
	l.seen[id] = struct{}{}
	return seen
}

func (l *lineChecker) fault(item uint32, message string) {
	l.found = invalid("correct the line and upload the file again", "item %d of the file: %s", item+1, message)
}

// result is the verdict on the whole file.
func (l *lineChecker) result(items uint32) error {
	switch {
	case l.found != nil:
		return l.found
	case items == 0:
		return invalid("give at least one line", "the file holds no items")
	case items > maximumBatchItems:
		return invalid("split the file", "the file holds %d items, more than %d", items, maximumBatchItems)
	}
	return nil
}

// parseItem reads one line and the model that its request names.
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
